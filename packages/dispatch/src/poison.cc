#include "umbertrail/dispatch/poison.h"

#include <algorithm>

namespace umbertrail::dispatch {

void PoisonRegister::RecordBrokenConnection(const TargetCrash& suspect,
                                            absl::Time now) {
  Forget(now);
  suspects_.push_back({suspect, now});
}

std::vector<TargetCrash> PoisonRegister::RecordTargetDown(
    const TargetId& target,
    absl::Time now) {
  std::vector<TargetCrash> deaths;
  for (const Suspect& suspect : suspects_) {
    if (suspect.death.target == target && now - suspect.at <= kSuspicion) {
      deaths.push_back(suspect.death);
      RecordCrash(suspect.death, now);
    }
  }
  suspects_.erase(std::remove_if(suspects_.begin(), suspects_.end(),
                                 [&](const Suspect& suspect) {
                                   return suspect.death.target == target;
                                 }),
                  suspects_.end());
  return deaths;
}

bool PoisonRegister::RecordCrash(const TargetCrash& death, absl::Time now) {
  Forget(now);
  Entry& entry = entries_[death.content];
  if (!entry.targets.insert(death.target).second) {
    return false;
  }
  entry.last = now;
  return true;
}

bool PoisonRegister::IsPoison(Fingerprint content, absl::Time now) const {
  const auto found = entries_.find(content);
  return found != entries_.end() && found->second.targets.size() >= kDeaths &&
         now - found->second.last < kCrashRetention;
}

void PoisonRegister::Forget(absl::Time now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSuspicion;
  absl::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.last >= kCrashRetention;
  });
  suspects_.erase(std::remove_if(suspects_.begin(), suspects_.end(),
                                 [&](const Suspect& suspect) {
                                   return now - suspect.at > kSuspicion;
                                 }),
                  suspects_.end());
}

}  // namespace umbertrail::dispatch
