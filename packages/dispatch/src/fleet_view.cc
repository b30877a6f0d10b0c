#include "umbertrail/dispatch/fleet_view.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace umbertrail::dispatch {
namespace {

constexpr char kConfigKey[] = "config";

std::string KeyOf(const TargetId& id) {
  return absl::StrCat("target/", id.text());
}

std::string KeyOf(const DataCentreId& id) {
  return absl::StrCat("closed/", id.text());
}

// Store key of the entry that a change affects.
struct KeyOfChange {
  std::string operator()(const ConfigChange&) const { return kConfigKey; }
  std::string operator()(const ConfigUnreadable&) const { return kConfigKey; }
  std::string operator()(const TargetChange& c) const {
    return KeyOf(c.entry.id);
  }
  std::string operator()(const TargetGone& c) const { return KeyOf(c.id); }
  std::string operator()(const DataCentreClosed& c) const {
    return KeyOf(c.data_centre);
  }
  std::string operator()(const DataCentreReopened& c) const {
    return KeyOf(c.data_centre);
  }
};

}  // namespace

bool FleetView::IsNew(const std::string& key, uint64_t revision) {
  uint64_t& known = revisions_[key];
  if (revision <= known) {
    return false;
  }
  known = revision;
  return true;
}

bool FleetView::Apply(const Revised& revised, absl::Time now) {
  if (!IsNew(std::visit(KeyOfChange{}, revised.change), revised.revision)) {
    return false;
  }
  if (const auto* config = std::get_if<ConfigChange>(&revised.change)) {
    if (config_ != nullptr && config->config.version < config_->version) {
      return false;
    }
    config_unreadable_since_ = absl::InfiniteFuture();
    config_ = std::make_shared<const FleetConfig>(config->config);
    routes_ = RouteTable(config_->routes);
  } else if (std::holds_alternative<ConfigUnreadable>(revised.change)) {
    config_unreadable_since_ = std::min(config_unreadable_since_, now);
  } else if (const auto* target = std::get_if<TargetChange>(&revised.change)) {
    targets_[target->entry.id] = target->entry;
    ++target_changes_;
    cold_until_[target->entry.id] = now + target->entry.cold_remaining;
    expiring_.erase(target->entry.id);
    removed_.erase(target->entry.id);
  } else if (const auto* gone = std::get_if<TargetGone>(&revised.change)) {
    RemoveTarget(gone->id, now);
  } else if (const auto* closed =
                 std::get_if<DataCentreClosed>(&revised.change)) {
    closed_.insert(closed->data_centre);
    expiring_closed_.erase(closed->data_centre);
  } else if (const auto* reopened =
                 std::get_if<DataCentreReopened>(&revised.change)) {
    Reopen(reopened->data_centre, now);
  }
  return true;
}

void FleetView::ApplySnapshot(const std::vector<Revised>& all,
                              uint64_t revision,
                              absl::Time now) {
  std::set<std::string> present;
  for (const Revised& revised : all) {
    present.insert(std::visit(KeyOfChange{}, revised.change));
    Apply(revised, now);
  }
  std::vector<Revised> missing;
  for (const auto& [id, entry] : targets_) {
    if (present.count(KeyOf(id)) == 0) {
      missing.push_back({revision, TargetGone{id}});
    }
  }
  for (const DataCentreId& id : closed_) {
    if (present.count(KeyOf(id)) == 0) {
      missing.push_back({revision, DataCentreReopened{id}});
    }
  }
  for (const Revised& gone : missing) {
    Apply(gone, now);
  }
}

void FleetView::RemoveTarget(const TargetId& id, absl::Time now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  if (now < outage_grace_until_ && !found->second.draining) {
    expiring_[id] = outage_grace_until_;
    return;
  }
  removed_[id] = {found->second.born_ms, now};
  targets_.erase(found);
  ++target_changes_;
  cold_until_.erase(id);
  expiring_.erase(id);
}

void FleetView::Reopen(const DataCentreId& id, absl::Time now) {
  if (now < restore_grace_until_ && closed_.count(id) > 0) {
    expiring_closed_[id] = restore_grace_until_;
    return;
  }
  closed_.erase(id);
  expiring_closed_.erase(id);
}

bool FleetView::HasEnded(const TargetEntry& entry) const {
  const auto known = targets_.find(entry.id);
  if (known != targets_.end()) {
    return entry.born_ms < known->second.born_ms ||
           (entry.born_ms == known->second.born_ms && known->second.draining &&
            !entry.draining);
  }
  const auto gone = removed_.find(entry.id);
  return gone != removed_.end() && entry.born_ms <= gone->second.born_ms;
}

std::vector<Revised> FleetView::HandleStoreRestore(
    const std::vector<Revised>& copy,
    absl::Time now) {
  std::vector<Revised> accepted;
  for (const Revised& revised : copy) {
    const auto* target = std::get_if<TargetChange>(&revised.change);
    if (target == nullptr || !HasEnded(target->entry)) {
      accepted.push_back(revised);
      continue;
    }
    const TargetEntry* known = Find(target->entry.id);
    if (known != nullptr) {
      accepted.push_back({revised.revision, TargetChange{*known}});
    }
  }
  revisions_.clear();
  restore_grace_until_ = now + kExpiryGrace;
  outage_grace_until_ = std::max(outage_grace_until_, restore_grace_until_);
  return accepted;
}

void FleetView::RecordShutdown(const TargetId& id,
                               int64_t born_ms,
                               absl::Time now) {
  EndedIncarnation& incarnation = shutting_down_[id];
  incarnation.born_ms = std::max(incarnation.born_ms, born_ms);
  incarnation.at = now;
}

bool FleetView::RemoveExpired(absl::Time now) {
  const auto drop_old =
      [&](std::map<TargetId, EndedIncarnation>* incarnations) {
        for (auto it = incarnations->begin(); it != incarnations->end();) {
          const bool keep = now - it->second.at < kEndedRetention ||
                            targets_.count(it->first) > 0;
          it = keep ? std::next(it) : incarnations->erase(it);
        }
      };
  drop_old(&removed_);
  drop_old(&shutting_down_);
  bool reopened = false;
  for (auto it = expiring_closed_.begin(); it != expiring_closed_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    closed_.erase(it->first);
    it = expiring_closed_.erase(it);
    reopened = true;
  }
  std::vector<TargetId> ended;
  for (const auto& [id, until] : expiring_) {
    if (now >= until) {
      ended.push_back(id);
    }
  }
  for (const TargetId& id : ended) {
    RemoveTarget(id, now);
  }
  return reopened || !ended.empty();
}

void FleetView::RecordConfirmation(absl::Time asked_at) {
  confirmed_at_ = std::max(confirmed_at_, asked_at);
}

void FleetView::RecordStoreOutage(absl::Time since, absl::Time now) {
  if (now - since >= kMinExpiryOutage) {
    outage_grace_until_ = now + kExpiryGrace;
  }
}

const TargetEntry* FleetView::Find(const TargetId& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

bool FleetView::IsClosed(const DataCentreId& data_centre) const {
  return closed_.count(data_centre) > 0;
}

bool FleetView::MayServe(const TargetEntry& target) const {
  const auto leaving = shutting_down_.find(target.id);
  const bool leaves = leaving != shutting_down_.end() &&
                      target.born_ms <= leaving->second.born_ms;
  return !target.draining && !leaves && !IsClosed(target.data_centre);
}

absl::Time FleetView::ColdUntil(const TargetId& id) const {
  const auto found = cold_until_.find(id);
  return found == cold_until_.end() ? absl::InfinitePast() : found->second;
}

}  // namespace umbertrail::dispatch
