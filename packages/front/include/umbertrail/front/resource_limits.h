#ifndef UMBERTRAIL_FRONT_RESOURCE_LIMITS_H_
#define UMBERTRAIL_FRONT_RESOURCE_LIMITS_H_

#include <array>
#include <cstddef>

#include "absl/time/time.h"
#include "platform/node_settings.h"
#include "umbertrail/front/event_log.h"
#include "umbertrail/front/metrics.h"
#include "umbertrail/net/memory_budget.h"
#include "umbertrail/net/server.h"

namespace umbertrail::front {

// Bytes that clients, targets and other instances may make an instance with
// these settings hold.
size_t MemoryBudgetOf(const adapter::InstanceSettings& settings);

// Bytes that connections to the readiness and metrics addresses may make an
// instance hold, beside that budget: callers can't keep the platform's probe
// from its answer, nor the other way round.
size_t MonitoringMemoryOf(const adapter::InstanceSettings& settings);

// Limits on requests to these addresses: no bodies.
net::ServerLimits MonitoringLimits();

// Most connections of each kind; the other descriptors are left for targets,
// the store and this instance's own connections to others.
struct ConnectionLimits {
  size_t callers = 0;
  size_t control = 0;
  // For each of readiness and metrics.
  size_t other = 0;
};
// `system_fds` is what the system allows this process.
ConnectionLimits ConnectionLimitsOf(const adapter::InstanceSettings& settings,
                                    size_t system_fds);
// Open files that the system allows this process.
size_t SystemFds();

// Counts what is refused or closed for want of memory or connections, and logs
// it: at most one line a second for each reason.
class ShedReport {
 public:
  ShedReport(EventLog& log, Metrics& metrics) : log_(log), metrics_(metrics) {}

  void Note(net::ShedReason reason,
            const net::MemoryBudget& memory,
            absl::Time now);

 private:
  struct Reason {
    absl::Time logged_at = absl::InfinitePast();
    int64_t unlogged = 0;
  };

  EventLog& log_;
  Metrics& metrics_;
  std::array<Reason, net::kShedReasons> reasons_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_RESOURCE_LIMITS_H_
