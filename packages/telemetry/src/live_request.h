#ifndef UMBERTRAIL_TELEMETRY_SRC_LIVE_REQUEST_H_
#define UMBERTRAIL_TELEMETRY_SRC_LIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "umbertrail/core/types.h"
#include "umbertrail/telemetry/trace.h"

namespace umbertrail::telemetry::detail {

// A hop that has begun and not ended.
struct OpenHop {
  SpanId span;
  absl::Time start;
  TargetId target;
  InstanceId peer;
  AttemptNumber attempt;
};

// What an observer keeps of a request that runs on its node.
struct LiveRequest {
  TraceId trace;
  SpanId root;
  // The caller's span; 0 when it sent none.
  SpanId parent;
  bool sampled = false;
  // Passed on by another instance, which counts the outcome.
  bool forwarded = false;
  bool is_completion = false;
  ClientAccountId account;
  Tokens prompt;
  absl::Time arrived;
  absl::Time deadline;
  // Numbers this request's spans.
  uint64_t spans = 0;

  // The target tried last, and its data centre.
  TargetId target;
  DataCentreId data_centre;

  std::optional<OpenHop> screen;
  std::optional<OpenHop> admit;
  std::optional<OpenHop> queue;
  std::optional<OpenHop> attempt;
  std::optional<OpenHop> relay;
  absl::Time last_relayed;
  Tokens relayed;
};

}  // namespace umbertrail::telemetry::detail

#endif  // UMBERTRAIL_TELEMETRY_SRC_LIVE_REQUEST_H_
