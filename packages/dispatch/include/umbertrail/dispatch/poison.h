#ifndef UMBERTRAIL_DISPATCH_POISON_H_
#define UMBERTRAIL_DISPATCH_POISON_H_

#include <cstdint>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::dispatch {

// A target that crashed while it processed a request with this content.
struct TargetCrash {
  Fingerprint content;
  TargetId target;
};

// Tracks target crashes per request content, across all instances. A broken
// connection only makes the content a suspect, as a target may lose one answer
// and stay up: the crash counts once the target is found unreachable or
// restarted soon after.
class PoisonRegister {
 public:
  // Number of distinct targets that must crash on a content before it is
  // refused.
  static constexpr size_t kMinCrashes = 2;
  // Retention of crashes.
  static constexpr absl::Duration kCrashRetention = absl::Seconds(60);
  // A crash detected later than this after the broken connection has another
  // cause.
  static constexpr absl::Duration kDetectionWindow = absl::Seconds(4);

  // `target` closed its connection without an answer while it processed
  // `content`.
  void RecordBrokenConnection(const TargetCrash& suspect, absl::Time now);
  // `target` was found down: counts the requests it ran when connections broke.
  // Returns the new crashes.
  std::vector<TargetCrash> RecordTargetDown(const TargetId& target,
                                            absl::Time now);
  // Records a crash that another instance detected; false if it was known.
  bool RecordCrash(const TargetCrash& crash, absl::Time now);
  // True if the content must not be sent to any target.
  bool IsPoison(Fingerprint content, absl::Time now) const;

 private:
  struct Entry {
    std::set<TargetId> targets;
    absl::Time last_crash;
  };
  struct Suspect {
    TargetCrash crash;
    absl::Time at;
  };
  void RemoveExpired(absl::Time now);

  absl::flat_hash_map<Fingerprint, Entry> entries_;
  std::vector<Suspect> suspects_;
  absl::Time next_sweep_ = absl::InfinitePast();
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_POISON_H_
