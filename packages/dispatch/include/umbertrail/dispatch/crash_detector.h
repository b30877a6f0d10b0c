#ifndef UMBERTRAIL_DISPATCH_CRASH_DETECTOR_H_
#define UMBERTRAIL_DISPATCH_CRASH_DETECTOR_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/crash_evidence.h"

namespace umbertrail::dispatch {

// Tells crashes of targets from other broken connections of this instance. A
// target may lose one answer and stay up, and an instance may lose its links to
// all targets, or be refused new connections while live ones go on. So a crash
// needs a broken request, a refused connection or a restart soon after, and a
// new connection to another target in between; the restart alone is enough
// where the store shows it.
class CrashDetector {
 public:
  // A target found down later than this after the broken connection has another
  // cause.
  static constexpr absl::Duration kDetectionWindow = absl::Seconds(4);
  // Another target must accept a connection within this time after the broken
  // one to show that this instance has its links.
  static constexpr absl::Duration kContactWindow = absl::Seconds(1);

  // A target's incarnation closed its connection within a request.
  void RecordBrokenConnection(const TargetId& target,
                              int64_t born_ms,
                              const RequestContents& contents,
                              absl::Time now);
  // The target can't be connected to.
  void RecordUnreachable(const TargetId& target, absl::Time now);
  // The store shows that the target has restarted or is gone.
  void RecordRestart(const TargetId& target, absl::Time now);
  // The target accepted a new connection.
  void RecordConnected(const TargetId& target, absl::Time now);
  // Crashes found since the last call.
  std::vector<TargetCrash> TakeCrashes(absl::Time now);

 private:
  struct Suspect {
    TargetCrash crash;
    absl::Time last_broken;
    bool is_down = false;
    bool others_reachable = false;
    bool restarted = false;
  };

  std::map<TargetId, Suspect> suspects_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_CRASH_DETECTOR_H_
