#include "decision_cost.h"

#include <ctime>

#include <string>

#include "static_fleet.h"
#include "umbertrail/core/owner/owner_table.h"

namespace umbertrail::measure {
namespace {

constexpr int kTargets = 600;
constexpr int kAccounts = 290;
constexpr int kRunning = 64;
constexpr int kRounds = 20000;

double CpuMicros() {
  timespec time;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

core::AdmitRequest Request(int i, int64_t prompt) {
  core::AdmitRequest request;
  request.request = RequestId("request-" + std::to_string(i));
  request.attempt = AttemptNumber(1);
  request.target = TargetId("e1");
  request.account = ClientAccountId("account-" + std::to_string(i % kAccounts));
  request.model = ModelId("m");
  request.prompt = Tokens(prompt);
  request.max_output = Tokens(64);
  request.time_left = absl::Hours(1);
  request.time_total = absl::Hours(1);
  return request;
}

}  // namespace

DecisionCost MeasureDecisionCost(int queued) {
  EngineSpec spec;
  StaticFleet fleet(spec, kTargets);
  const auto random = MakeSeededRandom(5);
  const core::Mutations mutations;
  const InstanceRef self{InstanceId("10.0.0.1:1"), Incarnation(1)};
  core::OwnerTable table(core::OwnerConfig(), self, &fleet, random.get(),
                         &mutations);
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  core::Actions actions;
  core::TargetReport report;
  report.boot = BootId("b");
  report.model = ModelId("m");
  report.memory_total = Tokens(spec.memory);
  core::ProbeRequest probe;
  probe.target = TargetId("e1");
  probe.model = ModelId("m");
  probe.prompt = Tokens(2000);
  probe.time_left = absl::Hours(1);
  table.OnProbe(now, probe);
  table.OnReport(now, probe.target, report, &actions);
  int next = 0;
  for (int i = 0; i < kRunning; ++i) {
    table.OnAdmit(now, self, Request(next++, 1000));
    now += absl::Seconds(1);
  }
  for (int i = 0; i < queued; ++i) {
    table.OnAdmit(now, self, Request(next++, 390000));
  }

  DecisionCost cost;
  double start = CpuMicros();
  for (int i = 0; i < kRounds; ++i) {
    table.OnProbe(now, probe);
  }
  cost.probe_us = (CpuMicros() - start) / kRounds;

  start = CpuMicros();
  for (int i = 0; i < kRounds; ++i) {
    now += absl::Milliseconds(1);
    const core::AdmitRequest request = Request(next++, 1000);
    table.OnAdmit(now, self, request);
    core::AttemptSettled settled;
    settled.request = request.request;
    settled.attempt = request.attempt;
    settled.target = request.target;
    settled.result = core::AttemptResult::kNotStarted;
    actions.clear();
    table.OnSettled(now, self, settled, &actions);
  }
  cost.admit_and_settle_us = (CpuMicros() - start) / kRounds;

  start = CpuMicros();
  for (int i = 0; i < kRounds; ++i) {
    now += absl::Milliseconds(10);
    actions.clear();
    table.OnTick(now, &actions);
  }
  cost.tick_us = (CpuMicros() - start) / kRounds;
  return cost;
}

}  // namespace umbertrail::measure
