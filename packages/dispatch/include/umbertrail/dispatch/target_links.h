#ifndef UMBERTRAIL_DISPATCH_TARGET_LINKS_H_
#define UMBERTRAIL_DISPATCH_TARGET_LINKS_H_

#include <set>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::dispatch {

// Whether this instance, and not single targets, has lost its links to the
// targets: connections to several fail, and none has been heard since the first
// of these failures.
class TargetLinks {
 public:
  // Targets that must be unreachable, or all where there are fewer.
  static constexpr size_t kMinUnreachable = 3;
  // Time without a sign of any target, while requests wait for one, after which
  // the links are to be checked.
  static constexpr absl::Duration kMaxSilence = absl::Milliseconds(500);

  // A target sent bytes or accepted a connection; true if the links are back.
  bool RecordContact(absl::Time now);
  // A connection to a target failed; true if the links are lost from now on.
  bool RecordUnreachable(const TargetId& target, size_t known_targets);

  bool lost() const { return lost_; }
  // A target couldn't be reached since the last contact.
  bool has_failures() const { return !unreachable_.empty(); }
  bool IsSilent(absl::Time now) const {
    return now - last_contact_ >= kMaxSilence;
  }

 private:
  std::set<TargetId> unreachable_;
  absl::Time last_contact_ = absl::InfinitePast();
  bool lost_ = false;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_TARGET_LINKS_H_
