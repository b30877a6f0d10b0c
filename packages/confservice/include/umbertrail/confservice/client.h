#ifndef UMBERTRAIL_CONFSERVICE_CLIENT_H_
#define UMBERTRAIL_CONFSERVICE_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"

namespace umbertrail::confservice {

struct PlatformClientSettings {
  // IP number and port of the configuration service.
  std::string address;
  // How long a watch may wait for a change.
  absl::Duration watch_wait = absl::Seconds(2);
  // Shortest time from one watch to the next, so that a service which answers
  // at once, or changes without pause, is not flooded.
  absl::Duration min_interval = absl::Milliseconds(200);
  // After a failure the next call waits up to this long, doubled with each
  // further failure up to the longest.
  absl::Duration first_backoff = absl::Milliseconds(200);
  absl::Duration longest_backoff = absl::Seconds(5);
  absl::Duration connect_timeout = absl::Milliseconds(500);
  // How long an answer may be overdue.
  absl::Duration answer_timeout = absl::Seconds(1);
  // Parts that may wait to be read.
  size_t max_queued_parts = 64;
  // File of the certificate authority; TLS is used when it is set.
  std::string ca_path;
};

// Calls made to the configuration service; a waiting watch counts as one.
struct PlatformClientStats {
  uint64_t watches = 0;
  uint64_t part_reads = 0;
  uint64_t failures = 0;
};

// Receives what was read; called from the client's threads.
using EventCallback = std::function<void(core::Event)>;

// Watches the configuration service with one call at a time and reads parts of
// the manifest from it. Survives its absence for any time. Thread-safe.
class PlatformClient {
 public:
  // `random` spreads the calls of many instances in time.
  PlatformClient(PlatformClientSettings settings,
                 EventCallback on_event,
                 std::unique_ptr<RandomSource> random);
  // Stops the client.
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Begins to watch. Each answer is reported as InstanceListRead,
  // TargetListRead and HeadRead, in this order, also when nothing changed:
  // that confirms what is known. Each failed call is reported as
  // ConfigUnreachable. Call it once.
  void Start();

  // Reads one part; reported as PartRead, or as ConfigUnreachable when a few
  // tries failed. A part already waiting to be read is not read twice; one
  // beyond max_queued_parts is dropped and reported as ConfigUnreachable. The
  // bytes are as they came: the caller checks them against the hash.
  void ReadPart(const core::ReadPart& action);

  // Ends the calls under way and returns when no further event will come.
  // Must not be called from an event's callback.
  void Stop();

  PlatformClientStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::confservice

#endif  // UMBERTRAIL_CONFSERVICE_CLIENT_H_
