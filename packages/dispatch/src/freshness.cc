#include "umbertrail/dispatch/freshness.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// More recent knowledge needs no poll.
constexpr absl::Duration kFreshEnough = absl::Milliseconds(1000);
// From this age every instance polls for itself: peers may be unreachable, and
// keys and refusals rely on knowledge of the last four seconds. In fleets of
// hundreds a peer's report takes several gossip rounds to arrive.
constexpr absl::Duration kAskAlone = absl::Milliseconds(3000);
constexpr absl::Duration kGatherPerInstance = absl::Milliseconds(30);
constexpr absl::Duration kShortestGather = absl::Milliseconds(250);
// Fraction of the time within which a change must be in force that batching may
// use; the rest is for the poll, a slow store and a retry.
constexpr double kGatheredPart = 0.5;
// Mean number of instances that poll in one round.
constexpr double kAskersInRound = 2;

}  // namespace

absl::Time LocalReadTime(const StoreReadReport& reading) {
  return reading.our_message_sent + reading.read_after_receipt;
}

bool Confirms(const StoreReadReport& reading, const KnownStore& known) {
  return reading.revision > 0 && reading.era == known.era &&
         reading.revision <= known.revision;
}

bool IsAhead(const StoreReadReport& reading, const KnownStore& known) {
  return reading.era > known.era ||
         (reading.era == known.era && reading.revision > known.revision);
}

bool IsValidReport(const StoreReadReport& reading,
                   uint64_t our_incarnation,
                   absl::Time now) {
  return reading.our_incarnation == our_incarnation &&
         LocalReadTime(reading) <= now;
}

absl::Duration BatchingDelay(int live_instances,
                             absl::Duration in_force_within) {
  return std::max(kShortestGather, std::min(kGatherPerInstance * live_instances,
                                            in_force_within * kGatheredPart));
}

bool ShouldPollStore(absl::Duration age, int live_instances, double turn) {
  if (age < kFreshEnough) {
    return false;
  }
  return age >= kAskAlone ||
         turn < kAskersInRound / std::max(live_instances, 1);
}

}  // namespace umbertrail::dispatch
