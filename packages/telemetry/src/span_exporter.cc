#include "umbertrail/telemetry/span_exporter.h"

#include <httplib.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace umbertrail::telemetry {
namespace {

// A collector that is slower than this loses the batch.
constexpr int kTimeoutSeconds = 2;
constexpr int kHttpOk = 200;

class HttpSpanTransport : public SpanTransport {
 public:
  explicit HttpSpanTransport(std::string address)
      : address_(std::move(address)) {}

  bool Send(const std::string& otlp_json) override {
    httplib::Client client("http://" + address_);
    client.set_connection_timeout(kTimeoutSeconds);
    client.set_read_timeout(kTimeoutSeconds);
    client.set_write_timeout(kTimeoutSeconds);
    const auto answer =
        client.Post("/v1/traces", otlp_json, "application/json");
    return answer && answer->status == kHttpOk;
  }

 private:
  const std::string address_;
};

}  // namespace

std::unique_ptr<SpanTransport> MakeHttpSpanTransport(std::string address) {
  return std::make_unique<HttpSpanTransport>(std::move(address));
}

SpanExporter::SpanExporter(std::string instance,
                           std::unique_ptr<SpanTransport> transport,
                           SpanExporterOptions options)
    : instance_(std::move(instance)),
      transport_(std::move(transport)),
      options_(options),
      thread_([this] { Run(); }) {}

SpanExporter::~SpanExporter() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void SpanExporter::Record(Span span) {
  const absl::MutexLock lock(&mutex_);
  if (queue_.size() >= options_.queue_limit) {
    ++counts_.dropped;
    return;
  }
  queue_.push_back(std::move(span));
}

SpanExporterCounts SpanExporter::counts() const {
  const absl::MutexLock lock(&mutex_);
  return counts_;
}

bool SpanExporter::BatchReady() const {
  return stopping_ || queue_.size() >= options_.batch_limit;
}

std::vector<Span> SpanExporter::TakeBatch() {
  const absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(this, &SpanExporter::BatchReady),
                          options_.flush_interval);
  const size_t n = std::min(queue_.size(), options_.batch_limit);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(n);
  std::vector<Span> batch(std::make_move_iterator(queue_.begin()),
                          std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  return batch;
}

void SpanExporter::Run() {
  while (true) {
    const std::vector<Span> batch = TakeBatch();
    const bool taken =
        batch.empty() || transport_->Send(EncodeOtlp(batch, instance_));
    const absl::MutexLock lock(&mutex_);
    (taken ? counts_.sent : counts_.dropped) += batch.size();
    // A collector that is away must not hold up a stop.
    if (stopping_ && !taken) {
      counts_.dropped += queue_.size();
      queue_.clear();
    }
    if (stopping_ && queue_.empty()) {
      return;
    }
  }
}

}  // namespace umbertrail::telemetry
