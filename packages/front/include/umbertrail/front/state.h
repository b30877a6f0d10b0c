#ifndef UMBERTRAIL_FRONT_STATE_H_
#define UMBERTRAIL_FRONT_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "platform/node_settings.h"
#include "umbertrail/dispatch/budgets.h"
#include "umbertrail/dispatch/fleet_view.h"
#include "umbertrail/dispatch/freshness.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/members.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/poison.h"
#include "umbertrail/dispatch/shards.h"
#include "umbertrail/dispatch/target_health.h"
#include "umbertrail/front/event_log.h"
#include "umbertrail/front/metrics.h"
#include "umbertrail/front/target_pool.h"

namespace umbertrail::front {

// Time since the machine started, also counted while it is suspended; only
// differences mean anything.
absl::Time BootNow();

class Placer;
struct PlacementRequest;

// How requests went at one target since its homes were told.
struct UntoldOutcomes {
  int successes = 0;
  int failures = 0;
  int first_events = 0;
  // Of actual first events' times against the predicted ones.
  double pace_sum = 0;
};

// What all requests of an instance share. Used by the event loop's thread only.
struct State {
  State(net::Loop& event_loop,
        adapter::InstanceSettings instance_settings,
        int log_fd);

  // What runs at a target, as far as the mode of placement looks at it.
  std::vector<dispatch::WorkItem> WorkAt(const TargetId& target,
                                         absl::Time now) const;
  // The targets of a shard that may get a request now, as placement sees them
  // for an instance in data centre `from`; `excluded` were tried before.
  std::vector<dispatch::Candidate> CandidatesFor(
      const dispatch::Shard& shard,
      const DataCentreId& from,
      const std::vector<TargetId>& excluded,
      absl::Time now);
  // The instances that are told of a shard's work and asked for its places, the
  // first in charge.
  std::vector<InstanceId> HomesOf(const dispatch::Shard& shard, absl::Time now);
  // An instance that kept silent when it was asked.
  void SuspectHome(const InstanceId& home, absl::Time now);
  // The engine by whose arithmetic a query is placed; null at a plain service.
  const dispatch::EngineModel* EngineFor(const PlacementRequest& query) const;
  // Counts the members that live now.
  void CountInstances(absl::Time now);
  // How the targets that are known now are divided.
  const dispatch::ShardTable& Shards();
  // Requests that all instances together may send to a target of `service` in
  // one second while it is cold; 0 without bound.
  double FleetRateOf(const ServiceId& service) const;
  dispatch::RetryBudget& RetryBudgetOf(const ServiceId& service);
  // How a request went at a target; also told to the target's homes.
  void NoteSuccess(const TargetId& target, absl::Time now);
  void NoteFailure(const TargetId& target, absl::Time now);
  void NoteFirstEvent(const TargetId& target,
                      absl::Duration predicted,
                      absl::Duration actual);
  // A target can't be reached or has started anew.
  void NoteTargetDown(const TargetId& target, absl::Time now);
  // That life of a target said that it leaves; it gets nothing new. True when
  // that is news.
  bool NoteLeaving(const TargetId& target, int64_t born_ms, absl::Time now);
  // A target wants nothing from this instance for so long; also in its next
  // life, as its words hold for the address that it answers at.
  void NoteWantsNothing(const TargetId& target,
                        absl::Duration how_long,
                        absl::Time now);
  bool WantsNothing(const TargetId& target, absl::Time now) const;
  // Targets that want nothing from this instance now.
  std::vector<TargetId> TargetsThatWantNothing(absl::Time now);
  // How long until the first of a service's targets wants requests again;
  // infinite where none wants nothing.
  absl::Duration SoonestWanted(const ServiceId& service, absl::Time now) const;
  double Random();
  // A name that no other reservation of any instance has.
  std::string NextReservation();

  net::Loop& loop;
  dispatch::PlacementMode mode = dispatch::PlacementMode::kPredicted;
  adapter::InstanceSettings settings;
  EventLog log;
  Metrics metrics;
  dispatch::FleetView view;
  dispatch::LoadBoard board;
  dispatch::PoisonRegister poison;
  dispatch::Members members;
  TargetPool pool;
  std::map<TargetId, dispatch::TargetHealth> health;
  std::map<TargetId, dispatch::TargetRate> rates;
  // What the targets' homes haven't been told yet.
  std::map<TargetId, UntoldOutcomes> untold;
  std::map<ServiceId, dispatch::RetryBudget> retry_budgets;
  // How many instances share the fleet's budgets: never fewer than were seen.
  int instances;
  // How many are heard now, this one included.
  int live_instances = 1;
  // All changes of the store up to this are in the view.
  dispatch::KnownStore known_store;
  // Asks homes where requests go; set once all parts of the instance stand.
  std::shared_ptr<Placer> placer;
  // Tells the other instances of deaths found here.
  std::function<void(const std::vector<dispatch::Death>&)> tell_deaths;
  // Tells them of targets that said that they leave.
  std::function<void(const TargetId& target, int64_t born_ms)> tell_leaving;
  std::mt19937_64 random;
  uint64_t next_reservation = 1;
  // Tells this life of the instance from others.
  uint64_t life;

 private:
  std::map<TargetId, absl::Time> wants_nothing_until_;
  dispatch::ShardTable shards_;
  uint64_t sharded_changes_ = 0;
  // Homes by the shard's name, until the members are looked at again.
  std::map<std::string, std::vector<InstanceId>> homes_;
  absl::Time homes_until_ = absl::InfinitePast();
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STATE_H_
