#ifndef UMBERTRAIL_CORE_ACTIONS_H_
#define UMBERTRAIL_CORE_ACTIONS_H_

#include <string>
#include <variant>
#include <vector>

#include "umbertrail/core/messages.h"
#include "umbertrail/core/types.h"

// What a node wants done. The daemon carries actions out in their order.

namespace umbertrail::core {

// Sends a message; a peer that can't be reached comes back as PeerUnreachable.
// Messages to the node itself never leave it.
struct SendPeer {
  InstanceId to;
  PeerPayload payload;
};

// Sends a request to a target. From here on it may have run.
struct StartAttempt {
  RequestSpec spec;
  AttemptNumber attempt;
  TargetId target;
  // All targets of a prompt that spans several, the lead first.
  std::vector<TargetId> group;
  Tokens resume_offset;
  absl::Duration time_left;
  // No chunk for this long means that the stream is silent.
  absl::Duration progress_limit;
  // Higher is served first by the engine.
  int priority = 0;
  Body body;
};

struct CancelAttempt {
  RequestId request;
  AttemptNumber attempt;
  TargetId target;
};

// Passes part of the answer to the caller. Offsets are contiguous from 0.
struct RelayChunk {
  RequestId request;
  Tokens offset;
  Tokens tokens;
  std::string text;
};

// Ends a request; exactly one for each RequestArrived or refused ticket.
struct FinishRequest {
  RequestId request;
  Outcome outcome;
};

struct TicketIssued {
  RequestId request;
  Ticket ticket;
  absl::Duration valid_for;
};

// Reads a target's report; answered by TargetReported or TargetUnreachable.
struct PollTarget {
  TargetId target;
};

struct SendOrder {
  TargetId target;
  Order order;
};

// Frees what a holder has on a target; all of a holder's when `request` is
// empty.
struct FreeAllocations {
  TargetId target;
  InstanceRef holder;
  RequestId request;
};

// Reads one part of the manifest from the configuration service.
struct ReadPart {
  std::string hash;
};

// Everything is finished or handed over; the process may exit.
struct StopComplete {};

using Action = std::variant<SendPeer,
                            StartAttempt,
                            CancelAttempt,
                            RelayChunk,
                            FinishRequest,
                            TicketIssued,
                            PollTarget,
                            SendOrder,
                            FreeAllocations,
                            ReadPart,
                            StopComplete>;

using Actions = std::vector<Action>;

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ACTIONS_H_
