#ifndef UMBERTRAIL_DISPATCH_PRIORITY_ORDER_H_
#define UMBERTRAIL_DISPATCH_PRIORITY_ORDER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/dispatch/fair_shares.h"
#include "umbertrail/dispatch/features.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/waiting_line.h"

// Who gives way when the engines of a shard can't serve everyone on time.

namespace umbertrail::dispatch {

// Why a request isn't placed although it was asked for.
enum class YieldReason {
  kNone,
  // No engine can serve it before its client leaves.
  kNoRoom,
  // Streams of more urgent requests would pause for too long.
  kMoreUrgent,
  // Its client account is above its fair share, and no engine is free.
  kShare,
  // It would be late because of others, and make those after it late, too.
  kLate,
};
absl::string_view NameOf(YieldReason reason);

struct OrderedPlacement {
  PlacementResult result;
  // Time after which the request should be placed again; zero if it is placed
  // or must be refused.
  absl::Duration ask_again;
  YieldReason reason = YieldReason::kNone;
  // Whether it waited before this.
  bool waited = false;
  // Waiting requests that go before it.
  size_t ahead = 0;
  // The longest time that it may still wait; room is expected within it.
  absl::Duration max_wait;
  FairShares::Standing standing;
};

// Places the requests of one shard's engines and keeps those that wait.
class PriorityOrder {
 public:
  struct Options {
    // Enables kShare.
    bool fair_shares = true;
    // Enables kLate, and waiting for all other reasons.
    bool waiting_line = true;
    // Passed to Place.
    Features placement = {};
  };

  explicit PriorityOrder(Options options) : options_(options) {}

  // As Place, but a request gives way as YieldReason says. It waits if room is
  // expected within a third of its client's time. Otherwise it is placed after
  // all for kMoreUrgent, and refused for the other reasons; for kLate it is
  // refused at once, as a queue ahead of it shrinks no faster than its time.
  // The room of waiting requests is kept from those that rank after them. A
  // request that has been sent before doesn't give way.
  OrderedPlacement PlaceInOrder(const RequestProfile& request,
                                const EngineModel& engine,
                                std::vector<Candidate> candidates,
                                absl::Time now,
                                double tie);

  // Meters the accounts' usage. PlaceInOrder does so, too; an instance that
  // isn't asked for placements calls this now and then, to know the usage when
  // it is.
  void SampleLoad(const std::vector<Candidate>& candidates, absl::Time now) {
    if (options_.fair_shares) {
      shares_.Sample(candidates, now);
    }
  }

  FairShares::Standing StandingOf(AccountHash account) const {
    return shares_.StandingOf(account);
  }

  size_t waiting() const { return line_.size(); }

 private:
  // Meters demand that isn't met on time.
  void RecordDemand(const RequestProfile& request,
                    const EngineModel& engine,
                    const OrderedPlacement& placed);
  YieldReason ReasonToYield(const RequestProfile& request,
                            bool can_be_on_time,
                            const std::vector<Candidate>& candidates,
                            absl::Time now,
                            const OrderedPlacement& placed) const;
  // Enters the request into the line, if it may wait long enough. `entry` has
  // its key and rank, and the present time.
  bool Wait(const RequestProfile& request,
            const EngineModel& engine,
            WaitingRequest entry,
            OrderedPlacement* placed);

  Options options_;
  FairShares shares_;
  WaitingLine line_;
};

// Engine time that a request is expected to use: its prefill, and a slot for
// its stream.
absl::Duration ExpectedEngineTime(const RequestProfile& request,
                                  const EngineModel& engine);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PRIORITY_ORDER_H_
