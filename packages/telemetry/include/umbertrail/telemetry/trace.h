#ifndef UMBERTRAIL_TELEMETRY_TRACE_H_
#define UMBERTRAIL_TELEMETRY_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/types.h"

// Traces: W3C trace context and one span for each hop of a request.

namespace umbertrail::telemetry {

// 128 bits; all zero is not a valid trace.
struct TraceId {
  uint64_t high = 0;
  uint64_t low = 0;

  bool valid() const { return (high | low) != 0; }
  friend bool operator==(const TraceId& a, const TraceId& b) {
    return a.high == b.high && a.low == b.low;
  }
};

// 64 bits; 0 is not a valid span and stands for "no parent".
using SpanId = Quantity<struct SpanIdTag, uint64_t>;

// What travels in a `traceparent` header.
struct TraceContext {
  TraceId trace;
  SpanId span;
  bool sampled = false;
};

std::string ToHex(const TraceId& id);
std::string ToHex(SpanId id);

// Reads a `traceparent` header by the W3C recommendation: lower-case hex, no
// all-zero ids, version ff refused, version 00 with exactly four fields, later
// versions with four or more. Nothing when malformed; the request then starts
// a trace of its own.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// Writes version 00.
std::string FormatTraceparent(const TraceContext& context);

// The trace of a request that brought no `traceparent`: a function of its id,
// so that every instance that knows the request finds the same trace.
TraceId TraceOf(const RequestId& request);

// The hops of a request.
enum class Hop {
  kCaller,   // from the request's arrival to its outcome
  kScreen,   // one question to the home of a fingerprint
  kProbe,    // one probe, from its sending to its reply
  kAdmit,    // one request for admission, from its sending to its decision
  kQueue,    // waiting in an owner's queue
  kAttempt,  // one attempt on a target
  kRelay,    // from the first part relayed to the caller to the last
};
std::string_view NameOf(Hop hop);

// One finished span. Times are wall-clock times.
struct Span {
  TraceId trace;
  SpanId id;
  SpanId parent;
  Hop hop = Hop::kCaller;
  absl::Time start;
  absl::Time end;
  bool error = false;
  RequestId request;
  ClientAccountId account;
  TargetId target;
  InstanceId peer;
  std::optional<AttemptNumber> attempt;
  std::optional<core::Reason> reason;
  std::optional<core::Ran> ran;
  std::optional<Tokens> tokens;
};

// Takes finished spans. Thread-safe; never blocks its caller.
class SpanSink {
 public:
  virtual ~SpanSink() = default;
  virtual void Record(Span span) = 0;
};

// Decides at a request's start whether its spans are recorded: a caller's
// sampled flag wins, otherwise `fraction` of traces (0 to 1), by trace id.
class HeadSampler {
 public:
  explicit HeadSampler(double fraction);
  bool Sample(const TraceId& trace, bool caller_sampled) const;

 private:
  double fraction_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_TRACE_H_
