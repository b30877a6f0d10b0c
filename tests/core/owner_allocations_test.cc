#include <catch2/catch.hpp>

#include "owner_fakes.h"

namespace umbertrail::core {
namespace {

TargetReport Holding(const InstanceRef& holder, const std::string& request) {
  TargetReport report;
  report.allocations.push_back({holder, RequestId(request), Tokens(500)});
  return report;
}

InstanceRef Peer(const std::string& id, uint64_t life = 1) {
  return OwnerBench::Peer(id, life);
}

TEST_CASE("a holder known to be gone loses its memory at the next report") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.table->OnPeerIncarnationGone(bench.now, Peer("r2"), &bench.actions);
  bench.Report(Holding(Peer("r2"), "x"));
  const auto freed = bench.Done<FreeAllocations>();
  REQUIRE(freed.size() == 1);
  CHECK(freed[0].holder == Peer("r2"));
}

TEST_CASE("a later life at the same address ends the former") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Report(Holding(Peer("r2", 1), "x"));
  CHECK_FALSE(bench.Sent<HeadQuery>().empty());  // asked who lives there
  bench.Pass(absl::Seconds(6));
  bench.table->OnPeerHeard(bench.now, Peer("r2", 2));
  bench.Report(Holding(Peer("r2", 1), "x"));
  CHECK(bench.Done<FreeAllocations>().size() == 1);
  bench.actions.clear();
  bench.Report(Holding(Peer("r2", 2), "y"));
  CHECK(bench.Done<FreeAllocations>().empty());
}

TEST_CASE("a holder that vanished from the list is freed within a minute") {
  OwnerBench bench;
  bench.fleet.instance_list = {{InstanceId("self"), DataCentreId("a"), false}};
  bench.Open(TargetState::kWarm);
  bool freed = false;
  for (int i = 0; i < 60 && !freed; ++i) {
    bench.Report(Holding(Peer("r2"), "x"));
    bench.Pass(absl::Seconds(1));
    freed = !bench.Done<FreeAllocations>().empty();
  }
  CHECK(freed);
}

TEST_CASE("a listed but silent holder keeps its memory") {
  OwnerBench bench;
  bench.fleet.instance_list = {{InstanceId("self"), DataCentreId("a"), false},
                               {InstanceId("r2"), DataCentreId("b"), false}};
  bench.Open(TargetState::kWarm);
  for (int i = 0; i < 300; ++i) {
    bench.Report(Holding(Peer("r2"), "x"));
    bench.Pass(absl::Seconds(1));
  }
  CHECK(bench.Done<FreeAllocations>().empty());
}

TEST_CASE("an unconfirmed list frees nothing by absence") {
  OwnerBench bench;
  bench.fleet.claim = OwnerClaim::kHalf;
  bench.fleet.instance_list = {{InstanceId("self"), DataCentreId("a"), false}};
  bench.Open(TargetState::kWarm);
  for (int i = 0; i < 120; ++i) {
    bench.Report(Holding(Peer("r2"), "x"));
    bench.Pass(absl::Seconds(1));
  }
  CHECK(bench.Done<FreeAllocations>().empty());
}

TEST_CASE("memory of a settled attempt is freed after a grace") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  REQUIRE(bench.Admit("x", 1000).decision == AdmitDecision::kGranted);
  bench.Settle("x", AttemptResult::kCancelled);
  bench.Report(Holding(Peer("r1"), "x"));
  CHECK(bench.Done<FreeAllocations>().empty());
  bench.Pass(absl::Seconds(12));
  bench.Report(Holding(Peer("r1"), "x"));
  CHECK(bench.Done<FreeAllocations>().size() == 1);
}

TEST_CASE("exported memory of a suspended attempt is kept") {
  OwnerBench bench;
  bench.Open(TargetState::kWarm);
  bench.Admit("x", 1000);
  bench.Settle("x", AttemptResult::kSuspended);
  bench.Pass(absl::Seconds(12));
  bench.Report(Holding(Peer("r1"), "x"));
  CHECK(bench.Done<FreeAllocations>().empty());
}

TEST_CASE("the mutation forgets allocations") {
  OwnerBench bench;
  bench.mutations.forget_allocations = true;
  bench.Open(TargetState::kWarm);
  bench.table->OnPeerIncarnationGone(bench.now, Peer("r2"), &bench.actions);
  bench.Report(Holding(Peer("r2"), "x"));
  CHECK(bench.Done<FreeAllocations>().empty());
}

}  // namespace
}  // namespace umbertrail::core
