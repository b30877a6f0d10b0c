#ifndef UMBERTRAIL_DAEMON_ADAPTERS_H_
#define UMBERTRAIL_DAEMON_ADAPTERS_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "umbertrail/confservice/client.h"
#include "umbertrail/daemon/caller_server.h"
#include "umbertrail/daemon/ports.h"
#include "umbertrail/peer/peer_links.h"
#include "umbertrail/target/client.h"
#include "umbertrail/telemetry.h"

// The clients and observers of other packages behind the daemon's interfaces.

namespace umbertrail::daemon::detail {

// Monotonic time that goes on while the machine is suspended, so that a pause
// of any kind shows as what it was.
class BootClock : public Clock {
 public:
  absl::Time Now() const override;
};

// Addresses of the targets in the newest list read. Thread-safe.
class TargetDirectory {
 public:
  // Takes lists; other events are ignored.
  void Notice(const core::Event& event);
  std::optional<std::string> Find(const TargetId& id) const;

 private:
  mutable absl::Mutex mutex_;
  uint64_t version_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<TargetId, std::string> addresses_ ABSL_GUARDED_BY(mutex_);
};

class TargetAdapter : public TargetPort {
 public:
  explicit TargetAdapter(target::TargetClient* client) : client_(client) {}
  void Start(const core::StartAttempt& action) override {
    client_->Start(action);
  }
  void Cancel(const core::CancelAttempt& action) override {
    client_->Cancel(action);
  }
  void Poll(const core::PollTarget& action) override { client_->Poll(action); }
  void Order(const core::SendOrder& action) override { client_->Order(action); }
  void Free(const core::FreeAllocations& action) override {
    client_->Free(action);
  }

 private:
  target::TargetClient* client_;
};

class PlatformAdapter : public PlatformPort {
 public:
  explicit PlatformAdapter(confservice::PlatformClient* client)
      : client_(client) {}
  void ReadPart(const core::ReadPart& action) override {
    client_->ReadPart(action);
  }

 private:
  confservice::PlatformClient* client_;
};

// Sends through links that are made after their users, before the first send.
class PeerAdapter : public PeerPort {
 public:
  explicit PeerAdapter(const std::unique_ptr<peer::PeerLinks>* links)
      : links_(links) {}
  void Send(const InstanceId& to, const core::PeerEnvelope& envelope) override {
    (*links_)->Send(to, envelope);
  }

 private:
  const std::unique_ptr<peer::PeerLinks>* links_;
};

// Hands what passes through the loop, and callers' trace contexts, to the
// node's observer.
class TelemetryAdapter : public LoopObserver, public CallerObserver {
 public:
  explicit TelemetryAdapter(telemetry::NodeObserver* observer)
      : observer_(observer) {}
  void OnEvent(absl::Time now, const core::Event& event) override {
    observer_->OnEvent(now, event);
  }
  void OnActions(absl::Time now,
                 const core::Event& event,
                 const core::Actions& actions) override {
    observer_->OnActions(now, event, actions);
  }
  void OnTraceparent(const RequestId& request,
                     const std::string& header) override;

 private:
  telemetry::NodeObserver* observer_;
};

// Logs what happens to links.
class LinkLog : public peer::LinkObserver {
 public:
  explicit LinkLog(telemetry::LogSink* log) : log_(log) {}
  void OnLinkChange(peer::LinkChange change, const InstanceId& peer) override;

 private:
  telemetry::LogSink* log_;
};

// Drops spans where no collector is set.
class NoSpans : public telemetry::SpanSink {
 public:
  void Record(telemetry::Span) override {}
};

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_ADAPTERS_H_
