#ifndef UMBERTRAIL_TELEMETRY_SPAN_EXPORTER_H_
#define UMBERTRAIL_TELEMETRY_SPAN_EXPORTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/telemetry/trace.h"

// Sends finished spans to a collector as OTLP/JSON over HTTP.

namespace umbertrail::telemetry {

// Carries one batch to a collector; false when it was not taken.
class SpanTransport {
 public:
  virtual ~SpanTransport() = default;
  virtual bool Send(const std::string& otlp_json) = 0;
};

// Posts to `http://HOST:PORT/v1/traces` with short timeouts. `address` is
// `HOST:PORT`. One connection attempt for each batch.
std::unique_ptr<SpanTransport> MakeHttpSpanTransport(std::string address);

// The OTLP/JSON request that carries `spans` of the process named `instance`.
std::string EncodeOtlp(const std::vector<Span>& spans,
                       std::string_view instance);

struct SpanExporterOptions {
  // Spans held while the collector is slow; further ones are dropped.
  size_t queue_limit = 4096;
  size_t batch_limit = 256;
  // Spans wait at most this long for a batch to fill.
  absl::Duration flush_interval = absl::Seconds(1);
};

struct SpanExporterCounts {
  uint64_t sent = 0;
  // Spans that found the queue full or whose batch was not taken.
  uint64_t dropped = 0;
};

// A bounded queue and one thread that empties it. Record() never waits for the
// collector: a full queue or a failed batch is dropped and counted.
class SpanExporter : public SpanSink {
 public:
  SpanExporter(std::string instance,
               std::unique_ptr<SpanTransport> transport,
               SpanExporterOptions options);
  // Sends what is queued until a batch isn't taken, and stops the thread.
  ~SpanExporter() override;

  void Record(Span span) override;
  SpanExporterCounts counts() const;

 private:
  void Run();
  std::vector<Span> TakeBatch();
  bool BatchReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::string instance_;
  const std::unique_ptr<SpanTransport> transport_;
  const SpanExporterOptions options_;
  mutable absl::Mutex mutex_;
  std::deque<Span> queue_ ABSL_GUARDED_BY(mutex_);
  SpanExporterCounts counts_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_SPAN_EXPORTER_H_
