#ifndef UMBERTRAIL_DISPATCH_FAIR_SHARES_H_
#define UMBERTRAIL_DISPATCH_FAIR_SHARES_H_

#include <cstddef>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/placement.h"

// Shares of client accounts in the engine time of one shard, by max-min
// fairness: who wants less than an equal share gets all that it wants, and the
// others divide the rest equally.

namespace umbertrail::dispatch {

// Meters the engine time that each client account uses, and decides who is
// above its share while others lack theirs. Usage is sampled from the load of
// the targets, so every instance that receives the load reports has the same
// figures, whichever of them placed the requests. All amounts decay with
// kTimeConstant.
class FairShares {
 public:
  static constexpr absl::Duration kTimeConstant = absl::Seconds(3);
  static constexpr size_t kMaxAccounts = 512;

  using Weights = absl::flat_hash_map<AccountHash, double>;

  // Accounts without an entry in `weights` have weight 1; weights are positive.
  explicit FairShares(Weights weights = {}) : weights_(std::move(weights)) {}

  // Adds the engine time used since the last sample by the work at
  // `candidates`. Cheap if called more often than samples are taken; otherwise
  // linear in the work.
  void Sample(const std::vector<Candidate>& candidates, absl::Time now);

  // Records that a request of `account` for this much engine time could not be
  // served when it was asked.
  void RecordShortfall(AccountHash account, absl::Duration engine_time);

  // Withdraws a shortfall, as the request is being served now.
  void RecordServed(AccountHash account, absl::Duration engine_time);

  struct Standing {
    absl::Duration usage;
    // Infinite while all demand is met.
    absl::Duration share;
    // The account uses clearly more than its share, and others lack theirs.
    bool above_share = false;
  };
  // Cost: linear in the accounts after a change (with a sort), else constant.
  Standing StandingOf(AccountHash account) const;

  size_t size() const { return accounts_.size(); }

 private:
  struct Amounts {
    double used_s = 0;
    double lacking_s = 0;
  };

  Amounts& AmountsOf(AccountHash account);
  void Decay(absl::Duration elapsed);
  double WeightOf(AccountHash account) const;
  // Share of an account of weight 1, in seconds.
  double UnitShare() const;

  Weights weights_;
  absl::flat_hash_map<AccountHash, Amounts> accounts_;
  absl::Time sampled_at_ = absl::InfinitePast();
  mutable double unit_share_s_ = 0;
  mutable bool unit_share_valid_ = false;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FAIR_SHARES_H_
