#include "umbertrail/dispatch/target_health.h"

#include <algorithm>
#include <cmath>

namespace umbertrail::dispatch {
namespace {

// Half-life of outcomes in the failure rate.
constexpr absl::Duration kHalfLife = absl::Seconds(4);
// Successes assumed a priori for every target.
constexpr double kPriorSuccesses = 2;
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(300);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(1500);
// Weight of one observation in the moving average.
constexpr double kMovingAverageWeight = 0.15;
constexpr double kMaxSlowdown = 20;
// Maximum outcomes accepted from one message; no instance has more in so short
// a time.
constexpr int kMaxOutcomesPerMessage = 100;
// An excess of the decode slowdown that isn't measured anew halves in this
// time.
constexpr absl::Duration kDecodeSlowdownHalfLife = absl::Seconds(10);
// Shorter times to first event don't indicate the slowdown.
constexpr absl::Duration kMinComparedTime = absl::Milliseconds(40);

double DecayFactor(absl::Duration age) {
  return std::exp2(-absl::FDivDuration(age, kHalfLife));
}

}  // namespace

void TargetHealth::Decay(absl::Time now) {
  if (decayed_at_ != absl::InfinitePast()) {
    const double factor = DecayFactor(now - decayed_at_);
    failures_ *= factor;
    successes_ *= factor;
  }
  decayed_at_ = now;
}

void TargetHealth::RecordSuccess(absl::Time now) {
  Decay(now);
  successes_ += 1;
  backoff_ = absl::ZeroDuration();
}

void TargetHealth::RecordFailure(absl::Time now) {
  Decay(now);
  failures_ += 1;
}

void TargetHealth::RecordUnreachable(absl::Time now) {
  RecordFailure(now);
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
  backoff_until_ = now + backoff_;
}

double TargetHealth::RecordFirstEvent(absl::Duration predicted,
                                      absl::Duration actual) {
  const double ratio =
      absl::FDivDuration(std::max(actual, kMinComparedTime),
                         std::max(predicted, kMinComparedTime));
  UpdateSlowdown(ratio, 1);
  return ratio;
}

void TargetHealth::UpdateSlowdown(double ratio, int times) {
  const double weight = 1 - std::pow(1 - kMovingAverageWeight, times);
  pace_ += weight * (std::clamp(ratio, 1.0, kMaxSlowdown) - pace_);
}

double TargetHealth::DecodeSlowdown(absl::Time now) const {
  if (pauses_recorded_at_ == absl::InfinitePast()) {
    return 1;
  }
  const double age = std::max(0.0, absl::FDivDuration(now - pauses_recorded_at_,
                                                      kDecodeSlowdownHalfLife));
  return 1 + (decode_slowdown_ - 1) * std::exp2(-age);
}

void TargetHealth::RecordPauses(double ratio, int windows, absl::Time now) {
  if (!std::isfinite(ratio) || windows <= 0) {
    return;
  }
  const double weight = 1 - std::pow(1 - kMovingAverageWeight,
                                     std::min(windows, kMaxOutcomesPerMessage));
  const double former = DecodeSlowdown(now);
  decode_slowdown_ =
      former + weight * (std::clamp(ratio, 1.0, kMaxSlowdown) - former);
  pauses_recorded_at_ = now;
}

void TargetHealth::MergePeerOutcomes(const Outcomes& outcomes, absl::Time now) {
  Decay(now);
  successes_ += std::clamp(outcomes.successes, 0, kMaxOutcomesPerMessage);
  failures_ += std::clamp(outcomes.failures, 0, kMaxOutcomesPerMessage);
  UpdateSlowdown(outcomes.slowdown,
                 std::clamp(outcomes.first_events, 0, kMaxOutcomesPerMessage));
}

double TargetHealth::FailureRate(absl::Time now) const {
  if (decayed_at_ == absl::InfinitePast()) {
    return 0;
  }
  const double factor = DecayFactor(now - decayed_at_);
  const double failures = failures_ * factor;
  return failures / (failures + successes_ * factor + kPriorSuccesses);
}

}  // namespace umbertrail::dispatch
