#include "umbertrail/core/request/request_table.h"

#include <algorithm>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {

const char* PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kHeld:
      return "held";
    case Phase::kKeyGrants:
      return "key_grants";
    case Phase::kProbing:
      return "probing";
    case Phase::kAdmitting:
      return "admitting";
    case Phase::kQueued:
      return "queued";
    case Phase::kChecking:
      return "checking";
    case Phase::kRunning:
      return "running";
    case Phase::kForwarded:
      return "forwarded";
    case Phase::kFollowing:
      return "following";
  }
  return "unknown";
}

ActiveRequest& RequestTable::Add(ActiveRequest request) {
  const RequestId id = request.spec.id;
  auto owned = std::make_unique<ActiveRequest>(std::move(request));
  const auto [it, added] = requests_.emplace(id, std::move(owned));
  UMBERTRAIL_INVARIANT(added);
  timers_.insert(TimerOf(*it->second));
  return *it->second;
}

ActiveRequest* RequestTable::Find(const RequestId& id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : it->second.get();
}

void RequestTable::Remove(const RequestId& id) {
  const auto it = requests_.find(id);
  UMBERTRAIL_INVARIANT(it != requests_.end());
  timers_.erase(TimerOf(*it->second));
  requests_.erase(it);
}

void RequestTable::WakeAt(ActiveRequest* request, absl::Time at) {
  timers_.erase(TimerOf(*request));
  request->wake = at;
  timers_.insert(TimerOf(*request));
}

std::vector<RequestId> RequestTable::Due(absl::Time now) const {
  std::vector<RequestId> due;
  for (const Timer& it : timers_) {
    if (it.first > now) {
      break;
    }
    due.push_back(it.second);
  }
  return due;
}

absl::Time RequestTable::NextWakeup() const {
  return timers_.empty() ? absl::InfiniteFuture() : timers_.begin()->first;
}

RequestTable::Timer RequestTable::TimerOf(const ActiveRequest& request) {
  return {std::min(request.wake, request.deadline), request.spec.id};
}

}  // namespace umbertrail::core
