#include "umbertrail/dispatch/budgets.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// Fraction of the fleet's allowances that is used: the rest covers events that
// are sent in one window and arrive in another.
constexpr double kUsedFraction = 0.9;
// Part of an instance's share of the retry allowance that it may hold as
// credit; the rest is earned over a window.
constexpr double kHeldFraction = 0.6;

}  // namespace

void SlidingCount::DropExpired(absl::Time now) {
  while (!events_.empty() && events_.front() <= now - window_) {
    events_.pop_front();
  }
}

void SlidingCount::Add(absl::Time now) {
  DropExpired(now);
  events_.push_back(now);
}

int SlidingCount::Count(absl::Time now) {
  DropExpired(now);
  return static_cast<int>(events_.size());
}

RetryBudget::RetryBudget(double ratio,
                         double fleet_allowance,
                         absl::Duration window,
                         InitialCredit initial,
                         absl::Time now)
    : ratio_(ratio),
      fleet_allowance_(fleet_allowance),
      window_(window),
      credit_(initial == InitialCredit::kFull ? fleet_allowance : 0),
      updated_(now) {}

double RetryBudget::Remaining(absl::Time now, int instances) {
  const double share =
      kUsedFraction * fleet_allowance_ / std::max(instances, 1);
  const double windows = absl::FDivDuration(now - updated_, window_);
  credit_ = std::min(credit_ + (1 - kHeldFraction) * share * windows,
                     kHeldFraction * share);
  updated_ = now;
  return credit_;
}

void RetryBudget::NoteRequest(absl::Time now, int instances) {
  credit_ = Remaining(now, instances) + kUsedFraction * ratio_;
}

bool RetryBudget::Take(absl::Time now, int instances) {
  if (Remaining(now, instances) < 1) {
    return false;
  }
  --credit_;
  return true;
}

bool TargetRate::MaySend(absl::Time now, double fleet_rate, int instances) {
  if (fleet_rate <= 0) {
    return true;
  }
  const double allowed =
      std::max(1.0, kUsedFraction * fleet_rate / std::max(instances, 1));
  return sends_.Count(now) + 1 <= allowed;
}

}  // namespace umbertrail::dispatch
