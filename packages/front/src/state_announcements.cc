#include <algorithm>

#include "umbertrail/front/state.h"

// What targets announce of themselves: that they leave, the rate that they
// take, and how long they want nothing.

namespace umbertrail::front {

bool State::MarkLeaving(const TargetId& target,
                        int64_t born_ms,
                        absl::Time now) {
  const dispatch::TargetEntry* entry = view.Find(target);
  if (entry == nullptr || !view.MayServe(*entry) || entry->born_ms > born_ms) {
    return false;
  }
  view.RecordShutdown(target, born_ms, now);
  log.Write(EventLog::Level::kImportant, "target_leaving",
            {{"target", target.text()}, {"born_ms", born_ms}}, now);
  return true;
}

bool State::RecordLimit(const dispatch::TargetLimit& stated, absl::Time now) {
  if (!limits.Merge(stated)) {
    return false;
  }
  log.Write(EventLog::Level::kImportant, "target_limit",
            {{"target", stated.target.text()},
             {"limited", stated.rate.has_value()},
             {"per_s", stated.rate.value_or(0)},
             {"age_ms", absl::ToInt64Milliseconds(now - stated.stated_at)}},
            now);
  return true;
}

int State::SharersOfLimit(const dispatch::TargetEntry& target,
                          const dispatch::TargetLimit& limit,
                          absl::Time now) {
  const InstanceId self(settings.ip);
  if (dispatch::AllInstancesAreHomes(live_instances)) {
    const auto live = members.Live(now);
    const int senders = dispatch::SenderCount(
        *limit.rate, static_cast<int>(live.size()), now - limit.stated_at);
    return dispatch::IsSender(target.id, self, live, senders) ? senders : 0;
  }
  const dispatch::Shard* shard = Shards().Of(target);
  if (shard == nullptr) {
    return 0;
  }
  const std::vector<InstanceId> homes = HomesOf(*shard, now);
  return std::find(homes.begin(), homes.end(), self) == homes.end()
             ? 0
             : static_cast<int>(homes.size());
}

absl::Duration State::TimeToSend(const dispatch::TargetEntry& target,
                                 absl::Time now) {
  const dispatch::TargetLimit* limit = limits.Find(target.id, target.born_ms);
  if (limit == nullptr) {
    return absl::ZeroDuration();
  }
  const int sharers = SharersOfLimit(target, *limit, now);
  return sharers == 0 ? dispatch::TurnInterval(*limit)
                      : limits.TimeToSend(*limit, sharers, now);
}

bool State::ChargeLimit(const dispatch::TargetEntry& target, absl::Time now) {
  const dispatch::TargetLimit* limit = limits.Find(target.id, target.born_ms);
  if (limit == nullptr) {
    return true;
  }
  const int sharers = SharersOfLimit(target, *limit, now);
  return sharers > 0 && limits.Take(*limit, sharers, now);
}

void State::StartBackoff(const TargetId& target,
                         absl::Duration duration,
                         absl::Time now) {
  absl::Time& until = backoff_until_[target];
  until = std::max(until, now + duration);
  log.Write(EventLog::Level::kNormal, "target_wants_nothing",
            {{"target", target.text()},
             {"for_ms", absl::ToInt64Milliseconds(duration)}},
            now);
}

bool State::InBackoff(const TargetId& target, absl::Time now) const {
  const auto found = backoff_until_.find(target);
  return found != backoff_until_.end() && now < found->second;
}

std::vector<TargetId> State::TargetsInBackoff(absl::Time now) {
  std::vector<TargetId> targets;
  for (auto it = backoff_until_.begin(); it != backoff_until_.end();) {
    if (now >= it->second) {
      it = backoff_until_.erase(it);
      continue;
    }
    targets.push_back(it->first);
    ++it;
  }
  return targets;
}

absl::Duration State::ShortestBackoff(const ServiceId& service,
                                      absl::Time now) const {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const auto& [target, until] : backoff_until_) {
    const dispatch::TargetEntry* entry = view.Find(target);
    if (now < until && entry != nullptr && entry->service == service &&
        view.MayServe(*entry)) {
      shortest = std::min(shortest, until - now);
    }
  }
  return shortest;
}

}  // namespace umbertrail::front
