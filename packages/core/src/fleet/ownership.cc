#include "umbertrail/core/fleet/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace umbertrail::core {
namespace {

// Draws of an instance in the target's own data centre, against one elsewhere
// in the region.
constexpr int kNearDraws = 4;

// Spreads one hash into a further one (the finaliser of splitmix64).
uint64_t Mix(uint64_t n) {
  n += 0x9e3779b97f4a7c15ULL;
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31);
}

RegionId RegionOf(const std::map<DataCentreId, RegionId>& regions,
                  const DataCentreId& data_centre) {
  const auto it = regions.find(data_centre);
  return it == regions.end() ? RegionId() : it->second;
}

}  // namespace

uint64_t OwnerScore(const TargetId& target,
                    const InstanceInfo& instance,
                    const DataCentreId& target_data_centre) {
  const uint64_t seed = StableHash(target.text());
  uint64_t draw = StableHash(instance.id.text(), seed);
  uint64_t best = draw;
  const int draws = instance.data_centre == target_data_centre ? kNearDraws : 1;
  for (int i = 1; i < draws; ++i) {
    draw = Mix(draw);
    best = std::max(best, draw);
  }
  return best;
}

Ownership::Ownership(const FleetConfig& config,
                     InstanceId self,
                     const Membership* membership,
                     const Mutations* mutations)
    : config_(config),
      self_(std::move(self)),
      membership_(membership),
      mutations_(mutations) {}

void Ownership::OnListsChanged(absl::Time now) {
  SortAll(now);
}

void Ownership::OnManifest(absl::Time now, const manifest::Manifest& manifest) {
  std::map<DataCentreId, RegionId> regions;
  for (const manifest::DataCentre& it : manifest.data_centres) {
    regions[it.id] = it.region;
  }
  if (regions != regions_) {
    regions_ = std::move(regions);
    SortAll(now);
  }
}

void Ownership::SortAll(absl::Time now) {
  std::map<RegionId, std::vector<uint16_t>> by_region;
  std::vector<uint16_t> all;
  const std::vector<InstanceInfo>& instances = membership_->instances();
  for (size_t n = 0; n < instances.size(); ++n) {
    const auto i = static_cast<uint16_t>(n);
    by_region[RegionOf(regions_, instances[n].data_centre)].push_back(i);
    all.push_back(i);
  }
  std::map<TargetId, Place> former = std::move(places_);
  places_.clear();
  for (const TargetInfo& it : membership_->targets()) {
    Place& place = places_[it.id];
    place.first_since = former[it.id].first_since;
    place.contested_until = former[it.id].contested_until;
    const auto near = by_region.find(RegionOf(regions_, it.data_centre));
    // A region without instances is served from the others.
    SortOrder(it, near == by_region.end() ? all : near->second, &place);
    NoteSuspects(it, &place);
  }
  OnMarksChanged(now);
}

void Ownership::OnMarksChanged(absl::Time now) {
  for (auto& [id, place] : places_) {
    UpdatePlace(now, &place);
  }
}

void Ownership::OnPause(absl::Time now) {
  for (auto& [id, place] : places_) {
    if (place.first_since != absl::InfiniteFuture()) {
      place.first_since = now;
    }
  }
}

std::vector<InstanceId> Ownership::Ranking(const TargetId& target) const {
  const auto it = places_.find(target);
  if (it == places_.end()) {
    return {};
  }
  std::vector<InstanceId> live;
  std::vector<InstanceId> rest;
  for (const uint16_t i : it->second.order) {
    const InstanceId& id = IdAt(i);
    const bool doubtful =
        membership_->InstanceLeaving(id) || membership_->InstanceDead(id);
    if (!doubtful) {
      live.push_back(id);
    } else if (rest.size() < kMaxRanking) {
      rest.push_back(id);
    }
    if (live.size() == kMaxRanking) {
      return live;
    }
  }
  live.insert(live.end(), rest.begin(), rest.end());
  live.resize(std::min(live.size(), kMaxRanking));
  return live;
}

OwnerClaim Ownership::ClaimOf(const TargetId& target, absl::Time now) const {
  const auto it = places_.find(target);
  if (it == places_.end() || it->second.first_since == absl::InfiniteFuture()) {
    return OwnerClaim::kNone;
  }
  const Place& place = it->second;
  const bool settled = now - place.first_since >= config_.list_lag;
  if (!settled && !mutations_->skip_cold_settling) {
    return OwnerClaim::kSettling;
  }
  // Of three that don't hear each other only two may hold half each, and one
  // that isn't in the list may rank before this instance.
  if (place.dead_before > 1 || Doubted(now)) {
    return OwnerClaim::kSettling;
  }
  const bool contested =
      place.dead_before > 0 || place.next_dead || now < place.contested_until;
  return contested || !Confirmed(now) ? OwnerClaim::kHalf : OwnerClaim::kFull;
}

std::vector<InstanceId> Ownership::Rivals() const {
  std::set<InstanceId> rivals;
  for (const auto& [target, place] : places_) {
    std::vector<InstanceId> top;
    for (const uint16_t i : place.order) {
      if (top.size() > kContenders) {
        break;
      }
      if (!membership_->InstanceLeaving(IdAt(i))) {
        top.push_back(IdAt(i));
      }
    }
    const auto self = std::find(top.begin(), top.end(), self_);
    if (self == top.begin()) {
      rivals.insert(top.begin(), top.end());
    } else if (self != top.end()) {
      rivals.insert(top.front());
    }
    if (self != top.end()) {
      rivals.insert(place.suspects.begin(), place.suspects.end());
    }
  }
  rivals.erase(self_);
  return {rivals.begin(), rivals.end()};
}

void Ownership::SortOrder(const TargetInfo& target,
                          const std::vector<uint16_t>& candidates,
                          Place* place) const {
  std::vector<std::pair<uint64_t, uint16_t>> scored;
  scored.reserve(candidates.size());
  for (const uint16_t i : candidates) {
    const InstanceInfo& instance = membership_->instances()[i];
    scored.emplace_back(OwnerScore(target.id, instance, target.data_centre), i);
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  place->order.reserve(scored.size());
  for (const auto& [score, index] : scored) {
    place->order.push_back(index);
  }
}

void Ownership::UpdatePlace(absl::Time now, Place* place) const {
  bool found = false;
  bool ended = false;
  size_t contenders = 0;
  place->dead_before = 0;
  place->next_dead = false;
  // Instances that leave come after all others.
  for (const bool leaving : {false, true}) {
    for (const uint16_t i : place->order) {
      const InstanceId& id = IdAt(i);
      if (ended || membership_->InstanceLeaving(id) != leaving) {
        continue;
      }
      const bool dead = membership_->InstanceDead(id);
      if (found) {
        place->next_dead = place->next_dead || dead;
        ended = ++contenders == kContenders;
      } else if (id == self_) {
        found = true;
      } else if (dead) {
        ++place->dead_before;
      } else {
        ended = true;
      }
    }
    ended = ended || found;
  }
  place->first_since =
      found ? std::min(place->first_since, now) : absl::InfiniteFuture();
  NoteContest(now, place);
}

void Ownership::NoteContest(absl::Time now, Place* place) const {
  if (place->dead_before > 0 || place->next_dead) {
    const absl::Time until =
        now + config_.list_lag + config_.list_confirm_limit;
    place->contested_until = std::max(place->contested_until, until);
  }
}

void Ownership::NoteSuspects(const TargetInfo& target, Place* place) const {
  if (place->order.empty()) {
    return;
  }
  const size_t last = std::min(kContenders, place->order.size() - 1);
  const InstanceInfo& least = membership_->instances()[place->order[last]];
  const bool few = place->order.size() <= kContenders;
  const uint64_t least_score = OwnerScore(target.id, least, target.data_centre);
  for (const Membership::Departed& it : membership_->departed()) {
    const uint64_t score = OwnerScore(target.id, it.info, target.data_centre);
    if (few || score > least_score) {
      const absl::Time until = it.at + config_.suspect_limit;
      place->contested_until = std::max(place->contested_until, until);
      place->suspects.push_back(it.info.id);
    }
  }
}

bool Ownership::Confirmed(absl::Time now) const {
  return now - membership_->instances_read_at() <= config_.list_confirm_limit;
}

bool Ownership::Doubted(absl::Time now) const {
  const absl::Duration unlisted = membership_->UnlistedFor(now);
  return Confirmed(now) ? unlisted > config_.list_doubt_limit
                        : unlisted > absl::ZeroDuration();
}

const InstanceId& Ownership::IdAt(uint16_t index) const {
  return membership_->instances()[index].id;
}

}  // namespace umbertrail::core
