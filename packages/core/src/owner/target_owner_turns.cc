// Turns of waiting requests: offers, suspensions and refusals.

#include <algorithm>
#include <utility>

#include "owner_limits.h"
#include "umbertrail/core/owner/target_owner.h"

namespace umbertrail::core {
namespace {

using detail::kDispatchInterval;
using detail::kLeastRetry;

// Offers of a place that a request may leave unclaimed.
constexpr int kMaxMissedClaims = 2;

// A long prompt with less time than this left is not suspended.
constexpr absl::Duration kSuspendSlack = absl::Seconds(10);

}  // namespace

// -- Turns

void TargetOwner::Dispatch(absl::Time now, Actions* actions) {
  RefuseWork(queue_.RemoveExpired(now),
             {Reason::kDeadlineInfeasible, absl::ZeroDuration()}, actions);
  next_dispatch_ = absl::InfiniteFuture();
  if (queue_.size() == 0 || Closed(now)) {
    return;
  }
  TargetRoom room = RoomAt(now);
  while (const QueuedWork* next = queue_.Next(room)) {
    const QueuedWork work = queue_.Take(next->key());
    AddCharge(now, work, ChargeState::kReserved);
    offered_.emplace(work.key(), work);
    actions->push_back(SendPeer{
        work.holder.id,
        AdmitReady{work.request.request, work.request.attempt, target_}});
    room = RoomAt(now);
  }
  SuspendForShort(now, room, actions);
  if (queue_.size() > 0) {
    next_dispatch_ = now + kDispatchInterval;
  }
}

void TargetOwner::SuspendForShort(absl::Time now,
                                  const TargetRoom& room,
                                  Actions* actions) {
  if (IsService() || queue_.PressedShort(room) == nullptr) {
    return;
  }
  const Charge* best = nullptr;
  for (const auto& [key, charge] : ledger_.charges()) {
    if (charge.suspending) {
      return;
    }
    const auto it = suspensions_.find(key.request);
    const int n = it == suspensions_.end() ? 0 : it->second;
    const bool can = charge.length == LengthClass::kLong &&
                     charge.state == ChargeState::kRunning &&
                     n < context_.config->max_suspensions &&
                     charge.deadline - now > kSuspendSlack;
    if (can && (best == nullptr || charge.deadline > best->deadline)) {
      best = &charge;
    }
  }
  if (best == nullptr) {
    return;
  }
  ledger_.Find(best->key)->suspending = true;
  actions->push_back(
      SendPeer{best->key.holder.id,
               SuspendAttempt{best->key.request, best->key.attempt, target_}});
}

void TargetOwner::ExpireReservations(absl::Time now, Actions* actions) {
  std::vector<AttemptKey> expired;
  for (const auto& [key, work] : offered_) {
    const Charge* charge = ledger_.Find(key);
    if (now >= charge->granted_at + context_.config->claim_window) {
      expired.push_back(key);
    }
  }
  for (const AttemptKey& key : expired) {
    Requeue(now, key, actions);
  }
}

void TargetOwner::Requeue(absl::Time now,
                          const AttemptKey& key,
                          Actions* actions) {
  QueuedWork work = std::move(offered_.at(key));
  offered_.erase(key);
  ledger_.Withdraw(key);
  ++work.missed_claims;
  if (work.missed_claims >= kMaxMissedClaims || queue_.Full()) {
    RefuseWork({work}, {Reason::kOverloaded, kLeastRetry}, actions);
    return;
  }
  // Behind those of its account that kept their turn.
  work.arrived = now;
  queue_.Push(std::move(work));
}

void TargetOwner::RefuseWork(const std::vector<QueuedWork>& works,
                             const Refusal& refusal,
                             Actions* actions) const {
  for (const QueuedWork& work : works) {
    AdmitReply reply;
    reply.request = work.request.request;
    reply.attempt = work.request.attempt;
    reply.target = target_;
    actions->push_back(
        SendPeer{work.holder.id, Refused(refusal, std::move(reply))});
  }
}

void TargetOwner::RefuseAll(const Refusal& refusal, Actions* actions) {
  RefuseWork(queue_.RemoveAll(), refusal, actions);
  std::vector<QueuedWork> offered;
  for (auto& [key, work] : offered_) {
    ledger_.Withdraw(key);
    offered.push_back(std::move(work));
  }
  offered_.clear();
  RefuseWork(offered, refusal, actions);
}

}  // namespace umbertrail::core
