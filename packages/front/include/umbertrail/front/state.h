#ifndef UMBERTRAIL_FRONT_STATE_H_
#define UMBERTRAIL_FRONT_STATE_H_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "platform/node_settings.h"
#include "umbertrail/dispatch/budgets.h"
#include "umbertrail/dispatch/fleet_view.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/poison.h"
#include "umbertrail/dispatch/target_health.h"
#include "umbertrail/front/event_log.h"
#include "umbertrail/front/metrics.h"
#include "umbertrail/front/target_pool.h"

namespace umbertrail::front {

// Time since the machine started, also counted while it is suspended; only
// differences mean anything.
absl::Time BootNow();

// What all requests of an instance share. Used by the event loop's thread only.
struct State {
  State(net::Loop& event_loop,
        adapter::InstanceSettings instance_settings,
        int log_fd);

  // What runs at a target, as far as the mode of placement looks at it.
  std::vector<dispatch::WorkItem> WorkAt(const TargetId& target) const;
  // The targets of a service that may get a request now, as placement sees
  // them; `excluded` were tried before.
  std::vector<dispatch::Candidate> CandidatesFor(
      const ServiceId& service,
      const std::vector<TargetId>& excluded,
      absl::Time now);
  // Requests that all instances together may send to a target of `service` in
  // one second while it is cold; 0 without bound.
  double FleetRateOf(const ServiceId& service) const;
  dispatch::RetryBudget& RetryBudgetOf(const ServiceId& service);
  // A target can't be reached or has started anew.
  void NoteTargetDown(const TargetId& target, absl::Time now);
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
  TargetPool pool;
  std::map<TargetId, dispatch::TargetHealth> health;
  std::map<TargetId, dispatch::TargetRate> rates;
  std::map<ServiceId, dispatch::RetryBudget> retry_budgets;
  // How many instances share the fleet's budgets: never fewer than were seen.
  int instances;
  // How many are heard now, this one included.
  int live_instances = 1;
  // All changes of the store up to this are in the view.
  uint64_t known_revision = 0;
  // Tells the other instances of deaths found here.
  std::function<void(const std::vector<dispatch::Death>&)> tell_deaths;
  std::mt19937_64 random;
  uint64_t next_reservation = 1;
  // Tells this life of the instance from others.
  uint64_t life;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STATE_H_
