#include "umbertrail/core/owner/owner_table.h"

#include <algorithm>
#include <utility>

namespace umbertrail::core {
namespace {

// Targets newly claimed are looked for at this interval.
constexpr absl::Duration kScanInterval = absl::Seconds(5);

}  // namespace

OwnerTable::OwnerTable(OwnerConfig config,
                       InstanceRef self,
                       const FleetView* fleet,
                       RandomSource* random,
                       const Mutations* mutations)
    : config_(config), holders_(&config_) {
  context_.config = &config_;
  context_.self = std::move(self);
  context_.fleet = fleet;
  context_.random = random;
  context_.mutations = mutations;
  context_.holders = &holders_;
}

ProbeReply OwnerTable::OnProbe(absl::Time now, const ProbeRequest& probe) {
  if (const TargetOwner* owner = FindOrClaim(now, probe.target)) {
    return owner->OnProbe(now, probe);
  }
  ProbeReply reply;
  reply.probe = probe.probe;
  reply.target = probe.target;
  reply.reason = Reason::kNoTarget;
  return reply;
}

AdmitReply OwnerTable::OnAdmit(absl::Time now,
                               const InstanceRef& from,
                               const AdmitRequest& request) {
  holders_.OnHeard(now, from);
  if (TargetOwner* owner = FindOrClaim(now, request.target)) {
    return owner->OnAdmit(now, from, request);
  }
  AdmitReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.target = request.target;
  reply.reason = Reason::kNoTarget;
  return reply;
}

void OwnerTable::OnAlive(absl::Time now,
                         const InstanceRef& from,
                         const AttemptsAlive& alive) {
  holders_.OnHeard(now, from);
  for (const AttemptsAlive::Entry& entry : alive.attempts) {
    if (TargetOwner* owner = Find(entry.target)) {
      owner->OnAlive(now, from, entry);
    }
  }
}

void OwnerTable::OnSettled(absl::Time now,
                           const InstanceRef& from,
                           const AttemptSettled& settled,
                           Actions* actions) {
  holders_.OnHeard(now, from);
  if (TargetOwner* owner = Find(settled.target)) {
    owner->OnSettled(now, from, settled, actions);
  }
}

void OwnerTable::OnReport(absl::Time now,
                          const TargetId& target,
                          const TargetReport& report,
                          Actions* actions) {
  holders_.OnHeard(now, context_.self);
  if (TargetOwner* owner = Find(target)) {
    owner->OnReport(now, report, actions);
  }
}

void OwnerTable::OnUnreachable(absl::Time now,
                               const TargetUnreachable& event,
                               Actions* actions) {
  if (TargetOwner* owner = Find(event.target)) {
    owner->OnUnreachable(now, event.refused, actions);
  }
}

void OwnerTable::OnHandover(absl::Time now,
                            const InstanceRef& from,
                            const OwnerHandover& handover) {
  holders_.OnHeard(now, from);
  TargetOwner* owner = Find(handover.target);
  if (owner == nullptr) {
    owner = Add(handover.target);
  }
  owner->OnHandover(now, handover);
}

void OwnerTable::OnPeerHeard(absl::Time now, const InstanceRef& peer) {
  holders_.OnHeard(now, peer);
}

void OwnerTable::OnPeerIncarnationGone(absl::Time now,
                                       const InstanceRef& peer,
                                       Actions* actions) {
  holders_.OnGone(peer);
  for (auto& [target, owner] : owners_) {
    owner->OnHolderGone(now, peer, actions);
  }
}

void OwnerTable::OnFleetChanged(absl::Time now, Actions* actions) {
  NoteInstances(now);
  for (const TargetInfo& target : context_.fleet->targets()) {
    FindOrClaim(now, target.id);
  }
  for (auto it = owners_.begin(); it != owners_.end();) {
    it->second->OnFleetChanged(now, actions);
    const bool drop = it->second->Forgettable(now);
    it = drop ? owners_.erase(it) : std::next(it);
  }
  next_scan_ = now + kScanInterval;
}

void OwnerTable::OnStop(absl::Time now, Actions* actions) {
  for (auto& [target, owner] : owners_) {
    owner->OnStop(now, actions);
  }
}

void OwnerTable::OnTick(absl::Time now, Actions* actions) {
  if (now >= next_scan_) {
    OnFleetChanged(now, actions);
  }
  for (auto& [target, owner] : owners_) {
    if (owner->NextWakeup() <= now) {
      owner->OnTick(now, actions);
    }
  }
}

absl::Time OwnerTable::NextWakeup() const {
  absl::Time next = next_scan_;
  for (const auto& [target, owner] : owners_) {
    next = std::min(next, owner->NextWakeup());
  }
  return next;
}

bool OwnerTable::Idle() const {
  return std::all_of(owners_.begin(), owners_.end(),
                     [](const auto& it) { return it.second->Idle(); });
}

std::vector<TargetStatus> OwnerTable::Status(absl::Time now) const {
  std::vector<TargetStatus> statuses;
  for (const auto& [target, owner] : owners_) {
    TargetStatus status = owner->Status(now);
    if (status.claim != OwnerClaim::kNone) {
      statuses.push_back(std::move(status));
    }
  }
  return statuses;
}

void OwnerTable::NoteInstances(absl::Time now) {
  if (context_.fleet->ListConfirmed(now)) {
    holders_.OnList(now, context_.fleet->instances());
  }
}

TargetOwner* OwnerTable::Find(const TargetId& target) {
  const auto it = owners_.find(target);
  return it == owners_.end() ? nullptr : it->second.get();
}

TargetOwner* OwnerTable::FindOrClaim(absl::Time now, const TargetId& target) {
  TargetOwner* owner = Find(target);
  if (owner != nullptr) {
    return owner;
  }
  if (context_.fleet->FindTarget(target) == nullptr ||
      context_.fleet->ClaimOf(target, now) == OwnerClaim::kNone) {
    return nullptr;
  }
  return Add(target);
}

TargetOwner* OwnerTable::Add(const TargetId& target) {
  auto owner = std::make_unique<TargetOwner>(context_, target);
  return owners_.emplace(target, std::move(owner)).first->second.get();
}

}  // namespace umbertrail::core
