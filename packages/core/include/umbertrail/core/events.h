#ifndef UMBERTRAIL_CORE_EVENTS_H_
#define UMBERTRAIL_CORE_EVENTS_H_

#include <string>
#include <variant>
#include <vector>

#include "umbertrail/core/messages.h"
#include "umbertrail/core/types.h"

// What a node is told. Each event is handled with its time.

namespace umbertrail::core {

// A caller's request, authenticated and well formed.
struct RequestArrived {
  RequestSpec spec;
  absl::Duration time_limit;
  Body body;
};

// The caller went away before its outcome.
struct CallerGone {
  RequestId request;
};

// A caller asks for a ticket; answered by TicketIssued or FinishRequest.
struct TicketRequested {
  RequestId request;
  ClientAccountId account;
  ServiceId service;
  std::string call;
};

struct PeerReceived {
  PeerEnvelope envelope;
};

// A message could not be handed to this peer: refused, reset or silent.
struct PeerUnreachable {
  InstanceId peer;
};

// The target took the attempt and began.
struct AttemptStarted {
  RequestId request;
  AttemptNumber attempt;
};

// Part of an answer. `offset` counts tokens from the start of the answer.
struct AttemptChunk {
  RequestId request;
  AttemptNumber attempt;
  Tokens offset;
  Tokens tokens;
  std::string text;
};

// The explicit end of an answer.
struct AttemptDone {
  RequestId request;
  AttemptNumber attempt;
  Tokens total;
  Body body;  // of a service call
};

enum class AttemptFailure {
  kNotSent,         // no byte was written
  kSaidNotRun,      // the target itself said that it did not run
  kRefusedRestart,  // as kSaidNotRun, and the target is cold or restarted
  kAnswered,        // the target answered with a failure of the request
  kBroken,          // the connection broke after bytes were written
  kSilent,          // no progress within the stream's progress deadline
};

struct AttemptFailed {
  RequestId request;
  AttemptNumber attempt;
  AttemptFailure failure = AttemptFailure::kBroken;
  std::string detail;
};

struct TargetReported {
  TargetId target;
  TargetReport report;
};

// A poll of the target failed. `refused`: its address refused the connection.
struct TargetUnreachable {
  TargetId target;
  bool refused = false;
};

struct OrderAnswered {
  TargetId target;
  ManifestRevision fence;
  enum class Result { kAccepted, kOldFence, kWeightStoreBusy, kFailed };
  Result result = Result::kFailed;
};

// A head read from the configuration service; it may be stale.
struct HeadRead {
  manifest::Head head;
};
struct PartRead {
  std::string hash;
  std::string bytes;
};
// Lists read from the platform; they lag. `version` grows with each change.
struct InstanceListRead {
  uint64_t version = 0;
  std::vector<InstanceInfo> instances;
};
struct TargetListRead {
  uint64_t version = 0;
  std::vector<TargetInfo> targets;
};
// The configuration service answered nothing or an error.
struct ConfigUnreachable {};

// The platform asks this instance to leave.
struct StopRequested {};

// Time has come to NextWakeup().
struct Tick {};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           TicketRequested,
                           PeerReceived,
                           PeerUnreachable,
                           AttemptStarted,
                           AttemptChunk,
                           AttemptDone,
                           AttemptFailed,
                           TargetReported,
                           TargetUnreachable,
                           OrderAnswered,
                           HeadRead,
                           PartRead,
                           InstanceListRead,
                           TargetListRead,
                           ConfigUnreachable,
                           StopRequested,
                           Tick>;

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_EVENTS_H_
