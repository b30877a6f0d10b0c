#include "umbertrail/front/resource_limits.h"

#include <catch2/catch.hpp>

// Guards against limits that an ordinary client meets, or that leave no
// descriptors for targets and the store.

namespace umbertrail::front {
namespace {

adapter::InstanceSettings Settings(int memory_mb, int max_fds) {
  adapter::InstanceSettings settings;
  settings.memory_mb = memory_mb;
  settings.max_fds = max_fds;
  return settings;
}

TEST_CASE("the budget follows the machine's memory") {
  CHECK(MemoryBudgetOf(Settings(160, 0)) == size_t{80} << 20);
  CHECK(MemoryBudgetOf(adapter::InstanceSettings()) == size_t{128} << 20);
}

TEST_CASE("the smallest machine has room for several of the largest bodies") {
  net::MemoryBudget budget;
  budget.SetSize(MemoryBudgetOf(Settings(160, 0)));
  CHECK(budget.part(net::MemoryUse::kBodies) >= 8 * size_t{4194304});
}

TEST_CASE("probes and readers of metrics have memory of their own") {
  const adapter::InstanceSettings settings = Settings(160, 0);
  CHECK(MonitoringMemoryOf(settings) == size_t{10} << 20);
  CHECK(MonitoringLimits().max_body_bytes == 0);
}

TEST_CASE("clients and other instances get half of the descriptors") {
  for (const int fds : {600, 4100, 8192}) {
    CAPTURE(fds);
    const ConnectionLimits limits =
        ConnectionLimitsOf(Settings(160, fds), 20000);
    const auto all = static_cast<size_t>(fds);
    CHECK(limits.callers + limits.control <= (all - 200) / 2);
    CHECK(limits.callers + limits.control + 2 * limits.other <=
          (all - 200) * 9 / 16);
    CHECK(limits.callers > all / 5);
  }
}

TEST_CASE("the system's limit holds if it is lower or the only one") {
  const size_t lower = ConnectionLimitsOf(Settings(160, 8192), 1024).callers;
  CHECK(lower == ConnectionLimitsOf(Settings(160, 1024), 20000).callers);
  CHECK(lower == ConnectionLimitsOf(Settings(160, 0), 1024).callers);
}

}  // namespace
}  // namespace umbertrail::front
