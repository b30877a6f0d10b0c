#include "umbertrail/dispatch/freshness.h"

#include <algorithm>

namespace umbertrail::dispatch {
namespace {

// More recent knowledge needs no poll.
constexpr absl::Duration kMinPollAge = absl::Milliseconds(1000);
// From this age every instance polls for itself: peers may be unreachable, and
// keys and refusals rely on knowledge of the last four seconds. In fleets of
// hundreds a peer's report takes several gossip rounds to arrive.
constexpr absl::Duration kMustPollAge = absl::Milliseconds(3000);
constexpr absl::Duration kBatchingDelayPerInstance = absl::Milliseconds(30);
constexpr absl::Duration kMinBatchingDelay = absl::Milliseconds(250);
// Fraction of the time within which a change must be in force that batching may
// use; the rest is for the poll, a slow store and a retry.
constexpr double kMaxBatchingFraction = 0.5;
// Mean number of instances that poll in one round.
constexpr double kPollersPerRound = 2;

}  // namespace

absl::Time LocalReadTime(const StoreReadReport& report) {
  return report.our_message_sent + report.read_after_receipt;
}

bool Confirms(const StoreReadReport& report, const KnownStore& known) {
  return report.revision > 0 && report.era == known.era &&
         report.revision <= known.revision;
}

bool IsAhead(const KnownStore& read, const KnownStore& known) {
  return read.era > known.era ||
         (read.era == known.era && read.revision > known.revision);
}

bool IsAhead(const StoreReadReport& report, const KnownStore& known) {
  return IsAhead(KnownStore{report.era, report.revision}, known);
}

bool IsValidReport(const StoreReadReport& report,
                   uint64_t our_incarnation,
                   absl::Time now) {
  return report.our_incarnation == our_incarnation &&
         LocalReadTime(report) <= now;
}

absl::Duration BatchingDelay(int live_instances,
                             absl::Duration max_apply_delay) {
  return std::max(kMinBatchingDelay,
                  std::min(kBatchingDelayPerInstance * live_instances,
                           max_apply_delay * kMaxBatchingFraction));
}

bool ShouldPollStore(absl::Duration age, int live_instances, double uniform) {
  if (age < kMinPollAge) {
    return false;
  }
  return age >= kMustPollAge ||
         uniform < kPollersPerRound / std::max(live_instances, 1);
}

}  // namespace umbertrail::dispatch
