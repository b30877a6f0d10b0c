#include <algorithm>

#include "umbertrail/base/hash.h"
#include "umbertrail/dispatch/output_estimator.h"
#include "umbertrail/front/relay.h"

// The expected output of a request's stream.

namespace umbertrail::front {

dispatch::OutputQuery Relay::OutputQueryForRequest() const {
  dispatch::OutputQuery query;
  query.route = dispatch::RouteHashOf(route_->name);
  if (!account_.empty()) {
    query.account = AccountHash(StableHash(account_.text()));
  }
  query.prompt = facts_.prompt;
  query.hint = facts_.output_hint;
  query.max_output = facts_.max_output;
  return query;
}

double Relay::ExpectedEvents(absl::Time now) const {
  if (!is_stream() || service_ == nullptr || !service_->engine) {
    return 0;
  }
  const dispatch::OutputEstimate estimate =
      state_.outputs.Estimate(OutputQueryForRequest(), *service_->engine, now);
  return dispatch::RemainingEvents(estimate.mean, framer_.event_count());
}

void Relay::RecordPause(absl::Duration pause, absl::Time now) {
  // Events that were received late arrive together.
  const int events = std::max(1, framer_.event_count() - events_until_read_);
  events_until_read_ = framer_.event_count();
  if (reading_was_paused_ || !target_sent_events_ || !peer_.empty()) {
    reading_was_paused_ = false;
    pauses_.Discard();
    return;
  }
  if (const auto typical = pauses_.Add(pause / events)) {
    state_.RecordOwnPause(target_, *typical, now);
  }
}

void Relay::LearnOutput(absl::Time now) {
  // A stream that the client resumed is only a part of its output.
  if (response_mode_ != ResponseMode::kStream || service_ == nullptr ||
      !service_->engine || !facts_.last_event.empty()) {
    return;
  }
  const int events = framer_.event_count();
  if (expected_events_ > 0) {
    state_.metrics.ObserveOutputRatio(events / expected_events_);
  }
  state_.outputs.Learn(OutputQueryForRequest(), *service_->engine, events, now);
}

}  // namespace umbertrail::front
