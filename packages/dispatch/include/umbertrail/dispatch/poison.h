#ifndef UMBERTRAIL_DISPATCH_POISON_H_
#define UMBERTRAIL_DISPATCH_POISON_H_

#include <cstdint>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::dispatch {

// A target that died while it ran a content.
struct TargetCrash {
  Fingerprint content;
  TargetId target;
};

// Targets that died under one content, across all instances. A connection that
// breaks makes its target a suspect only: a target that lost one answer lives
// on, one that died is not reachable or starts anew soon after.
class PoisonRegister {
 public:
  // Different targets that have died under one content before it is refused.
  static constexpr size_t kDeaths = 2;
  // A death is remembered this long.
  static constexpr absl::Duration kCrashRetention = absl::Seconds(60);
  // A target that is found dead later than this died of something else.
  static constexpr absl::Duration kSuspicion = absl::Seconds(4);

  // `target` ended its connection without an answer while it ran `content`.
  void RecordBrokenConnection(const TargetCrash& suspect, absl::Time now);
  // `target` is found dead: what it ran when it broke off counts. Returns the
  // deaths that are new.
  std::vector<TargetCrash> RecordTargetDown(const TargetId& target,
                                            absl::Time now);
  // A death that another instance found; false when it was known.
  bool RecordCrash(const TargetCrash& death, absl::Time now);
  // True when the content is not to be sent to any target.
  bool IsPoison(Fingerprint content, absl::Time now) const;

 private:
  struct Entry {
    std::set<TargetId> targets;
    absl::Time last;
  };
  struct Suspect {
    TargetCrash death;
    absl::Time at;
  };
  void Forget(absl::Time now);

  absl::flat_hash_map<Fingerprint, Entry> entries_;
  std::vector<Suspect> suspects_;
  absl::Time next_sweep_ = absl::InfinitePast();
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_POISON_H_
