#ifndef UMBERTRAIL_TARGET_CLIENT_H_
#define UMBERTRAIL_TARGET_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"

namespace umbertrail::target {

struct TargetClientSettings {
  // Tags memory that engines hold for this instance.
  InstanceRef self;
  // Attempts that run at once; each has a thread and a connection.
  int max_streams = 512;
  // Threads for reports, orders, cancellations and freed allocations.
  int control_threads = 8;
  // Such calls that may wait for a thread.
  size_t max_queued_calls = 1024;
  absl::Duration connect_timeout = absl::Milliseconds(500);
  // A control call without progress for this long has failed.
  absl::Duration control_timeout = absl::Seconds(1);
  // A kept connection idle for longer is replaced before it is used: whatever
  // lies between may have forgotten it.
  absl::Duration max_idle = absl::Seconds(5);
  // Longest line of an answer's stream, in bytes.
  size_t max_line_bytes = size_t{1} << 20;
  // Longest answer of a service call or a report, in bytes.
  size_t max_answer_bytes = size_t{8} << 20;
  // File of the certificate authority; TLS is used when it is set.
  std::string ca_path;
};

// What the client met so far.
struct TargetClientStats {
  uint64_t attempts = 0;
  uint64_t running_streams = 0;
  // Attempts refused because max_streams ran.
  uint64_t streams_refused = 0;
  // Stream items that name another request or attempt, dropped.
  uint64_t foreign_items = 0;
  // Stream items that are no JSON of the protocol, dropped.
  uint64_t malformed_items = 0;
  uint64_t silent_links = 0;
  // Control calls dropped because max_queued_calls waited.
  uint64_t calls_dropped = 0;
  // Kept connections replaced because they had idled too long or were closed.
  uint64_t links_replaced = 0;
};

// Receives what happened; called from the client's threads, several at once.
using EventCallback = std::function<void(core::Event)>;

// The IP number and port of a target; nothing when it is not listed.
using AddressResolver = std::function<std::optional<std::string>(TargetId)>;

// Carries out a node's actions towards targets and reports what comes of them.
// All calls return at once and may come from any thread. Each attempt uses a
// connection of its own and is sent at most once.
class TargetClient {
 public:
  // `on_event` and `resolve` are called from several threads until the
  // destructor returns.
  TargetClient(TargetClientSettings settings,
               EventCallback on_event,
               AddressResolver resolve);
  // Ends what is running, without events for it.
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  // Sends a request to its target. Reports AttemptStarted and AttemptChunk as
  // they come, then exactly one AttemptDone or AttemptFailed, unless the
  // attempt is cancelled first. kNotSent is reported only while no byte of the
  // request was written.
  void Start(core::StartAttempt action);

  // Ends an attempt and tells an engine to free its memory. An event that was
  // under way may still follow; afterwards nothing more is reported of it.
  void Cancel(const core::CancelAttempt& action);

  // Reports TargetReported or TargetUnreachable. A poll of a target whose
  // former poll still runs is answered by that one's event.
  void Poll(const core::PollTarget& action);

  // Reports OrderAnswered; an order is sent at most once.
  void Order(core::SendOrder action);

  // Best effort: what was not freed shows in the target's next report.
  void Free(core::FreeAllocations action);

  TargetClientStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::target

#endif  // UMBERTRAIL_TARGET_CLIENT_H_
