#ifndef UMBERTRAIL_DISPATCH_FRESHNESS_H_
#define UMBERTRAIL_DISPATCH_FRESHNESS_H_

#include <cstdint>

#include "absl/time/time.h"

// How instances share what the store told one of them: which knowledge a peer's
// reading confirms here, and when an instance asks the store itself.

namespace umbertrail::dispatch {

// What a peer says of its last reading of the store, against the moment at
// which it received a message of ours.
struct StoreReadReport {
  // Which life of this instance sent the message that the peer names. The clock
  // of an earlier one may have been another.
  uint64_t our_incarnation = 0;
  // Our own time at which we sent the message that the peer names.
  absl::Time our_message_sent;
  // From the peer's receiving that message to the moment its reading speaks
  // of; mostly negative.
  absl::Duration read_after_receipt;
  // The store's revision at that reading, and its era: revisions of two eras
  // can't be compared.
  uint64_t revision = 0;
  uint64_t era = 0;
};

// The moment, in our own time, as of which the peer's reading holds. The
// message travelled for some time, so the true moment is never earlier.
absl::Time LocalReadTime(const StoreReadReport& reading);

// How far the store is known.
struct KnownStore {
  uint64_t era = 0;
  uint64_t revision = 0;
};

// True when knowing the store so far is knowing all that the peer read.
bool Confirms(const StoreReadReport& reading, const KnownStore& known);

// True when the peer has read something that isn't known here: the store is to
// be asked, as a peer's word is no reading.
bool IsAhead(const StoreReadReport& reading, const KnownStore& known);

// True when MomentOf can be believed: the message that the peer names is of
// this life of ours, and the moment isn't yet to come.
bool IsValidReport(const StoreReadReport& reading,
                   uint64_t our_life,
                   absl::Time now);

// True when an instance whose view is `age` old should ask the store now. With
// many instances few of them ask, and tell the others. `turn` is uniform in
// [0, 1); the question is put every kAgeCheck.
bool ShouldPollStore(absl::Duration age, int live_instances, double turn);
// After a change, those that follow it are gathered for this long: targets come
// and go in numbers, every instance asks for each, and each call is paid for.
// Half of the time in which a change must be in force, at most.
absl::Duration BatchingDelay(int live_instances,
                             absl::Duration in_force_within);

inline constexpr absl::Duration kAgeCheck = absl::Milliseconds(400);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FRESHNESS_H_
