#ifndef UMBERTRAIL_CORE_NODE_H_
#define UMBERTRAIL_CORE_NODE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"

namespace umbertrail::core {

// Signs tickets under a key that lives only in this incarnation.
class TicketSigner {
 public:
  virtual ~TicketSigner() = default;
  virtual std::string Sign(std::string_view text) const = 0;
  // Compares in constant time.
  virtual bool Verify(std::string_view text, std::string_view mac) const = 0;
};

// Who a node is. Everything else it knows comes by events.
struct NodeConfig {
  InstanceRef self;
  DataCentreId data_centre;
  // Off outside test programs.
  Mutations mutations;
};

// What a node shows of itself, for the admin interface and for metrics.
struct TargetStatus {
  TargetId id;
  DataCentreId data_centre;
  OwnerClaim claim = OwnerClaim::kNone;
  bool reachable = false;
  TargetState state = TargetState::kCold;
  ModelId model;
  std::string version;
  Tokens budget;
  Tokens in_flight;
  int queued_short = 0;
  int queued_medium = 0;
  int queued_long = 0;
};
struct RequestStatus {
  RequestId id;
  ClientAccountId account;
  TargetId target;
  AttemptNumber attempt;
  std::string phase;
  Tokens delivered;
  absl::Duration time_left;
};
struct QuarantineStatus {
  Fingerprint fingerprint;
  int deaths = 0;
};
struct NodeStatus {
  InstanceRef self;
  DataCentreId data_centre;
  ManifestRevision revision;
  absl::Duration freshness_age;
  bool ready = false;
  bool stopping = false;
  std::vector<TargetStatus> owned;
  std::vector<RequestStatus> requests;
  std::vector<QuarantineStatus> quarantine;
  uint64_t tickets_outstanding = 0;
  uint64_t stale_heads_ignored = 0;
  uint64_t conflicting_heads_refused = 0;
  std::string manifest_fault;  // why the last manifest was refused, or empty
};

// Every decision of one instance, as a deterministic state machine: it does no
// I/O, reads no clock and draws random numbers only from `random`. Not
// thread-safe.
class Node {
 public:
  // `random` and `signer` must outlive the node.
  Node(NodeConfig config, RandomSource* random, const TicketSigner* signer);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Handles one event that happened at `now`, which never falls, and returns
  // what is to be done, in order.
  Actions Handle(absl::Time now, Event event);

  // When to hand in the next Tick; InfiniteFuture when nothing waits.
  absl::Time NextWakeup() const;

  // Whether callers should be sent here.
  bool Ready(absl::Time now) const;

  // What a SendPeer's payload travels in.
  PeerEnvelope Wrap(PeerPayload payload) const;

  // The manifest in force; null before the first.
  const manifest::Manifest* manifest() const;

  // Cost: linear in targets owned and requests held.
  NodeStatus Status(absl::Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_NODE_H_
