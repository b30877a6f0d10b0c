#include "umbertrail/core/node.h"

#include <algorithm>
#include <utility>

#include "node_parts.h"
#include "umbertrail/core/invariant.h"
#include "umbertrail/core/request/successor.h"

namespace umbertrail::core {
namespace {

// Memories that only forget need no finer clock.
constexpr absl::Duration kSweepInterval = absl::Seconds(5);

RequestFlow::Parts FlowParts(const FleetView* fleet,
                             const Placement* placement,
                             RandomSource* random,
                             TicketDesk* tickets,
                             RedemptionArchive* archive,
                             const ScreenHome* screen,
                             const Mutations* mutations) {
  return {fleet, placement, random, tickets, archive, screen, mutations};
}

}  // namespace

Node::Impl::Impl(NodeConfig config,
                 RandomSource* random,
                 const TicketSigner* signer)
    : config_(std::move(config)),
      fleet_(FleetConfig(),
             config_.self,
             config_.data_centre,
             random,
             &config_.mutations),
      placement_(&fleet_),
      owners_(OwnerConfig(), config_.self, &fleet_, random, &config_.mutations),
      orders_(OrdersConfig(), &fleet_, random, &config_.mutations),
      tickets_(config_.self, signer, &config_.mutations),
      key_home_(config_.self, &fleet_, &config_.mutations),
      screen_home_(config_.self.id, &fleet_, &config_.mutations),
      flow_(FlowConfig(),
            config_.self,
            FlowParts(&fleet_,
                      &placement_,
                      random,
                      &tickets_,
                      &archive_,
                      &screen_home_,
                      &config_.mutations)) {}

Actions Node::Impl::Handle(absl::Time now, Event event) {
  UMBERTRAIL_INVARIANT(now >= last_);
  last_ = now;
  Actions actions;
  // Deadlines come first: nothing late is acted on.
  TickParts(now, &actions);
  std::visit(
      [&](auto&& it) { On(now, std::forward<decltype(it)>(it), &actions); },
      std::move(event));
  TellFleetChange(now, &actions);
  actions = DeliverLocally(now, std::move(actions));
  CompleteStop(now, &actions);
  return actions;
}

void Node::Impl::TickParts(absl::Time now, Actions* actions) {
  // Both walk the whole fleet, so they run at their times, not at each event.
  if (now >= fleet_.NextWakeup()) {
    fleet_.OnTick(now, actions);
  }
  TellFleetChange(now, actions);
  flow_.OnTick(now, actions);
  owners_.OnTick(now, actions);
  if (now >= orders_.NextWakeup()) {
    orders_.OnTick(now, actions);
  }
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  tickets_.OnTick(now);
  key_home_.OnTick(now);
  archive_.OnTick(now);
  screen_home_.OnTick(now, actions);
}

void Node::Impl::TellFleetChange(absl::Time now, Actions* actions) {
  if (fleet_.generation() == told_generation_) {
    return;
  }
  told_generation_ = fleet_.generation();
  placement_.OnFleetChanged();
  owners_.OnFleetChanged(now, actions);
  screen_home_.OnFleetChanged(actions);
}

Actions Node::Impl::DeliverLocally(absl::Time now, Actions actions) {
  Actions outward;
  while (!actions.empty()) {
    Actions next;
    for (Action& it : actions) {
      auto* send = std::get_if<SendPeer>(&it);
      if (send == nullptr || send->to != config_.self.id) {
        outward.push_back(std::move(it));
        continue;
      }
      std::visit(
          [&](auto&& message) {
            On(now, config_.self, std::forward<decltype(message)>(message),
               &next);
          },
          std::move(send->payload));
    }
    actions = std::move(next);
  }
  return outward;
}

void Node::Impl::CompleteStop(absl::Time now, Actions* actions) {
  if (!stopping_ || stopped_ || !flow_.Idle()) {
    return;
  }
  stopped_ = true;
  const InstanceId successor = SuccessorOf(config_.self.id, fleet_);
  if (!successor.empty()) {
    for (RedemptionHandover& it : tickets_.Handover(now)) {
      actions->push_back(SendPeer{successor, std::move(it)});
    }
  }
  actions->push_back(StopComplete{});
}

absl::Time Node::Impl::NextWakeup() const {
  return std::min({fleet_.NextWakeup(), flow_.NextWakeup(),
                   owners_.NextWakeup(), orders_.NextWakeup()});
}

bool Node::Impl::Ready(absl::Time now) const {
  return !stopping_ && fleet_.Ready(now);
}

PeerEnvelope Node::Impl::Wrap(PeerPayload payload) const {
  PeerEnvelope envelope;
  envelope.from = config_.self;
  envelope.revision = fleet_.revision();
  envelope.leaving = stopping_;
  envelope.payload = std::move(payload);
  return envelope;
}

NodeStatus Node::Impl::Status(absl::Time now) const {
  NodeStatus status;
  status.self = config_.self;
  status.data_centre = config_.data_centre;
  status.revision = fleet_.revision();
  status.freshness_age = fleet_.FreshnessAge(now);
  status.ready = Ready(now);
  status.stopping = stopping_;
  status.owned = owners_.Status(now);
  status.requests = flow_.Status(now);
  status.quarantine = screen_home_.Status();
  status.tickets_outstanding = tickets_.outstanding();
  status.stale_heads_ignored = fleet_.stale_heads_ignored();
  status.conflicting_heads_refused = fleet_.conflicting_heads_refused();
  status.manifest_fault = fleet_.manifest_fault();
  return status;
}

Node::Node(NodeConfig config, RandomSource* random, const TicketSigner* signer)
    : impl_(std::make_unique<Impl>(std::move(config), random, signer)) {}

Node::~Node() = default;

Actions Node::Handle(absl::Time now, Event event) {
  return impl_->Handle(now, std::move(event));
}

absl::Time Node::NextWakeup() const {
  return impl_->NextWakeup();
}

bool Node::Ready(absl::Time now) const {
  return impl_->Ready(now);
}

PeerEnvelope Node::Wrap(PeerPayload payload) const {
  return impl_->Wrap(std::move(payload));
}

const manifest::Manifest* Node::manifest() const {
  return impl_->manifest();
}

NodeStatus Node::Status(absl::Time now) const {
  return impl_->Status(now);
}

}  // namespace umbertrail::core
