#ifndef UMBERTRAIL_DISPATCH_FRESHNESS_H_
#define UMBERTRAIL_DISPATCH_FRESHNESS_H_

#include <cstdint>

#include "absl/time/time.h"

// Sharing of store reads among instances: which local knowledge a peer's read
// confirms, and when an instance polls the store itself.

namespace umbertrail::dispatch {

// The latest known position in the store's history. Revisions of different eras
// aren't comparable.
struct KnownStore {
  uint64_t era = 0;
  uint64_t revision = 0;
};

// True if `read` is later in the store's history than `known`.
bool IsAhead(const KnownStore& read, const KnownStore& known);

// A peer's report of its last store read, relative to the moment at which it
// received a message of ours.
struct StoreReadReport {
  // Incarnation of this instance that sent the message. An earlier one may have
  // used another clock.
  uint64_t our_incarnation = 0;
  // Our own time at which we sent the message that the peer names.
  absl::Time our_message_sent;
  // Time from the peer's receipt of that message to the moment as of which its
  // read holds; mostly negative.
  absl::Duration read_after_receipt;
  // The store's revision and era at that read.
  uint64_t revision = 0;
  uint64_t era = 0;
};

// The local time as of which the peer's read holds. As the message took some
// time to arrive, the true time is never earlier.
absl::Time LocalReadTime(const StoreReadReport& report);

// True if `known` includes everything that the peer read.
bool Confirms(const StoreReadReport& report, const KnownStore& known);

// True if the peer read a revision that is unknown here: the store must be
// polled, as a peer's report doesn't replace a read.
bool IsAhead(const StoreReadReport& report, const KnownStore& known);

// True if LocalReadTime is valid: the message belongs to this incarnation, and
// the time isn't in the future.
bool IsValidReport(const StoreReadReport& report,
                   uint64_t our_incarnation,
                   absl::Time now);

// True if an instance whose view is `age` old should poll the store now;
// evaluated every kAgeCheck. In large fleets few instances poll, and inform the
// others. `uniform` is random in [0, 1).
bool ShouldPollStore(absl::Duration age, int live_instances, double uniform);
// Batching delay after a change: targets come and go in bursts, every instance
// polls for each, and each call is billed. At most half of the time within
// which a change must be in force.
absl::Duration BatchingDelay(int live_instances,
                             absl::Duration max_apply_delay);

inline constexpr absl::Duration kAgeCheck = absl::Milliseconds(400);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FRESHNESS_H_
