#include "umbertrail/dispatch/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace umbertrail::dispatch {
namespace {

// Time between two samples of the load.
constexpr absl::Duration kSampleInterval = absl::Milliseconds(50);
// Work seen at a sample is taken to have run for at most this long, so that a
// sample after a quiet period doesn't charge for the whole period.
constexpr absl::Duration kMaxSampledTime = absl::Milliseconds(500);
// An account is above its share from this multiple of it. Usage is sampled, so
// accounts with equal demand differ by chance.
constexpr double kClearlyAbove = 1.05;
// Amounts below this no longer count, in seconds.
constexpr double kNegligible = 1e-3;

}  // namespace

void FairShares::Sample(const std::vector<Candidate>& candidates,
                        absl::Time now) {
  const absl::Duration elapsed = now - sampled_at_;
  if (elapsed < kSampleInterval) {
    return;
  }
  sampled_at_ = now;
  Decay(elapsed);
  const double seconds =
      absl::ToDoubleSeconds(std::min(elapsed, kMaxSampledTime));
  for (const Candidate& candidate : candidates) {
    const auto prefilling =
        std::count_if(candidate.work.begin(), candidate.work.end(),
                      [](const WorkItem& item) { return item.prefilling; });
    for (const WorkItem& item : candidate.work) {
      // Queued prompts are prefilled one after another; a stream takes a slot.
      const double parts = item.prefilling
                               ? static_cast<double>(prefilling)
                               : static_cast<double>(candidate.slots);
      if (item.prefilling || !item.is_helper) {
        AmountsOf(item.account).used_s += seconds / std::max(parts, 1.0);
      }
    }
  }
}

void FairShares::RecordShortfall(AccountHash account,
                                 absl::Duration engine_time) {
  AmountsOf(account).lacking_s += absl::ToDoubleSeconds(engine_time);
  unit_share_valid_ = false;
}

void FairShares::RecordServed(AccountHash account, absl::Duration engine_time) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end()) {
    double& lacking = found->second.lacking_s;
    lacking = std::max(0.0, lacking - absl::ToDoubleSeconds(engine_time));
    unit_share_valid_ = false;
  }
}

FairShares::Standing FairShares::StandingOf(AccountHash account) const {
  Standing standing;
  const double share = UnitShare() * WeightOf(account);
  const auto found = accounts_.find(account);
  const double used = found == accounts_.end() ? 0 : found->second.used_s;
  standing.usage = absl::Seconds(used);
  standing.share = absl::Seconds(share);
  standing.above_share = used > share * kClearlyAbove;
  return standing;
}

FairShares::Amounts& FairShares::AmountsOf(AccountHash account) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end()) {
    return found->second;
  }
  if (accounts_.size() >= kMaxAccounts) {
    // Who used least is least likely to be above its share.
    accounts_.erase(std::min_element(accounts_.begin(), accounts_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.used_s < b.second.used_s;
                                     }));
  }
  return accounts_[account];
}

void FairShares::Decay(absl::Duration elapsed) {
  const double factor = std::exp(-absl::FDivDuration(elapsed, kTimeConstant));
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    const auto current = it++;
    Amounts& amounts = current->second;
    amounts.used_s *= factor;
    amounts.lacking_s *= factor;
    if (amounts.used_s < kNegligible && amounts.lacking_s < kNegligible) {
      accounts_.erase(current);
    }
  }
  unit_share_valid_ = false;
}

double FairShares::WeightOf(AccountHash account) const {
  const auto found = weights_.find(account);
  return found == weights_.end() ? 1 : found->second;
}

double FairShares::UnitShare() const {
  if (unit_share_valid_) {
    return unit_share_s_;
  }
  struct Demand {
    double amount;
    double weight;
  };
  std::vector<Demand> demands;
  demands.reserve(accounts_.size());
  double left = 0;
  double weight_left = 0;
  for (const auto& [account, amounts] : accounts_) {
    const double lacking =
        amounts.lacking_s < kNegligible ? 0 : amounts.lacking_s;
    demands.push_back({amounts.used_s + lacking, WeightOf(account)});
    left += amounts.used_s;
    weight_left += demands.back().weight;
  }
  std::sort(demands.begin(), demands.end(),
            [](const Demand& a, const Demand& b) {
              return a.amount * b.weight < b.amount * a.weight;
            });
  unit_share_s_ = HUGE_VAL;
  for (const Demand& demand : demands) {
    if (demand.amount * weight_left > left * demand.weight * (1 + 1e-9)) {
      unit_share_s_ = left / weight_left;
      break;
    }
    left -= demand.amount;
    weight_left -= demand.weight;
  }
  unit_share_valid_ = true;
  return unit_share_s_;
}

}  // namespace umbertrail::dispatch
