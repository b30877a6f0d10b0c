#ifndef UMBERTRAIL_TOOLS_CAPACITY_FLEET_MEASURES_H_
#define UMBERTRAIL_TOOLS_CAPACITY_FLEET_MEASURES_H_

#include "absl/time/time.h"
#include "fleet_world.h"

namespace umbertrail::capacity {

// Processor time of one call of each, in microseconds.
struct DecisionCosts {
  double instance_list_us = 0;  // a list that differs
  double target_list_us = 0;
  double ranking_us = 0;
  double claim_us = 0;
  double barred_us = 0;

  double wanted_state_us = 0;
  double parse_us = 0;  // a whole manifest
};
DecisionCosts MeasureDecisions(const FleetSize& size);

// Control traffic of one node of a fleet in virtual time, a second.
struct Traffic {
  double peer_messages_sent = 0;
  double peer_messages_received = 0;
  double peer_bytes_sent = 0;  // as encoded, without the link's own frames
  double peer_bytes_received = 0;
  double service_calls = 0;
  double service_bytes = 0;     // bodies, without HTTP headers
  double core_fraction = 0;     // processor time of the node's handlers
  double slowest_spread_s = 0;  // of a revision, over all nodes
  double peers_talked_to = 0;   // in the whole run
};
// `changes` revisions are published, one each `interval`; some nodes lose the
// service in between. List changes are added as `list_changes_per_day` of each
// kind.
Traffic MeasureTraffic(const FleetSize& size,
                       int changes,
                       absl::Duration interval,
                       double list_changes_per_day);

}  // namespace umbertrail::capacity

#endif  // UMBERTRAIL_TOOLS_CAPACITY_FLEET_MEASURES_H_
