#include "umbertrail/dispatch/load_board.h"

#include <algorithm>

namespace umbertrail::dispatch {

void LoadBoard::NoteChange(const TargetId& target) {
  changed_.insert(target);
  if (on_change_) {
    on_change_();
  }
}

WorkId LoadBoard::Begin(const TargetId& target, const WorkItem& item) {
  const WorkId id = next_++;
  own_.emplace(id, Own{target, item});
  own_at_[target].push_back(id);
  NoteChange(target);
  return id;
}

bool LoadBoard::MarkPrefilled(WorkId id, absl::Time now) {
  const auto found = own_.find(id);
  if (found == own_.end() || !found->second.item.prefilling) {
    return false;
  }
  found->second.item.prefilling = false;
  found->second.item.first_event_at = now;
  NoteChange(found->second.target);
  return true;
}

void LoadBoard::End(WorkId id) {
  const auto found = own_.find(id);
  if (found == own_.end()) {
    return;
  }
  const TargetId target = found->second.target;
  own_.erase(found);
  std::vector<WorkId>& ids = own_at_[target];
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
  if (ids.empty()) {
    own_at_.erase(target);
  }
  NoteChange(target);
}

bool LoadBoard::HoldsReservedMemory(WorkId id) const {
  const auto found = own_.find(id);
  return found != own_.end() && found->second.item.is_helper &&
         found->second.item.memory.value_or(Tokens(0)) > Tokens(0);
}

bool LoadBoard::SetPeerLoad(const InstanceId& peer,
                            const TargetId& target,
                            std::vector<WorkItem> items) {
  DropReservations(peer, target);
  ErasePeerLoad(peer, target);
  const bool fits = items.size() <= kMaxPeerItems - peer_items_;
  if (items.empty() || !fits) {
    peer_targets_[peer].erase(target);
    return fits;
  }
  peer_items_ += items.size();
  peer_load_[target][peer] = std::move(items);
  peer_targets_[peer].insert(target);
  return true;
}

void LoadBoard::ErasePeerLoad(const InstanceId& peer, const TargetId& target) {
  const auto found = peer_load_.find(target);
  if (found == peer_load_.end()) {
    return;
  }
  const auto reported = found->second.find(peer);
  if (reported != found->second.end()) {
    peer_items_ -= reported->second.size();
    found->second.erase(reported);
  }
  if (found->second.empty()) {
    peer_load_.erase(found);
  }
}

void LoadBoard::Reserve(const InstanceId& peer,
                        const TargetId& target,
                        const WorkItem& item,
                        absl::Time now,
                        absl::Duration reserve_for) {
  std::vector<Reservation>& reservations = reservations_[target];
  reservations.erase(std::remove_if(reservations.begin(), reservations.end(),
                                    [&](const Reservation& reservation) {
                                      return now >= reservation.until;
                                    }),
                     reservations.end());
  reservations.push_back({peer, item, now + reserve_for});
}

size_t LoadBoard::CountReservations(const TargetId& target) const {
  const auto found = reservations_.find(target);
  return found == reservations_.end() ? 0 : found->second.size();
}

void LoadBoard::DropReservations(const InstanceId& peer,
                                 const TargetId& target) {
  const auto found = reservations_.find(target);
  if (found == reservations_.end()) {
    return;
  }
  auto& reservations = found->second;
  reservations.erase(std::remove_if(reservations.begin(), reservations.end(),
                                    [&](const Reservation& reservation) {
                                      return reservation.peer == peer;
                                    }),
                     reservations.end());
  if (reservations.empty()) {
    reservations_.erase(found);
  }
}

void LoadBoard::RecordHeartbeat(const InstanceId& peer, absl::Time now) {
  last_heartbeat_[peer] = now;
}

void LoadBoard::RemovePeer(const InstanceId& peer) {
  const auto found = peer_targets_.find(peer);
  if (found != peer_targets_.end()) {
    for (const TargetId& target : found->second) {
      ErasePeerLoad(peer, target);
    }
    peer_targets_.erase(found);
  }
  last_heartbeat_.erase(peer);
}

void LoadBoard::RemoveTimedOutPeers(absl::Time now) {
  std::vector<InstanceId> silent;
  for (const auto& [peer, at] : last_heartbeat_) {
    if (now - at > kPeerTimeout) {
      silent.push_back(peer);
    }
  }
  for (const InstanceId& peer : silent) {
    RemovePeer(peer);
  }
}

std::vector<WorkItem> LoadBoard::OwnLoadAt(const TargetId& target) const {
  std::vector<WorkItem> items;
  const auto ids = own_at_.find(target);
  if (ids == own_at_.end()) {
    return items;
  }
  for (const WorkId id : ids->second) {
    items.push_back(own_.at(id).item);
  }
  return items;
}

std::vector<WorkItem> LoadBoard::LoadAt(const TargetId& target,
                                        absl::Time now) const {
  std::vector<WorkItem> items = OwnLoadAt(target);
  const auto reported = peer_load_.find(target);
  if (reported != peer_load_.end()) {
    for (const auto& [peer, peer_items] : reported->second) {
      items.insert(items.end(), peer_items.begin(), peer_items.end());
    }
  }
  const auto reservation = reservations_.find(target);
  if (reservation != reservations_.end()) {
    for (const Reservation& reserved : reservation->second) {
      if (now < reserved.until) {
        items.push_back(reserved.item);
      }
    }
  }
  return items;
}

std::vector<TargetId> LoadBoard::OwnTargets() const {
  std::vector<TargetId> targets;
  for (const auto& [target, ids] : own_at_) {
    targets.push_back(target);
  }
  return targets;
}

std::vector<TargetId> LoadBoard::TakeChangedTargets() {
  std::vector<TargetId> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

}  // namespace umbertrail::dispatch
