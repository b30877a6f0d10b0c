#include "http_server.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "raw_client.h"

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

// The library keeps a line of a chunked body whole, however long it is.
TEST_CASE("a chunk size or trailer without end is refused") {
  HttpServerOptions options = Options();
  options.read_timeout = absl::Hours(1);
  HttpServer server(options, nullptr);
  std::string body;
  server.Post("/", [&](const httplib::Request&, httplib::Response& res,
                       const httplib::ContentReader& reader) {
    body.clear();
    const bool whole = reader([&](const char* data, size_t n) {
      body.append(data, n);
      return true;
    });
    HttpServer::CloseAfterAnswer();
    res.status = whole ? 200 : 400;
  });
  REQUIRE(IsOk(server.Start()));
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string endless(size_t{1} << 16, '0');
  for (const std::string& start :
       {head, head + "1\r\nx\r\n1;e=", head + "0\r\nX-T: "}) {
    CAPTURE(start);
    RawClient client(server.address());
    client.Send(start + endless);
    CHECK(client.ReadAll().find("HTTP/1.1 400") == 0);
  }
  // Lines of ordinary length, and many of them.
  std::string chunks;
  for (int i = 0; i < 20000; ++i) {
    chunks += "1;e=" + std::string(50, 'e') + "\r\nx\r\n";
  }
  RawClient client(server.address());
  client.Send(head + chunks + "0\r\n\r\n");
  CHECK(client.ReadAll().find("HTTP/1.1 200") == 0);
  CHECK(body == std::string(20000, 'x'));
}

}  // namespace
}  // namespace umbertrail::daemon::detail
