#include "umbertrail/dispatch/poison.h"

#include <algorithm>

namespace umbertrail::dispatch {

void PoisonRegister::RecordBrokenConnection(const TargetCrash& suspect,
                                            absl::Time now) {
  RemoveExpired(now);
  suspects_.push_back({suspect, now});
}

std::vector<TargetCrash> PoisonRegister::RecordTargetDown(
    const TargetId& target,
    absl::Time now) {
  std::vector<TargetCrash> crashes;
  for (const Suspect& suspect : suspects_) {
    if (suspect.crash.target == target &&
        now - suspect.at <= kDetectionWindow) {
      crashes.push_back(suspect.crash);
      RecordCrash(suspect.crash, now);
    }
  }
  suspects_.erase(std::remove_if(suspects_.begin(), suspects_.end(),
                                 [&](const Suspect& suspect) {
                                   return suspect.crash.target == target;
                                 }),
                  suspects_.end());
  return crashes;
}

bool PoisonRegister::RecordCrash(const TargetCrash& crash, absl::Time now) {
  RemoveExpired(now);
  Entry& entry = entries_[crash.content];
  if (!entry.targets.insert(crash.target).second) {
    return false;
  }
  entry.last_crash = now;
  return true;
}

bool PoisonRegister::IsPoison(Fingerprint content, absl::Time now) const {
  const auto found = entries_.find(content);
  return found != entries_.end() &&
         found->second.targets.size() >= kMinCrashes &&
         now - found->second.last_crash < kCrashRetention;
}

void PoisonRegister::RemoveExpired(absl::Time now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kDetectionWindow;
  absl::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.last_crash >= kCrashRetention;
  });
  suspects_.erase(std::remove_if(suspects_.begin(), suspects_.end(),
                                 [&](const Suspect& suspect) {
                                   return now - suspect.at > kDetectionWindow;
                                 }),
                  suspects_.end());
}

}  // namespace umbertrail::dispatch
