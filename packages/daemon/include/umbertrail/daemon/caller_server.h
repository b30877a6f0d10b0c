#ifndef UMBERTRAIL_DAEMON_CALLER_SERVER_H_
#define UMBERTRAIL_DAEMON_CALLER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/daemon/filters.h"
#include "umbertrail/daemon/ports.h"
#include "umbertrail/daemon/request_table.h"

namespace umbertrail::daemon {

// Told of callers' trace contexts before their requests arrive. Thread-safe.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;
  virtual void OnTraceparent(const RequestId& request,
                             const std::string& header) = 0;
};

struct CallerServerOptions {
  std::string address;  // IP number and port; port 0: the kernel chooses
  size_t header_bytes = 16384;
  size_t connections = 512;
  // Largest body that any reload may allow.
  size_t max_body_bytes = size_t{256} << 20;
  // For the bodies of all requests together.
  size_t body_memory = size_t{256} << 20;
  absl::Duration read_timeout = absl::Seconds(30);
  absl::Duration write_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(5);
  // Of a certificate chain and its key in PEM; both empty: plain HTTP.
  std::string tls_certificate;
  std::string tls_private_key;
};

// Limits that a reload may change.
struct CallerLimits {
  size_t body_bytes = 16777216;
  size_t service_body_bytes = 1048576;
  size_t relay_bytes = 16777216;
};

// What the caller server works with; all outlive it.
struct CallerServerParts {
  RequestFilters* filters = nullptr;
  RequestTable* table = nullptr;
  EventPort* events = nullptr;
  // May be null.
  CallerObserver* observer = nullptr;
  // Asked for each request.
  std::function<CallerLimits()> limits;
};

// The HTTP interface for callers, as docs/PROTOCOLS.md describes it. Each
// connection has a thread, which waits while its request runs; a caller that
// goes away meanwhile is reported to the node within half a second.
class CallerServer {
 public:
  CallerServer(CallerServerOptions options, CallerServerParts parts);
  // Stops the server.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Binds and begins to serve. Call it once.
  Result<Done> Start();
  // The bound address. Precondition: Start() succeeded.
  std::string address() const;

  // Stops accepting and returns when the answers in flight are given.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_CALLER_SERVER_H_
