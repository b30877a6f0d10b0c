// Hands each event and message to the concerns that it regards.

#include "node_parts.h"

namespace umbertrail::core {

// -- Events

void Node::Impl::On(absl::Time now, RequestArrived event, Actions* actions) {
  flow_.OnArrived(now, std::move(event), actions);
}

void Node::Impl::On(absl::Time now, CallerGone event, Actions* actions) {
  flow_.OnCallerGone(now, event, actions);
}

void Node::Impl::On(absl::Time now, TicketRequested event, Actions* actions) {
  flow_.OnTicketRequested(now, event, actions);
}

void Node::Impl::On(absl::Time now, PeerReceived event, Actions* actions) {
  owners_.OnPeerHeard(now, event.envelope.from);
  const std::optional<InstanceRef> gone =
      fleet_.OnPeer(now, event.envelope, actions);
  if (gone.has_value()) {
    owners_.OnPeerIncarnationGone(now, *gone, actions);
    screen_home_.OnHolderGone(*gone);
  }
  TellFleetChange(now, actions);
  const InstanceRef from = event.envelope.from;
  std::visit(
      [&](auto&& it) {
        On(now, from, std::forward<decltype(it)>(it), actions);
      },
      std::move(event.envelope.payload));
}

void Node::Impl::On(absl::Time now, PeerUnreachable event, Actions* actions) {
  fleet_.OnPeerUnreachable(now, event.peer);
  TellFleetChange(now, actions);
  flow_.OnPeerUnreachable(now, event.peer, actions);
}

void Node::Impl::On(absl::Time now, AttemptStarted event, Actions* actions) {
  static_cast<void>(actions);
  flow_.OnAttemptStarted(now, event);
}

void Node::Impl::On(absl::Time now, AttemptChunk event, Actions* actions) {
  flow_.OnAttemptChunk(now, std::move(event), actions);
}

void Node::Impl::On(absl::Time now, AttemptDone event, Actions* actions) {
  flow_.OnAttemptDone(now, event, actions);
}

void Node::Impl::On(absl::Time now, AttemptFailed event, Actions* actions) {
  flow_.OnAttemptFailed(now, event, actions);
}

void Node::Impl::On(absl::Time now, TargetReported event, Actions* actions) {
  fleet_.OnTargetReport(now, event.target, event.report);
  TellFleetChange(now, actions);
  flow_.OnTargetReport(now, event.target, event.report, actions);
  owners_.OnReport(now, event.target, event.report, actions);
  orders_.OnReport(now, event.target, event.report, actions);
}

void Node::Impl::On(absl::Time now, TargetUnreachable event, Actions* actions) {
  fleet_.OnTargetUnreachable(now, event);
  TellFleetChange(now, actions);
  flow_.OnTargetUnreachable(now, event, actions);
  owners_.OnUnreachable(now, event, actions);
}

void Node::Impl::On(absl::Time now, OrderAnswered event, Actions* actions) {
  orders_.OnAnswered(now, event, actions);
}

void Node::Impl::On(absl::Time now, HeadRead event, Actions* actions) {
  fleet_.OnHeadRead(now, event, actions);
}

void Node::Impl::On(absl::Time now, PartRead event, Actions* actions) {
  fleet_.OnPartRead(now, event, actions);
}

void Node::Impl::On(absl::Time now, InstanceListRead event, Actions* actions) {
  fleet_.OnInstanceList(now, event, actions);
}

void Node::Impl::On(absl::Time now, TargetListRead event, Actions* actions) {
  fleet_.OnTargetList(now, event, actions);
}

void Node::Impl::On(absl::Time now, ConfigUnreachable event, Actions* actions) {
  static_cast<void>(event);
  static_cast<void>(actions);
  fleet_.OnConfigUnreachable(now);
}

void Node::Impl::On(absl::Time now, StopRequested event, Actions* actions) {
  static_cast<void>(event);
  if (stopping_) {
    return;
  }
  stopping_ = true;
  fleet_.OnStopping(now);
  flow_.OnStop(now, actions);
  owners_.OnStop(now, actions);
  TellFleetChange(now, actions);
}

void Node::Impl::On(absl::Time now, Tick event, Actions* actions) {
  // Handle has run every concern's timers.
  static_cast<void>(now);
  static_cast<void>(event);
  static_cast<void>(actions);
}

// -- Messages: probes and admission

void Node::Impl::On(absl::Time now,
                    From from,
                    ProbeRequest message,
                    Actions* actions) {
  actions->push_back(SendPeer{from.id, owners_.OnProbe(now, message)});
}

void Node::Impl::On(absl::Time now,
                    From from,
                    ProbeReply message,
                    Actions* actions) {
  static_cast<void>(from);
  flow_.OnProbeReply(now, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    AdmitRequest message,
                    Actions* actions) {
  actions->push_back(SendPeer{from.id, owners_.OnAdmit(now, from, message)});
}

void Node::Impl::On(absl::Time now,
                    From from,
                    AdmitReply message,
                    Actions* actions) {
  flow_.OnAdmitReply(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    AdmitReady message,
                    Actions* actions) {
  flow_.OnAdmitReady(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    AttemptsAlive message,
                    Actions* actions) {
  static_cast<void>(actions);
  owners_.OnAlive(now, from, message);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    AttemptSettled message,
                    Actions* actions) {
  owners_.OnSettled(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    SuspendAttempt message,
                    Actions* actions) {
  static_cast<void>(from);
  flow_.OnSuspend(now, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    OwnerHandover message,
                    Actions* actions) {
  static_cast<void>(actions);
  owners_.OnHandover(now, from, message);
}

// -- Messages: manifest and freshness; Fleet::OnPeer has answered these.

void Node::Impl::On(absl::Time, From, HeadQuery, Actions*) {}
void Node::Impl::On(absl::Time, From, HeadOffer, Actions*) {}
void Node::Impl::On(absl::Time, From, PartRequest, Actions*) {}
void Node::Impl::On(absl::Time, From, PartReply, Actions*) {}

// -- Messages: screening

void Node::Impl::On(absl::Time now,
                    From from,
                    ScreenRequest message,
                    Actions* actions) {
  actions->push_back(
      SendPeer{from.id, screen_home_.OnRequest(now, from, message)});
}

void Node::Impl::On(absl::Time now,
                    From from,
                    ScreenReply message,
                    Actions* actions) {
  screen_home_.OnHeard(now, message);
  flow_.OnScreenReply(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    ScreenEnded message,
                    Actions* actions) {
  static_cast<void>(actions);
  screen_home_.OnEnded(now, from, message);
}

// -- Messages: calls that may not be repeated

void Node::Impl::On(absl::Time now,
                    From from,
                    SubmitForward message,
                    Actions* actions) {
  flow_.OnSubmitForward(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    SubmitResult message,
                    Actions* actions) {
  static_cast<void>(from);
  flow_.OnSubmitResult(now, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    RedemptionHandover message,
                    Actions* actions) {
  static_cast<void>(actions);
  // Only the issuer itself hands its records over.
  if (from == message.issuer) {
    archive_.OnHandover(now, message);
  }
}

void Node::Impl::On(absl::Time now,
                    From from,
                    KeyGrantRequest message,
                    Actions* actions) {
  actions->push_back(
      SendPeer{from.id, key_home_.OnRequest(now, from, message)});
}

void Node::Impl::On(absl::Time now,
                    From from,
                    KeyGrantReply message,
                    Actions* actions) {
  flow_.OnKeyGrantReply(now, from, message, actions);
}

void Node::Impl::On(absl::Time now,
                    From from,
                    KeyEnded message,
                    Actions* actions) {
  static_cast<void>(now);
  static_cast<void>(actions);
  key_home_.OnEnded(from, message);
}

}  // namespace umbertrail::core
