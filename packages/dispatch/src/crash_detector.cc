#include "umbertrail/dispatch/crash_detector.h"

#include <utility>

namespace umbertrail::dispatch {

void CrashDetector::RecordBrokenConnection(const TargetId& target,
                                           int64_t born_ms,
                                           const RequestContents& contents,
                                           absl::Time now) {
  Suspect& suspect = suspects_[target];
  TargetCrash& crash = suspect.crash;
  const bool is_new = crash.target.empty() || crash.born_ms != born_ms ||
                      now - suspect.last_broken > kDetectionWindow;
  if (is_new) {
    suspect = Suspect();
    crash.target = target;
    crash.born_ms = born_ms;
    crash.at = now;
  }
  crash.wholes.insert(contents.whole);
  crash.parts.insert(contents.parts.begin(), contents.parts.end());
  suspect.last_broken = now;
}

void CrashDetector::RecordUnreachable(const TargetId& target, absl::Time now) {
  const auto found = suspects_.find(target);
  if (found != suspects_.end() &&
      now - found->second.last_broken <= kDetectionWindow) {
    found->second.is_down = true;
  }
}

void CrashDetector::RecordRestart(const TargetId& target, absl::Time now) {
  const auto found = suspects_.find(target);
  if (found != suspects_.end() &&
      now - found->second.last_broken <= kDetectionWindow) {
    found->second.restarted = true;
  }
}

void CrashDetector::RecordConnected(const TargetId& target, absl::Time now) {
  for (auto& [id, suspect] : suspects_) {
    if (id != target && now - suspect.last_broken <= kContactWindow) {
      suspect.others_reachable = true;
    }
  }
}

std::vector<TargetCrash> CrashDetector::TakeCrashes(absl::Time now) {
  std::vector<TargetCrash> crashes;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    const Suspect& suspect = it->second;
    const bool crashed =
        suspect.restarted || (suspect.is_down && suspect.others_reachable);
    if (crashed) {
      crashes.push_back(suspect.crash);
    }
    it = crashed || now - suspect.last_broken > kDetectionWindow
             ? suspects_.erase(it)
             : std::next(it);
  }
  return crashes;
}

}  // namespace umbertrail::dispatch
