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

bool LoadBoard::NoteRead(WorkId id) {
  const auto found = own_.find(id);
  if (found == own_.end() || !found->second.item.reading) {
    return false;
  }
  found->second.item.reading = false;
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

void LoadBoard::SetPeer(const InstanceId& peer,
                        const TargetId& target,
                        std::vector<WorkItem> items) {
  if (items.empty()) {
    peers_[peer].erase(target);
    return;
  }
  peers_[peer][target] = std::move(items);
}

void LoadBoard::NotePeer(const InstanceId& peer, absl::Time now) {
  heard_[peer] = now;
}

void LoadBoard::ForgetPeer(const InstanceId& peer) {
  peers_.erase(peer);
  heard_.erase(peer);
}

void LoadBoard::ForgetSilent(absl::Time now) {
  std::vector<InstanceId> silent;
  for (const auto& [peer, at] : heard_) {
    if (now - at > kPeerSilence) {
      silent.push_back(peer);
    }
  }
  for (const InstanceId& peer : silent) {
    ForgetPeer(peer);
  }
}

std::vector<WorkItem> LoadBoard::OwnAt(const TargetId& target) const {
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

std::vector<WorkItem> LoadBoard::At(const TargetId& target) const {
  std::vector<WorkItem> items = OwnAt(target);
  for (const auto& [peer, targets] : peers_) {
    const auto found = targets.find(target);
    if (found != targets.end()) {
      items.insert(items.end(), found->second.begin(), found->second.end());
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

std::vector<TargetId> LoadBoard::TakeChanged() {
  std::vector<TargetId> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

}  // namespace umbertrail::dispatch
