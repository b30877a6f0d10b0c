// Measures what telemetry costs: processor time for a request and a part
// relayed, memory for a history, and the size of the metrics page.

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "process_usage.h"
#include "report.h"
#include "umbertrail/telemetry.h"

namespace umbertrail::capacity {
namespace {

using telemetry::NodeObserver;

// Formats records as the daemon does and drops the lines.
class FormattingLog : public telemetry::LogSink {
 public:
  void Write(const telemetry::LogRecord& record) override {
    if (record.level >= telemetry::LogLevel::kInfo) {
      bytes += FormatJson(record).size();
    }
  }
  size_t bytes = 0;
};

class DroppingSpans : public telemetry::SpanSink {
 public:
  void Record(telemetry::Span) override { ++spans; }
  size_t spans = 0;
};

struct Bench {
  FormattingLog log;
  DroppingSpans spans;
  telemetry::Metrics metrics;
  telemetry::HistoryStore histories;
  NodeObserver observer;
  absl::Time now = absl::UnixEpoch();

  Bench(size_t finished_limit, double sampled)
      : histories(4096, finished_limit),
        observer({&log, &metrics, &spans, &histories}, OptionsOf(sampled)) {}

  static telemetry::ObserverOptions OptionsOf(double sampled) {
    telemetry::ObserverOptions out;
    out.self = {InstanceId("10.0.0.1:7400"), Incarnation(1)};
    out.sampled_fraction = sampled;
    return out;
  }

  void Feed(const core::Event& event, const core::Actions& actions) {
    now += absl::Milliseconds(1);
    observer.OnEvent(now, event);
    observer.OnActions(now, event, actions);
  }

  void FeedMessage(core::PeerPayload payload, const core::Actions& actions) {
    core::PeerReceived event;
    event.envelope.from = {InstanceId("10.0.0.2:7400"), Incarnation(5)};
    event.envelope.payload = std::move(payload);
    Feed(event, actions);
  }
};

// One request from arrival to outcome: `probes` probes, one admission, and
// `parts` relayed parts.
void FeedRequest(Bench& bench, size_t serial, int probes, int parts) {
  const RequestId id(absl::StrFormat("%032d", serial));
  const TargetId target("kirishima-engine-0417");
  core::RequestArrived arrived;
  arrived.spec.id = id;
  arrived.spec.account =
      ClientAccountId(absl::StrFormat("account-%03d", serial % 290));
  arrived.spec.prompt = Tokens(1000);
  arrived.time_limit = absl::Seconds(30);
  core::ProbeRequest probe;
  probe.probe = serial;
  probe.time_left = absl::Seconds(30);
  core::Actions sends;
  for (int i = 0; i < probes; ++i) {
    probe.target = TargetId(absl::StrFormat("kirishima-engine-%04d", i));
    sends.push_back(core::SendPeer{InstanceId("10.0.0.2:7400"), probe});
  }
  bench.Feed(arrived, sends);
  core::ProbeReply reply;
  reply.probe = serial;
  for (int i = 0; i < probes; ++i) {
    reply.target = TargetId(absl::StrFormat("kirishima-engine-%04d", i));
    bench.FeedMessage(reply, {});
  }
  core::AdmitReply granted;
  granted.request = id;
  granted.attempt = AttemptNumber(1);
  granted.target = target;
  core::StartAttempt start;
  start.spec = arrived.spec;
  start.attempt = AttemptNumber(1);
  start.target = target;
  bench.FeedMessage(granted, {start});
  for (int i = 0; i < parts; ++i) {
    bench.Feed(
        core::AttemptChunk{id, AttemptNumber(1), Tokens(i), Tokens(1), "abcd"},
        {core::RelayChunk{id, Tokens(i), Tokens(1), "abcd"}});
  }
  core::FinishRequest finish;
  finish.request = id;
  bench.Feed(core::AttemptDone{id, AttemptNumber(1), Tokens(parts), {}},
             {finish});
}

double MicrosPerRequest(int parts, double sampled) {
  constexpr size_t kRequests = 4000;
  Bench bench(1024, sampled);
  const int64_t start = ThreadNanos();
  for (size_t i = 0; i < kRequests; ++i) {
    FeedRequest(bench, i, 4, parts);
  }
  return static_cast<double>(ThreadNanos() - start) / 1000 / kRequests;
}

void MeasureTime() {
  for (const double sampled : {0.01, 1.0}) {
    std::vector<Point> points;
    for (const int it : {1, 50, 100, 200, 400}) {
      points.push_back(
          {static_cast<double>(it), MicrosPerRequest(it, sampled)});
    }
    PrintSeries(absl::StrFormat("observer, %g%% sampled", sampled * 100),
                "parts relayed", "us a request", points);
  }
}

void MeasureMemory() {
  std::vector<Point> points;
  for (const size_t it : {256, 1024, 4096, 16384}) {
    const int64_t before = HeapBytes();
    Bench bench(it, 0);
    for (size_t i = 0; i < it + 100; ++i) {
      FeedRequest(bench, i, 4, 1);
    }
    points.push_back({static_cast<double>(it),
                      static_cast<double>(HeapBytes() - before) / 1024});
  }
  PrintSeries("histories", "finished requests kept", "KiB of heap", points);
}

void MeasurePage() {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int accounts : {10, 50, 100, 200, 290}) {
    telemetry::Metrics metrics;
    for (int i = 0; i < accounts; ++i) {
      metrics.CountOutcome(ClientAccountId(absl::StrFormat("account-%03d", i)),
                           DataCentreId("kirishima"), core::Reason::kOk,
                           core::Ran::kYes);
    }
    const int64_t start = ThreadNanos();
    const std::string text = metrics.Text();
    const auto size = static_cast<double>(accounts);
    micros.push_back({size, static_cast<double>(ThreadNanos() - start) / 1000});
    bytes.push_back({size, static_cast<double>(text.size())});
  }
  PrintSeries("metrics page", "accounts", "bytes", bytes);
  PrintSeries("metrics page", "accounts", "us to write", micros);
}

}  // namespace
}  // namespace umbertrail::capacity

int main() {
  umbertrail::capacity::MeasureMemory();
  umbertrail::capacity::MeasureTime();
  umbertrail::capacity::MeasurePage();
  return 0;
}
