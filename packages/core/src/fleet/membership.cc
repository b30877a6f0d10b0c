#include "umbertrail/core/fleet/membership.h"

#include <algorithm>
#include <utility>

namespace umbertrail::core {
namespace {

// Former boots remembered of one target.
constexpr size_t kMaxFormerLives = 4;

template <typename Life>
bool Contains(const std::vector<Life>& lives, const Life& life) {
  return std::find(lives.begin(), lives.end(), life) != lives.end();
}

template <typename Life>
void Retire(std::vector<Life>* over, const Life& life) {
  over->push_back(life);
  if (over->size() > kMaxFormerLives) {
    over->erase(over->begin());
  }
}

// Notes what a newer list says of leaving. A mark of the same life stays.
template <typename Mark, typename Life>
void NoteListed(Mark* mark, const std::optional<Life>& life, bool leaving) {
  if (leaving) {
    if (!mark->listed_leaving) {
      mark->listed_leaving = true;
      mark->listed_leaving_life = life;
    }
    return;
  }
  const bool same_life = mark->listed_leaving_life.has_value() &&
                         mark->listed_leaving_life == life;
  if (!same_life) {
    mark->listed_leaving = false;
    mark->listed_leaving_life.reset();
  }
}

// A new life begins: what was said of the former one doesn't concern it.
template <typename Mark>
void BeginLife(Mark* mark, bool leaving) {
  mark->said_leaving = leaving;
  mark->listed_leaving = false;
  mark->listed_leaving_life.reset();
}

template <typename Info>
void SortById(std::vector<Info>* list) {
  std::sort(list->begin(), list->end(),
            [](const Info& a, const Info& b) { return a.id < b.id; });
}

template <typename Info, typename Id>
const Info* FindById(const std::vector<Info>& list, const Id& id) {
  const auto it =
      std::lower_bound(list.begin(), list.end(), id,
                       [](const Info& a, const Id& b) { return a.id < b; });
  return it == list.end() || it->id != id ? nullptr : &*it;
}

// Notes since when what isn't listed is missing.
template <typename Map, typename IsListed>
void NoteMissing(Map* map, absl::Time now, IsListed is_listed) {
  for (auto& [id, mark] : *map) {
    mark.missing_since = is_listed(id) ? absl::InfiniteFuture()
                                       : std::min(mark.missing_since, now);
  }
}

template <typename Map>
void Forget(Map* map, absl::Time before) {
  for (auto it = map->begin(); it != map->end();) {
    it = it->second.missing_since < before ? map->erase(it) : std::next(it);
  }
}

}  // namespace

Membership::Membership(const FleetConfig& config, InstanceId self)
    : config_(config), self_(std::move(self)) {}

bool Membership::OnInstanceList(absl::Time now, const InstanceListRead& event) {
  if (instances_known_ && event.version < instances_version_) {
    return false;
  }
  instances_read_at_ = now;
  if (instances_known_ && event.version == instances_version_) {
    return false;
  }
  instances_known_ = true;
  instances_version_ = event.version;
  const std::vector<InstanceInfo> former = std::move(instances_);
  instances_ = event.instances;
  SortById(&instances_);
  NoteDeparted(now, former);
  for (const InstanceInfo& it : instances_) {
    Peer& peer = peers_[it.id];
    peer.unlisted_since = absl::InfiniteFuture();
    NoteListed(&peer, peer.incarnation, it.leaving);
  }
  NoteMissing(&peers_, now,
              [this](const InstanceId& id) { return FindInstance(id); });
  for (auto& [id, peer] : peers_) {
    peer.dead = peer.dead && FindInstance(id) != nullptr;
  }
  return true;
}

void Membership::NoteDeparted(absl::Time now,
                              const std::vector<InstanceInfo>& former) {
  const auto listed = [this](const Departed& it) {
    return FindInstance(it.info.id) != nullptr;
  };
  departed_.erase(std::remove_if(departed_.begin(), departed_.end(), listed),
                  departed_.end());
  for (const InstanceInfo& it : former) {
    if (FindInstance(it.id) == nullptr && !InstanceLeaving(it.id)) {
      departed_.push_back({it, now});
    }
  }
}

bool Membership::OnTargetList(absl::Time now, const TargetListRead& event) {
  if (targets_known_ && event.version <= targets_version_) {
    return false;
  }
  targets_known_ = true;
  targets_version_ = event.version;
  targets_ = event.targets;
  SortById(&targets_);
  for (const TargetInfo& it : targets_) {
    Target& mark = marks_[it.id];
    NoteListed(&mark, mark.boot, it.leaving);
  }
  NoteMissing(&marks_, now,
              [this](const TargetId& id) { return FindTarget(id); });
  return true;
}

Membership::Hearing Membership::OnHeard(absl::Time now,
                                        const InstanceRef& from,
                                        bool leaving,
                                        bool answered) {
  Peer& peer = peers_[from.id];
  Hearing hearing;
  const bool known = peer.incarnation.has_value();
  if (known && *peer.incarnation != from.incarnation) {
    if (!answered) {
      hearing.unconfirmed = true;
      return hearing;
    }
    hearing.former = InstanceRef{from.id, *peer.incarnation};
    hearing.changed = true;
    BeginLife(&peer, leaving);
  }
  hearing.changed =
      hearing.changed || peer.dead || (leaving && !peer.said_leaving);
  peer.incarnation = from.incarnation;
  peer.dead = false;
  peer.said_leaving = peer.said_leaving || leaving;
  peer.heard_at = now;

  if (instances_known_ && FindInstance(from.id) == nullptr) {
    peer.unlisted_since = std::min(peer.unlisted_since, now);
    peer.missing_since = now;
  }
  return hearing;
}

bool Membership::OnDead(absl::Time now, const InstanceId& id) {
  if (id == self_ || FindInstance(id) == nullptr) {
    return false;
  }
  Peer& peer = peers_[id];
  const bool news = !peer.dead;
  peer.dead = true;
  peer.recheck_at = now + config_.dead_recheck;
  return news;
}

std::vector<InstanceId> Membership::TakeRechecks(absl::Time now, size_t limit) {
  std::vector<InstanceId> due;
  for (auto& [id, peer] : peers_) {
    if (peer.dead && peer.recheck_at <= now && due.size() < limit) {
      peer.recheck_at = now + config_.dead_recheck;
      due.push_back(id);
    }
  }
  return due;
}

bool Membership::OnReport(const TargetId& id, const TargetReport& report) {
  Target& mark = marks_[id];
  if (Contains(mark.over, report.boot)) {
    return false;  // a late report of a former boot
  }
  const bool before = TargetLeaving(id);
  const bool leaving = report.state == TargetState::kLeaving;
  if (mark.boot != report.boot) {
    if (mark.boot.has_value()) {
      Retire(&mark.over, *mark.boot);
      BeginLife(&mark, leaving);
    }
    mark.boot = report.boot;
  }
  mark.said_leaving = mark.said_leaving || leaving;

  return TargetLeaving(id) != before;
}

bool Membership::OnTick(absl::Time now) {
  Forget(&peers_, now - config_.forget_after);
  Forget(&marks_, now - config_.forget_after);
  const auto over = [&](const Departed& it) {
    return now - it.at > config_.suspect_limit;
  };
  const size_t n = departed_.size();
  departed_.erase(std::remove_if(departed_.begin(), departed_.end(), over),
                  departed_.end());
  return departed_.size() != n;
}

const InstanceInfo* Membership::FindInstance(const InstanceId& id) const {
  return FindById(instances_, id);
}

const TargetInfo* Membership::FindTarget(const TargetId& id) const {
  return FindById(targets_, id);
}

bool Membership::InstanceLeaving(const InstanceId& id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() &&
         (it->second.said_leaving || it->second.listed_leaving);
}

bool Membership::InstanceDead(const InstanceId& id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() && it->second.dead;
}

bool Membership::TargetLeaving(const TargetId& id) const {
  const auto it = marks_.find(id);
  return it != marks_.end() &&
         (it->second.said_leaving || it->second.listed_leaving);
}

std::optional<InstanceRef> Membership::IncarnationOf(
    const InstanceId& id) const {
  const auto it = peers_.find(id);
  if (it == peers_.end() || !it->second.incarnation.has_value()) {
    return std::nullopt;
  }
  return InstanceRef{id, *it->second.incarnation};
}

std::vector<InstanceInfo> Membership::HeardSince(absl::Time since) const {
  std::vector<InstanceInfo> heard;
  for (const auto& [id, peer] : peers_) {
    if (peer.heard_at >= since && id != self_) {
      heard.push_back({id, DataCentreId(), false});
    }
  }
  return heard;
}

absl::Duration Membership::UnlistedFor(absl::Time now) const {
  absl::Duration longest = absl::ZeroDuration();
  for (const auto& [id, peer] : peers_) {
    const bool talks = now - peer.heard_at <= config_.list_lag;
    if (talks && !peer.said_leaving) {
      longest = std::max(longest, now - peer.unlisted_since);
    }
  }
  return longest;
}

}  // namespace umbertrail::core
