#include "umbertrail/dispatch/freshness.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// Younger knowledge needs no question.
constexpr absl::Duration kFreshEnough = absl::Milliseconds(1000);
// From this age on every instance asks for itself: peers may not be reached,
// and keys and refusals rest on knowledge of the last four seconds. In a fleet
// of hundreds a peer's word takes some rounds of gossip to arrive.
constexpr absl::Duration kAskAlone = absl::Milliseconds(3000);
constexpr absl::Duration kGatherPerInstance = absl::Milliseconds(30);
constexpr absl::Duration kShortestGather = absl::Milliseconds(250);
// Part of the time in which a change must be in force that may pass with
// gathering; the rest is for the question, a slow store and a second try.
constexpr double kGatheredPart = 0.5;
// Instances that ask in one round, on average.
constexpr double kAskersInRound = 2;

}  // namespace

absl::Time MomentOf(const PeerReading& reading) {
  return reading.our_message_sent + reading.reading_after_receipt;
}

bool Confirms(const PeerReading& reading, const KnownStore& known) {
  return reading.revision > 0 && reading.era == known.era &&
         reading.revision <= known.revision;
}

bool IsAhead(const PeerReading& reading, const KnownStore& known) {
  return reading.era > known.era ||
         (reading.era == known.era && reading.revision > known.revision);
}

bool IsSound(const PeerReading& reading, uint64_t our_life, absl::Time now) {
  return reading.our_life == our_life && MomentOf(reading) <= now;
}

absl::Duration GatherTime(int live_instances, absl::Duration in_force_within) {
  return std::max(kShortestGather, std::min(kGatherPerInstance * live_instances,
                                            in_force_within * kGatheredPart));
}

bool ShouldAskStore(absl::Duration age, int live_instances, double turn) {
  if (age < kFreshEnough) {
    return false;
  }
  return age >= kAskAlone ||
         turn < kAskersInRound / std::max(live_instances, 1);
}

}  // namespace umbertrail::dispatch
