#include "umbertrail/front/relay.h"

// Waiting for a place that a home expects to have soon.

namespace umbertrail::front {
namespace {

// Part of its client's time that a request may wait, whatever homes say.
constexpr int kMaxWaitDivisor = 3;

}  // namespace

bool Relay::WaitForPlace(absl::Duration ask_again) {
  const absl::Time now = BootNow();
  const absl::Time until = now + ask_again;
  if (ask_again <= absl::ZeroDuration() || !HasTimeForAttempt(until) ||
      until - waiting_since_ > (deadline_ - waiting_since_) / kMaxWaitDivisor) {
    return false;
  }
  if (!has_waited_) {
    has_waited_ = true;
    state_.log.Write(EventLog::Level::kNormal, "waits",
                     {{"request", facts_.id.text()},
                      {"ask_again_ms", absl::ToInt64Milliseconds(ask_again)},
                      {"targets", static_cast<int64_t>(candidate_count_)}},
                     now);
  }
  wait_alarm_.Set(ask_again, shared_from_this(), &Relay::OnAskAgain);
  return true;
}

void Relay::OnAskAgain() {
  if (!finished_) {
    PlaceAndSend();
  }
}

}  // namespace umbertrail::front
