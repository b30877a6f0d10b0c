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
// Retries held by an instance that doesn't know how many share the allowance.
// Deployments allow more than one for each instance.
constexpr double kHeldInUnknownFleet = 1;
// A window of nothing in the settings must not divide by zero.
constexpr absl::Duration kMinWindow = absl::Milliseconds(1);

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

void TokenBucket::Fill(absl::Time now, double tokens_per_s, double capacity) {
  const double elapsed_s = std::max(absl::ToDoubleSeconds(now - filled_), 0.0);
  tokens_ = std::min(tokens_ + tokens_per_s * elapsed_s, capacity);
  filled_ = std::max(filled_, now);
}

bool TokenBucket::Take() {
  if (tokens_ < 1) {
    return false;
  }
  --tokens_;
  return true;
}

RetryBudget::RetryBudget(double ratio,
                         double fleet_allowance,
                         absl::Duration window,
                         InitialCredit initial,
                         absl::Time now)
    : ratio_(ratio),
      fleet_allowance_(fleet_allowance),
      window_(std::max(window, kMinWindow)),
      credit_(initial == InitialCredit::kFull ? fleet_allowance : 0, now) {}

double RetryBudget::Remaining(absl::Time now, std::optional<int> instances) {
  const double share =
      instances ? kUsedFraction * fleet_allowance_ / std::max(*instances, 1)
                : 0;
  credit_.Fill(now,
               (1 - kHeldFraction) * share / absl::ToDoubleSeconds(window_),
               instances ? kHeldFraction * share : kHeldInUnknownFleet);
  return credit_.tokens();
}

void RetryBudget::NoteRequest(absl::Time now, std::optional<int> instances) {
  Remaining(now, instances);
  credit_.Add(kUsedFraction * ratio_);
}

bool RetryBudget::Take(absl::Time now, std::optional<int> instances) {
  Remaining(now, instances);
  return credit_.Take();
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
