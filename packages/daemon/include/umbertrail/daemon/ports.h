#ifndef UMBERTRAIL_DAEMON_PORTS_H_
#define UMBERTRAIL_DAEMON_PORTS_H_

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"

// The outside as the core loop sees it. Every call comes from the loop's thread
// and must return at once; what comes of it arrives as events.

namespace umbertrail::daemon {

// Targets.
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  virtual void Start(const core::StartAttempt& action) = 0;
  virtual void Cancel(const core::CancelAttempt& action) = 0;
  virtual void Poll(const core::PollTarget& action) = 0;
  virtual void Order(const core::SendOrder& action) = 0;
  virtual void Free(const core::FreeAllocations& action) = 0;
};

// The platform's configuration service.
class PlatformPort {
 public:
  virtual ~PlatformPort() = default;
  virtual void ReadPart(const core::ReadPart& action) = 0;
};

// Other instances.
class PeerPort {
 public:
  virtual ~PeerPort() = default;
  virtual void Send(const InstanceId& to,
                    const core::PeerEnvelope& envelope) = 0;
};

// Callers that wait for an answer.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void Relay(const core::RelayChunk& action) = 0;
  virtual void Finish(const core::FinishRequest& action) = 0;
  virtual void Issue(const core::TicketIssued& action) = 0;
};

// Where events for the node go in. Thread-safe.
class EventPort {
 public:
  virtual ~EventPort() = default;
  // A caller's request; false, at once, when it can't be taken now.
  virtual bool Offer(core::Event event) = 0;
  // Anything else; waits while there is no room, which is the back-pressure on
  // peers and targets.
  virtual void Post(core::Event event) = 0;
};

// Where the loop's actions go. None is null, and all outlive the loop.
struct LoopPorts {
  TargetPort* target = nullptr;
  PlatformPort* platform = nullptr;
  PeerPort* peer = nullptr;
  CallerPort* caller = nullptr;
};

// Sees everything that passes through the loop, on its thread; must not block.
class LoopObserver {
 public:
  virtual ~LoopObserver() = default;
  // Before the node handles the event.
  virtual void OnEvent(absl::Time now, const core::Event& event) = 0;
  // After it, before the actions are carried out.
  virtual void OnActions(absl::Time now,
                         const core::Event& event,
                         const core::Actions& actions) = 0;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_PORTS_H_
