#ifndef UMBERTRAIL_CORE_SRC_NODE_PARTS_H_
#define UMBERTRAIL_CORE_SRC_NODE_PARTS_H_

#include "umbertrail/core/fleet/fleet.h"
#include "umbertrail/core/node.h"
#include "umbertrail/core/once/key_home.h"
#include "umbertrail/core/once/redemption_archive.h"
#include "umbertrail/core/once/ticket_desk.h"
#include "umbertrail/core/orders/orders.h"
#include "umbertrail/core/owner/owner_table.h"
#include "umbertrail/core/request/fleet_placement.h"
#include "umbertrail/core/request/request_flow.h"
#include "umbertrail/core/request/screen_home.h"

namespace umbertrail::core {

// The concerns of one node and their wiring. Events and messages are handed
// to the concerns that they regard, by the overloads of On.
class Node::Impl {
 public:
  Impl(NodeConfig config, RandomSource* random, const TicketSigner* signer);

  Actions Handle(absl::Time now, Event event);
  absl::Time NextWakeup() const;
  bool Ready(absl::Time now) const;
  PeerEnvelope Wrap(PeerPayload payload) const;
  const manifest::Manifest* manifest() const { return fleet_.manifest(); }
  NodeStatus Status(absl::Time now) const;

 private:
  // Events.
  void On(absl::Time now, RequestArrived event, Actions* actions);
  void On(absl::Time now, CallerGone event, Actions* actions);
  void On(absl::Time now, TicketRequested event, Actions* actions);
  void On(absl::Time now, PeerReceived event, Actions* actions);
  void On(absl::Time now, PeerUnreachable event, Actions* actions);
  void On(absl::Time now, AttemptStarted event, Actions* actions);
  void On(absl::Time now, AttemptChunk event, Actions* actions);
  void On(absl::Time now, AttemptDone event, Actions* actions);
  void On(absl::Time now, AttemptFailed event, Actions* actions);
  void On(absl::Time now, TargetReported event, Actions* actions);
  void On(absl::Time now, TargetUnreachable event, Actions* actions);
  void On(absl::Time now, OrderAnswered event, Actions* actions);
  void On(absl::Time now, HeadRead event, Actions* actions);
  void On(absl::Time now, PartRead event, Actions* actions);
  void On(absl::Time now, InstanceListRead event, Actions* actions);
  void On(absl::Time now, TargetListRead event, Actions* actions);
  void On(absl::Time now, ConfigUnreachable event, Actions* actions);
  void On(absl::Time now, StopRequested event, Actions* actions);
  void On(absl::Time now, Tick event, Actions* actions);

  // Messages.
  using From = const InstanceRef&;
  void On(absl::Time now, From from, ProbeRequest message, Actions* actions);
  void On(absl::Time now, From from, ProbeReply message, Actions* actions);
  void On(absl::Time now, From from, AdmitRequest message, Actions* actions);
  void On(absl::Time now, From from, AdmitReply message, Actions* actions);
  void On(absl::Time now, From from, AdmitReady message, Actions* actions);
  void On(absl::Time now, From from, AttemptsAlive message, Actions* actions);
  void On(absl::Time now, From from, AttemptSettled message, Actions* actions);
  void On(absl::Time now, From from, SuspendAttempt message, Actions* actions);
  void On(absl::Time now, From from, OwnerHandover message, Actions* actions);
  void On(absl::Time now, From from, HeadQuery message, Actions* actions);
  void On(absl::Time now, From from, HeadOffer message, Actions* actions);
  void On(absl::Time now, From from, PartRequest message, Actions* actions);
  void On(absl::Time now, From from, PartReply message, Actions* actions);
  void On(absl::Time now, From from, ScreenRequest message, Actions* actions);
  void On(absl::Time now, From from, ScreenReply message, Actions* actions);
  void On(absl::Time now, From from, ScreenEnded message, Actions* actions);
  void On(absl::Time now, From from, SubmitForward message, Actions* actions);
  void On(absl::Time now, From from, SubmitResult message, Actions* actions);
  void On(absl::Time now,
          From from,
          RedemptionHandover message,
          Actions* actions);
  void On(absl::Time now, From from, KeyGrantRequest message, Actions* actions);
  void On(absl::Time now, From from, KeyGrantReply message, Actions* actions);
  void On(absl::Time now, From from, KeyEnded message, Actions* actions);

  void TickParts(absl::Time now, Actions* actions);
  void TellFleetChange(absl::Time now, Actions* actions);
  // Handles messages that the node sent to itself; nothing of them leaves.
  Actions DeliverLocally(absl::Time now, Actions actions);
  void CompleteStop(absl::Time now, Actions* actions);

  NodeConfig config_;
  Fleet fleet_;
  FleetPlacement placement_;
  OwnerTable owners_;
  Orders orders_;
  TicketDesk tickets_;
  KeyHome key_home_;
  RedemptionArchive archive_;
  ScreenHome screen_home_;
  RequestFlow flow_;
  absl::Time last_ = absl::InfinitePast();
  absl::Time next_sweep_ = absl::InfinitePast();
  uint64_t told_generation_ = 0;
  bool stopping_ = false;
  bool stopped_ = false;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_SRC_NODE_PARTS_H_
