#include <utility>

#include "umbertrail/front/relay.h"

// Memory and work that an attempt occupies at its targets.

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

// Refused reservations after which the request is refused.
constexpr int kMaxRefusedReservations = 4;

}  // namespace

void Relay::ReserveAndSend(const dispatch::PlacementDecision& placed) {
  std::vector<MemoryTicket> tickets;
  for (size_t i = 0; i < placed.helpers.size(); ++i) {
    const Tokens tokens = dispatch::TicketOf(placed, i);
    if (tokens == Tokens(0)) {
      continue;
    }
    if (state_.view.Find(placed.helpers[i]) == nullptr) {
      // It left during the placement.
      OnReservationRefused(placed.helpers[i]);
      return;
    }
    tickets.push_back({placed.helpers[i], tokens});
  }
  if (tickets.empty()) {
    Send(placed);
    return;
  }
  if (state_.features.memory_plan) {
    // Others must not plan with this memory while the orders are on their way.
    RegisterWork(placed);
  }
  reservation_used_ = false;
  reservation_ =
      std::make_shared<MemoryReservation>(state_, state_.NextReservation());
  reservation_->Reserve(tickets, [weak = weak_from_this(),
                                  placed](const TargetId* failed_target) {
    const auto self = weak.lock();
    if (!self || self->finished_) {
      return;
    }
    if (failed_target != nullptr) {
      self->state_.metrics.CountReservation("refused");
      self->reservation_.reset();
      self->OnReservationRefused(*failed_target);
      return;
    }
    self->state_.metrics.CountReservation("granted");
    self->Send(placed);
  });
}

void Relay::OnReservationRefused(const TargetId& target) {
  ReleaseTargetResources();
  excluded_helpers_.push_back(target);
  if (++refused_reservations_ < kMaxRefusedReservations &&
      HasTimeForAttempt(BootNow())) {
    PlaceAndSend();
  } else {
    Refuse(Refusal::kOverloaded, absl::Seconds(1));
  }
}

std::vector<adapter::HelperAddress> Relay::HelperAddresses(
    const dispatch::PlacementDecision& placed) const {
  std::vector<adapter::HelperAddress> addresses;
  for (size_t i = 0; i < placed.helpers.size(); ++i) {
    const dispatch::TargetEntry* found = state_.view.Find(placed.helpers[i]);
    if (found != nullptr) {
      const bool holds_memory =
          reservation_ && dispatch::TicketOf(placed, i) > Tokens(0);
      addresses.push_back(
          {found->address, holds_memory ? reservation_->name() : ""});
    }
  }
  return addresses;
}

void Relay::RegisterWork(const dispatch::PlacementDecision& placed) {
  const dispatch::EngineModel* engine =
      service_ != nullptr && service_->engine ? &*service_->engine : nullptr;
  const absl::Time now = BootNow();
  const dispatch::RequestProfile profile = ProfileAt(now);
  expected_events_ = ExpectedEvents(now) + framer_.event_count();
  for (const auto& [target, item] :
       dispatch::WorkItemsFor(profile, engine, placed, now)) {
    work_ids_.push_back(state_.board.Begin(target, item));
  }
}

void Relay::EndHelperPrefills() {
  std::vector<dispatch::WorkId> kept = {work_ids_.front()};
  for (size_t i = 1; i < work_ids_.size(); ++i) {
    if (state_.features.memory_plan &&
        state_.board.HoldsReservedMemory(work_ids_[i])) {
      kept.push_back(work_ids_[i]);
    } else {
      state_.board.End(work_ids_[i]);
    }
  }
  work_ids_ = std::move(kept);
}

void Relay::ReleaseTargetResources() {
  for (const dispatch::WorkId id : work_ids_) {
    state_.board.End(id);
  }
  work_ids_.clear();
  if (reservation_) {
    if (!reservation_used_) {
      state_.metrics.CountReservation("unused");
    }
    reservation_->Release();
    reservation_.reset();
  }
}

}  // namespace umbertrail::front
