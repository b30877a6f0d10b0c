#include "umbertrail/dispatch/budgets.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// Fraction of the fleet's allowances that is used: the rest covers events that
// are sent in one window and arrive in another.
constexpr double kUsedShare = 0.9;

}  // namespace

void SlidingCount::Drop(absl::Time now) {
  while (!events_.empty() && events_.front() <= now - window_) {
    events_.pop_front();
  }
}

void SlidingCount::Add(absl::Time now) {
  Drop(now);
  events_.push_back(now);
}

int SlidingCount::Count(absl::Time now) {
  Drop(now);
  return static_cast<int>(events_.size());
}

RetryBudget::RetryBudget(double ratio,
                         double fleet_slack,
                         absl::Duration window)
    : ratio_(ratio),
      fleet_slack_(fleet_slack),
      requests_(window),
      further_(window) {}

bool RetryBudget::Take(absl::Time now, int instances) {
  const double allowed = kUsedShare * (ratio_ * requests_.Count(now) +
                                       fleet_slack_ / std::max(instances, 1));
  if (further_.Count(now) + 1 > allowed) {
    return false;
  }
  further_.Add(now);
  return true;
}

bool TargetRate::MaySend(absl::Time now, double fleet_rate, int instances) {
  if (fleet_rate <= 0) {
    return true;
  }
  const double allowed =
      std::max(1.0, kUsedShare * fleet_rate / std::max(instances, 1));
  return sends_.Count(now) + 1 <= allowed;
}

}  // namespace umbertrail::dispatch
