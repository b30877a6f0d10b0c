#include "umbertrail/dispatch/target_limits.h"

#include <algorithm>

#include "umbertrail/base/hash.h"

namespace umbertrail::dispatch {
namespace {

// Part of the stated rate that is used; the rest covers requests that are sent
// in one period and arrive in another.
constexpr double kUsedFraction = 0.9;
// A target that takes nothing is still asked this often, as only its response
// can end the limit.
constexpr double kMinRate = 0.1;
// Requests that a sender may send at once correspond to this time, but are one
// at least.
constexpr absl::Duration kBurst = absl::Milliseconds(250);
// A few senders even of the lowest rate, so that one without requests of its
// own doesn't leave the target idle.
constexpr int kMinSenders = 2;
// Further senders for each request per second. Each may hold one request when a
// period begins, and what the contract bears beyond the rate grows with it.
constexpr double kSendersPerRate = 1.2;
// One more sender for each such time without a response.
constexpr absl::Duration kSilencePerSender = absl::Seconds(10);
// A wait is never rounded to nothing.
constexpr absl::Duration kMinWait = absl::Milliseconds(1);
// The end of a limit is told for this long, which reaches everyone.
constexpr absl::Duration kEndTold = absl::Seconds(5);

double UsedRate(const TargetLimit& limit) {
  return std::max(limit.rate.value_or(0) * kUsedFraction, kMinRate);
}

uint64_t RankOf(const TargetId& target, const InstanceId& instance) {
  return StableHash(instance.text(), StableHash(target.text()));
}

}  // namespace

absl::Duration TurnInterval(const TargetLimit& limit) {
  return absl::Seconds(1 / UsedRate(limit));
}

int SenderCount(double rate, int instances, absl::Duration since_stated) {
  // A huge rate must not overflow the count.
  const double by_rate = std::min<double>(kSendersPerRate * rate, instances);
  const auto by_silence =
      std::clamp<int64_t>(since_stated / kSilencePerSender, 0, instances);
  return std::min(instances, kMinSenders + static_cast<int>(by_rate) +
                                 static_cast<int>(by_silence));
}

bool IsSender(const TargetId& target,
              const InstanceId& self,
              const std::vector<const Member*>& live,
              int count) {
  const uint64_t own = RankOf(target, self);
  return std::count_if(live.begin(), live.end(), [&](const Member* member) {
           return RankOf(target, member->id) < own;
         }) < count;
}

bool TargetLimits::Merge(const TargetLimit& stated) {
  const auto found = entries_.find(stated.target);
  if (found == entries_.end()) {
    if (!stated.rate) {
      return false;
    }
    entries_.emplace(stated.target,
                     Entry{stated, TokenBucket(0, stated.stated_at)});
    return true;
  }
  TargetLimit& known = found->second.limit;
  const bool newer =
      stated.born_ms > known.born_ms ||
      (stated.born_ms == known.born_ms && stated.stated_at > known.stated_at);
  if (!newer) {
    return false;
  }
  const TargetLimit* before = Find(stated.target, stated.born_ms);
  const bool changed =
      stated.rate != (before == nullptr ? std::nullopt : before->rate);
  if (before == nullptr && stated.rate) {
    found->second.share = TokenBucket(0, stated.stated_at);
  }
  known = stated;
  return changed;
}

const TargetLimit* TargetLimits::Find(const TargetId& target,
                                      int64_t born_ms) const {
  const auto found = entries_.find(target);
  const bool limited = found != entries_.end() &&
                       found->second.limit.born_ms == born_ms &&
                       found->second.limit.rate;
  return limited ? &found->second.limit : nullptr;
}

TokenBucket& TargetLimits::Fill(const TargetLimit& limit,
                                int senders,
                                absl::Time now) {
  TokenBucket& share = entries_.at(limit.target).share;
  const double rate = UsedRate(limit) / std::max(senders, 1);
  share.Fill(now, rate, std::max(1.0, rate * absl::ToDoubleSeconds(kBurst)));
  return share;
}

absl::Duration TargetLimits::TimeToSend(const TargetLimit& limit,
                                        int senders,
                                        absl::Time now) {
  const double missing = 1 - Fill(limit, senders, now).tokens();
  if (missing <= 0) {
    return absl::ZeroDuration();
  }
  return std::max(kMinWait,
                  TurnInterval(limit) * missing * std::max(senders, 1));
}

bool TargetLimits::Take(const TargetLimit& limit, int senders, absl::Time now) {
  return Fill(limit, senders, now).Take();
}

std::vector<TargetLimit> TargetLimits::ToTell(absl::Time now) const {
  std::vector<TargetLimit> told;
  for (const auto& [target, entry] : entries_) {
    if (entry.limit.rate || now - entry.limit.stated_at < kEndTold) {
      told.push_back(entry.limit);
    }
  }
  return told;
}

void TargetLimits::Forget(const std::function<bool(const TargetId&)>& is_gone) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = is_gone(it->first) ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace umbertrail::dispatch
