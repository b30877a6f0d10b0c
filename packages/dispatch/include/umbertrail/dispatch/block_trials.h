#ifndef UMBERTRAIL_DISPATCH_BLOCK_TRIALS_H_
#define UMBERTRAIL_DISPATCH_BLOCK_TRIALS_H_

#include <optional>

#include "absl/time/time.h"

namespace umbertrail::dispatch {

// When a request with blocked content is sent all the same, lest harmless
// content stays blocked. A trial may crash a target, so the whole fleet makes
// one in each interval. The time of the last one is told with the gossip; a
// restarted instance doesn't know it until another instance tells.
class BlockTrials {
 public:
  // Content is tried this long after it was blocked.
  static constexpr absl::Duration kDelay = absl::Seconds(5);
  // Time between two trials of the fleet.
  static constexpr absl::Duration kInterval = absl::Minutes(20);

  enum class Start {
    // The whole fleet starts for the first time: nothing was tried.
    kWithFleet,
    // Others may have run before.
    kLater,
  };

  BlockTrials(Start start, absl::Time started_at)
      : started_at_(started_at),
        last_(start == Start::kWithFleet
                  ? std::make_optional(absl::InfinitePast())
                  : std::nullopt) {}

  // Whether content that is blocked since `blocked_since` may be tried.
  bool MayTry(absl::Time blocked_since, absl::Time now) const;
  void RecordTrial(absl::Time now) { last_ = now; }
  // What another instance knows of the last trial.
  void Merge(absl::Time last_trial);
  // The last trial, infinitely long ago if there was none; nothing if unknown.
  std::optional<absl::Time> last() const { return last_; }

 private:
  absl::Time started_at_;
  std::optional<absl::Time> last_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_BLOCK_TRIALS_H_
