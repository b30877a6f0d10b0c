#include "umbertrail/front/resource_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace umbertrail::front {
namespace {

// The other half is for the program, its state, and what the allocator keeps
// between buffers.
constexpr size_t kBudgetFraction = 2;
constexpr size_t kMonitoringFraction = 16;
// Descriptors that the platform reserves for files.
constexpr size_t kReservedFds = 200;
// A client's connection needs one to a target while a request runs, so clients
// and other instances have half of the descriptors together.
constexpr size_t kCallersSixteenths = 7;
constexpr size_t kControlSixteenths = 1;
constexpr size_t kOtherFraction = 64;
constexpr size_t kMinConnections = 8;
constexpr absl::Duration kLogInterval = absl::Seconds(1);

}  // namespace

size_t MemoryBudgetOf(const adapter::InstanceSettings& settings) {
  return (static_cast<size_t>(settings.memory_mb) << 20) / kBudgetFraction;
}

size_t MonitoringMemoryOf(const adapter::InstanceSettings& settings) {
  return (static_cast<size_t>(settings.memory_mb) << 20) / kMonitoringFraction;
}

net::ServerLimits MonitoringLimits() {
  net::ServerLimits limits;
  limits.max_body_bytes = 0;
  return limits;
}

ConnectionLimits ConnectionLimitsOf(const adapter::InstanceSettings& settings,
                                    size_t system_fds) {
  size_t fds = system_fds;
  if (settings.max_fds > 0) {
    fds = std::min(fds, static_cast<size_t>(settings.max_fds));
  }
  const size_t usable = std::max(fds - std::min(fds, kReservedFds), fds / 2);
  ConnectionLimits limits;
  limits.callers = std::max(usable / 16 * kCallersSixteenths, kMinConnections);
  limits.control = std::max(usable / 16 * kControlSixteenths, kMinConnections);
  limits.other = std::max(usable / kOtherFraction, kMinConnections);
  return limits;
}

size_t SystemFds() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<int>::max();
  }
  return static_cast<size_t>(limit.rlim_cur);
}

void ShedReport::Note(net::ShedReason reason,
                      const net::MemoryBudget& memory,
                      absl::Time now) {
  const absl::string_view name = net::NameOf(reason);
  metrics_.CountShed(name);
  Reason& it = reasons_[static_cast<size_t>(reason)];
  ++it.unlogged;
  if (now - it.logged_at < kLogInterval) {
    return;
  }
  const auto used = [&](net::MemoryUse use) {
    return static_cast<int64_t>(memory.used(use));
  };
  log_.Write(EventLog::Level::kImportant, "shed",
             {{"reason", name},
              {"count", it.unlogged},
              {"connection_bytes", used(net::MemoryUse::kConnections)},
              {"body_bytes", used(net::MemoryUse::kBodies)},
              {"response_bytes", used(net::MemoryUse::kResponses)}},
             now);
  it = {now, 0};
}

}  // namespace umbertrail::front
