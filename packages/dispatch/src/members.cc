#include "umbertrail/dispatch/members.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "umbertrail/dispatch/fleet_size.h"

namespace umbertrail::dispatch {
namespace {

// Timeout in fleets where all members exchange messages directly; it tolerates
// the loss of several messages in a row.
constexpr absl::Duration kBaseFailureTimeout = absl::Milliseconds(1500);
constexpr int kMaxDirectMembers = 16;
// In larger fleets a message carries only a part of the members, so that
// updates of one arrive in turn. With kGossipFanout, kMaxMembersPerMessage and
// kGossipInterval, one entry in ten thousand is older than 24 ms for each
// member.
constexpr absl::Duration kTimeoutPerMember = absl::Milliseconds(25);
// One entry in this many of a message is among the most recent.
constexpr size_t kRecentEntryDivisor = 4;
// Minimum time for which a member stays suspect.
constexpr absl::Duration kMinSuspicion = absl::Milliseconds(1500);
constexpr size_t kMaxOthers = FleetSize::kMaxInstances - 1;

}  // namespace

void Members::Merge(const Member& entry) {
  if (entry.id == self_.id) {
    return;
  }
  if (others_.size() >= kMaxOthers && others_.count(entry.id) == 0) {
    return;
  }
  Member& known = others_[entry.id];
  if (known.id.empty() || entry.last_heard > known.last_heard) {
    known = entry;
  }
}

void Members::Suspect(const InstanceId& id, absl::Time now) {
  suspects_[id] = now;
}

bool Members::IsSuspect(const InstanceId& id, absl::Time now) const {
  const auto suspect = suspects_.find(id);
  if (suspect == suspects_.end()) {
    return false;
  }
  const auto known = others_.find(id);
  const bool heard_since =
      known != others_.end() && known->second.last_heard > suspect->second;
  return !heard_since || now - suspect->second < kMinSuspicion;
}

void Members::RemoveExpired(absl::Time now) {
  const absl::Duration kept = FailureTimeout() * 2;
  for (auto it = others_.begin(); it != others_.end();) {
    it = now - it->second.last_heard > kept ? others_.erase(it) : std::next(it);
  }
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    const bool over = now - it->second > kept || !IsSuspect(it->first, now);
    it = over ? suspects_.erase(it) : std::next(it);
  }
}

absl::Duration Members::FailureTimeout() const {
  const int beyond = static_cast<int>(others_.size()) + 1 - kMaxDirectMembers;
  return kBaseFailureTimeout + kTimeoutPerMember * std::max(0, beyond);
}

bool Members::IsLive(const Member& member, absl::Time now) const {
  return !member.has_left && now - member.last_heard < FailureTimeout();
}

std::vector<const Member*> Members::Live(absl::Time now) const {
  std::vector<const Member*> live = {&self_};
  for (const auto& [id, member] : others_) {
    if (IsLive(member, now)) {
      live.push_back(&member);
    }
  }
  return live;
}

int Members::CountLive(absl::Time now) const {
  return static_cast<int>(Live(now).size());
}

std::vector<Member> Members::SampleForGossip(absl::Time now,
                                             size_t count,
                                             std::mt19937_64& random) const {
  std::vector<const Member*> live;
  for (const auto& [id, member] : others_) {
    // Members that left are gossiped too, until their timeout.
    if (now - member.last_heard < FailureTimeout()) {
      live.push_back(&member);
    }
  }
  const size_t most_recent = std::min(live.size(), count / kRecentEntryDivisor);
  std::partial_sort(live.begin(),
                    live.begin() + static_cast<std::ptrdiff_t>(most_recent),
                    live.end(), [](const Member* a, const Member* b) {
                      return a->last_heard > b->last_heard;
                    });
  std::vector<const Member*> chosen(
      live.begin(), live.begin() + static_cast<std::ptrdiff_t>(most_recent));
  std::sample(live.begin() + static_cast<std::ptrdiff_t>(most_recent),
              live.end(), std::back_inserter(chosen), count - most_recent,
              random);
  std::vector<Member> entries;
  entries.reserve(chosen.size());
  for (const Member* member : chosen) {
    entries.push_back(*member);
  }
  return entries;
}

std::vector<InstanceId> Members::SamplePeers(absl::Time now,
                                             size_t count,
                                             std::mt19937_64& random) const {
  std::vector<InstanceId> live;
  for (const auto& [id, member] : others_) {
    if (IsLive(member, now)) {
      live.push_back(id);
    }
  }
  std::vector<InstanceId> peers;
  std::sample(live.begin(), live.end(), std::back_inserter(peers), count,
              random);
  return peers;
}

}  // namespace umbertrail::dispatch
