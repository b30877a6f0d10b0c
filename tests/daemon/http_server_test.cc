#include "http_server.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace umbertrail::daemon::detail {
namespace {

HttpServerOptions Options() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.header_bytes = 8192;
  options.connections = 8;
  options.read_timeout = absl::Seconds(10);
  options.write_timeout = absl::Seconds(10);
  options.idle_timeout = absl::Seconds(10);
  return options;
}

TEST_CASE("an answer that is being written ends whole when the server stops") {
  // Long enough for a stop that doesn't wait to be over.
  constexpr absl::Duration kMeanwhile = absl::Milliseconds(200);
  absl::Notification begun;
  absl::Notification go_on;
  HttpServer server(Options(), nullptr);
  server.Get("/stream", [&](const httplib::Request&, httplib::Response& res) {
    res.set_chunked_content_provider("text/plain",
                                     [&](size_t, httplib::DataSink& sink) {
                                       if (!begun.HasBeenNotified()) {
                                         sink.write("first ", 6);
                                         begun.Notify();
                                         go_on.WaitForNotification();
                                         return true;
                                       }
                                       sink.write("last", 4);
                                       sink.done();
                                       return true;
                                     });
  });
  REQUIRE(IsOk(server.Start()));
  std::string body;
  std::thread caller([&] {
    httplib::Client client("http://" + server.address());
    const auto answer = client.Get("/stream");
    body = answer ? answer->body : "cut";
  });
  begun.WaitForNotification();
  std::thread stopper([&] { server.Shutdown(); });
  absl::SleepFor(kMeanwhile);
  go_on.Notify();
  stopper.join();
  caller.join();
  CHECK(body == "first last");
}

}  // namespace
}  // namespace umbertrail::daemon::detail
