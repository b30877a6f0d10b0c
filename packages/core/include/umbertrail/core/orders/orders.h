#ifndef UMBERTRAIL_CORE_ORDERS_ORDERS_H_
#define UMBERTRAIL_CORE_ORDERS_ORDERS_H_

#include <map>
#include <optional>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/orders/wanted_state.h"

namespace umbertrail::core {

// The reasons for the values stand in docs/design/orders.md.
struct OrdersConfig {
  absl::Duration tick_interval = absl::Seconds(1);
  // A report may be this old when the order that rests on it is sent.
  absl::Duration report_limit = absl::Seconds(2);
  // A target whose last report is older than this isn't counted as serving.
  absl::Duration serving_limit = absl::Seconds(12);
  // Between two polls of a model's other targets while one of ours waits.
  absl::Duration poll_interval = absl::Seconds(5);
  // A changed wanted state takes no serving target down for this long, until
  // the other owners know it too.
  absl::Duration spread_wait = absl::Seconds(6);
  // A load that takes longer no longer keeps others waiting.
  absl::Duration load_limit = absl::Minutes(10);
  // Waits after the weight store was busy, doubled up to the second.
  absl::Duration busy_wait = absl::Seconds(1);
  absl::Duration max_busy_wait = absl::Seconds(60);
  // A target that failed to take its order is left alone this long.
  absl::Duration failed_wait = absl::Seconds(10);
};

// Orders the engines that this instance owns to load what the manifest wants.
//
// An owner with a full claim orders; one with half a claim, whose list can't be
// confirmed, orders only an engine that serves nothing, since two such owners
// may hold different revisions. Each order rests on a recent report and is
// fenced by the manifest's revision; an engine that was ordered under a newer
// one is left alone, also when it would not check the number.
//
// A version change rolls: among the targets wanted for a model, in target
// order, only as many of those not yet up to date may change as the model can
// spare, counted from the first. Owners see this alike without a message
// between them; one that lags sees fewer up to date and holds back.
//
// Not thread-safe.
class Orders {
 public:
  // `fleet`, `random` and `mutations` must outlive the object.
  Orders(OrdersConfig config,
         const FleetView* fleet,
         RandomSource* random,
         const Mutations* mutations);

  // Reports of any target, owned here or not.
  void OnReport(absl::Time now,
                const TargetId& target,
                const TargetReport& report,
                Actions* actions);
  void OnAnswered(absl::Time now, const OrderAnswered& event, Actions* actions);
  void OnTick(absl::Time now, Actions* actions);
  absl::Time NextWakeup() const { return next_tick_; }

 private:
  // What a target said last.
  struct Known {
    bool leaving = false;
    ModelId model;
    std::string version;
    std::vector<AdapterId> adapters;  // in id order
    ManifestRevision fence;
    absl::Time seen_at = absl::InfinitePast();
    absl::Time polled_at = absl::InfinitePast();
    absl::Time left_alone_until = absl::InfinitePast();
  };
  // The one load that runs.
  struct Load {
    TargetId target;
    absl::Time began;
  };

  void Refresh(absl::Time now);
  void TryOrders(absl::Time now, Actions* actions);
  void EndLoad(absl::Time now);
  bool Mine(const WantedTarget& wanted,
            const Known& known,
            absl::Time now) const;
  bool UpToDate(const WantedTarget& wanted, const Known& known) const;
  // Whether a change of `wanted` leaves its present model enough targets. Polls
  // those whose state isn't known well enough to say so.
  bool LeavesEnough(const WantedTarget& wanted,
                    const Known& known,
                    absl::Time now,
                    Actions* actions);
  bool MayRoll(const WantedTarget& wanted,
               const std::vector<const WantedTarget*>& group,
               int min_serving,
               absl::Time now) const;
  bool Serves(const TargetId& target,
              const ModelId& model,
              absl::Time now) const;
  bool Settled(const WantedTarget& wanted, absl::Time now) const;
  void Poll(absl::Time now,
            const TargetId& target,
            absl::Duration interval,
            Actions* actions);
  void Send(const WantedTarget& wanted,
            const Known& known,
            absl::Time now,
            Actions* actions);
  // Targets wanted for `model` in open data centres, in target order.
  std::vector<const WantedTarget*> GroupOf(const ModelId& model) const;

  const OrdersConfig config_;
  const FleetView* const fleet_;
  RandomSource* const random_;
  const Mutations* const mutations_;
  absl::Time next_tick_ = absl::InfinitePast();
  // What the wanted state was made from.
  ManifestRevision revision_;
  std::vector<TargetInfo> targets_;
  std::vector<WantedTarget> wanted_;
  absl::Time changed_at_ = absl::InfinitePast();
  std::map<TargetId, Known> known_;
  std::optional<Load> load_;
  absl::Time busy_until_ = absl::InfinitePast();
  absl::Duration busy_wait_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ORDERS_ORDERS_H_
