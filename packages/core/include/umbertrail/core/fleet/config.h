#ifndef UMBERTRAIL_CORE_FLEET_CONFIG_H_
#define UMBERTRAIL_CORE_FLEET_CONFIG_H_

#include "absl/time/time.h"

namespace umbertrail::core {

// How a node keeps up with manifest, lists and peers. The reasons for the
// values stand in docs/design/freshness.md and docs/design/membership.md.
struct FleetConfig {
  // Longest time between two ticks.
  absl::Duration tick_interval = absl::Milliseconds(500);
  // A tick this late means that the process was paused.
  absl::Duration pause_threshold = absl::Seconds(2);

  // New work stops when neither the service nor a peer has confirmed the
  // revision for this long. Longer than a watch of the service waits.
  absl::Duration isolation_limit = absl::Seconds(5);
  // New work stops when a newer revision has been known for this long and
  // could not be fetched.
  absl::Duration behind_limit = absl::Seconds(2);
  // A fence that neither service nor peer knows is doubted after this long.
  absl::Duration fence_doubt_limit = absl::Seconds(60);

  // The platform's lists show a change within this time.
  absl::Duration list_lag = absl::Seconds(10);
  // A list not read again for this long can't be confirmed. Longer than a
  // watch of the service waits.
  absl::Duration list_confirm_limit = absl::Seconds(5);
  // A peer that talks without being listed for this long shows that the list
  // is stale.
  absl::Duration list_doubt_limit = absl::Seconds(5);

  // An instance that went from the list without a word of leaving may be there
  // for others, and claim what it ranked high for, for this long.
  absl::Duration suspect_limit = absl::Minutes(10);

  // Between two queries to the same partner.
  absl::Duration exchange_interval = absl::Seconds(3);
  // A query without an answer for this long counts as unanswered.
  absl::Duration answer_limit = absl::Seconds(2);
  // Unanswered queries in a row that make a peer seen dead.
  int unanswered_limit = 2;
  // Random partners, beside the rivals for targets.
  int partners = 4;
  // One random partner is replaced in this time.
  absl::Duration partner_change = absl::Seconds(30);
  // Peers that are asked at once after start, after a pause and in isolation.
  int burst_peers = 3;
  // A peer seen dead is asked again after this long.
  absl::Duration dead_recheck = absl::Seconds(15);

  // Longest wait of a new instance for answers of peers and targets.
  absl::Duration start_wait = absl::Seconds(5);
  // Between two tries for one part of the manifest, before it doubles.
  absl::Duration part_retry = absl::Seconds(1);
  // What is known of a peer or target that left the lists is kept this long,
  // so that a list that flaps can't undo a leaving mark.
  absl::Duration forget_after = absl::Minutes(10);
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_CONFIG_H_
