#include "umbertrail/telemetry/span_exporter.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

namespace umbertrail::telemetry {
namespace {

Span SampleSpan() {
  Span out;
  out.trace = TraceId{1, 2};
  out.id = SpanId(3);
  out.parent = SpanId(4);
  out.hop = Hop::kAttempt;
  out.start = absl::FromUnixNanos(1000);
  out.end = absl::FromUnixNanos(2000);
  out.request = RequestId("r");
  out.attempt = AttemptNumber(1);
  out.error = true;
  return out;
}

// Holds each batch back until told to go on.
class HeldTransport : public SpanTransport {
 public:
  HeldTransport(absl::Notification* sending, absl::Notification* release)
      : sending_(sending), release_(release) {}

  bool Send(const std::string&) override {
    if (!sending_->HasBeenNotified()) {
      sending_->Notify();
    }
    release_->WaitForNotification();
    return true;
  }

 private:
  absl::Notification* sending_;
  absl::Notification* release_;
};

TEST_CASE("spans are written as OTLP/JSON") {
  const auto json = nlohmann::json::parse(EncodeOtlp({SampleSpan()}, "i1"));
  const auto& resource = json["resourceSpans"][0];
  CHECK(resource["resource"]["attributes"][1]["value"]["stringValue"] == "i1");
  const auto& span = resource["scopeSpans"][0]["spans"][0];
  CHECK(span["traceId"] == "00000000000000010000000000000002");
  CHECK(span["spanId"] == "0000000000000003");
  CHECK(span["parentSpanId"] == "0000000000000004");
  CHECK(span["name"] == "attempt");
  CHECK(span["startTimeUnixNano"] == "1000");
  CHECK(span["status"]["code"] == 2);
}

TEST_CASE("a collector receives what was recorded") {
  httplib::Server server;
  std::string body;
  absl::Notification received;
  server.Post("/v1/traces",
              [&](const httplib::Request& request, httplib::Response&) {
                body = request.body;
                received.Notify();
              });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread listener([&] { server.listen_after_bind(); });
  // A stop before the server runs would be lost.
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  {
    SpanExporter exporter(
        "i1", MakeHttpSpanTransport(absl::StrCat("127.0.0.1:", port)), {});
    exporter.Record(SampleSpan());
  }
  received.WaitForNotification();
  server.stop();
  listener.join();
  CHECK(body == EncodeOtlp({SampleSpan()}, "i1"));
}

TEST_CASE("a slow collector costs spans, not time") {
  absl::Notification sending;
  absl::Notification release;
  SpanExporterOptions options;
  options.queue_limit = 2;
  options.batch_limit = 1;
  SpanExporter exporter(
      "i1", std::make_unique<HeldTransport>(&sending, &release), options);
  exporter.Record(SampleSpan());
  sending.WaitForNotification();
  for (int i = 0; i < 5; ++i) {
    exporter.Record(SampleSpan());
  }
  CHECK(exporter.counts().dropped == 3);
  release.Notify();
}

}  // namespace
}  // namespace umbertrail::telemetry
