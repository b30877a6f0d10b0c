#include "umbertrail/dispatch/fleet_size.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// An instance that hears of few others may be cut off.
constexpr int kMinDivisor = 8;
// After this an instance that nobody told the size trusts its own count, as all
// others may have been restarted too.
constexpr absl::Duration kMaxUnknownTime = absl::Seconds(30);
// A size that nobody has seen for this long is not told any more.
constexpr absl::Duration kRetention = absl::Minutes(10);

}  // namespace

void FleetSize::Raise(int instances, absl::Time seen_at) {
  largest_ = std::max(largest_, instances);
  if (instances > recent_) {
    recent_ = instances;
    recent_at_ = seen_at;
  } else if (instances == recent_) {
    recent_at_ = std::max(recent_at_, seen_at);
  }
}

void FleetSize::NoteLive(int instances, absl::Time now) {
  if (now - recent_at_ > kRetention) {
    recent_ = 1;
  }
  Raise(instances, now);
}

void FleetSize::Merge(const FleetSizeReport& report, absl::Time now) {
  if (report.instances <= 0 || report.instances > kMaxInstances ||
      report.age < absl::ZeroDuration() || report.age > kRetention) {
    return;
  }
  was_told_ = true;
  Raise(report.instances, now - report.age);
}

bool FleetSize::IsKnown(absl::Time now) const {
  return was_told_ || start_ == Start::kAlone ||
         (start_ == Start::kWithFleet && largest_ > 1) ||
         now - started_at_ >= kMaxUnknownTime;
}

std::optional<FleetSizeReport> FleetSize::Report(absl::Time now) const {
  if (!IsKnown(now) || now - recent_at_ > kRetention) {
    return std::nullopt;
  }
  return FleetSizeReport{recent_, now - recent_at_};
}

std::optional<int> FleetSize::Divisor(absl::Time now) const {
  if (!IsKnown(now)) {
    return std::nullopt;
  }
  return Minimum();
}

int FleetSize::Minimum() const {
  return std::max(largest_, kMinDivisor);
}

}  // namespace umbertrail::dispatch
