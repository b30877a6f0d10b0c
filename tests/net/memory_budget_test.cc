#include "umbertrail/net/memory_budget.h"

#include <catch2/catch.hpp>

// Guards against buffers that are not counted, or stay counted after they are
// gone: the budget would be exceeded, or nothing would be served any more.

namespace umbertrail::net {
namespace {

constexpr size_t kSize = 1600;
constexpr size_t kBodies = 800;

std::shared_ptr<MemoryBudget> SmallBudget() {
  auto budget = std::make_shared<MemoryBudget>();
  budget->SetSize(kSize);
  return budget;
}

class CountingReclaimer : public MemoryReclaimer {
 public:
  explicit CountingReclaimer(MemoryCharge& charge) : charge_(charge) {}
  void Reclaim(const MemoryDemand& demand) override {
    ++calls_;
    charge_.Set(charge_.bytes() - demand.bytes);
  }
  int calls() const { return calls_; }

 private:
  MemoryCharge& charge_;
  int calls_ = 0;
};

TEST_CASE("a charge counts until it is destroyed") {
  const auto budget = SmallBudget();
  {
    MemoryCharge charge(budget, MemoryUse::kBodies);
    charge.Set(300);
    charge.Set(200);
    CHECK(budget->used(MemoryUse::kBodies) == 200);
    CHECK(budget->HasRoom(MemoryUse::kBodies, kBodies - 200));
    CHECK_FALSE(budget->HasRoom(MemoryUse::kBodies, kBodies - 199));
  }
  CHECK(budget->used(MemoryUse::kBodies) == 0);
}

TEST_CASE("the parts of the uses are the whole budget and are separate") {
  const auto budget = SmallBudget();
  CHECK(budget->part(MemoryUse::kConnections) +
            budget->part(MemoryUse::kBodies) +
            budget->part(MemoryUse::kResponses) ==
        kSize);
  MemoryCharge charge(budget, MemoryUse::kBodies);
  charge.Set(kSize);
  CHECK(budget->IsUnderPressure(MemoryUse::kBodies));
  CHECK_FALSE(budget->IsUnderPressure(MemoryUse::kResponses));
  CHECK(budget->HasRoom(MemoryUse::kResponses, 1));
}

TEST_CASE("without a size, memory is not bounded") {
  const auto budget = std::make_shared<MemoryBudget>();
  MemoryCharge charge(budget, MemoryUse::kBodies);
  charge.Set(size_t{1} << 40);
  CHECK(budget->HasRoom(MemoryUse::kBodies, size_t{1} << 40));
  CHECK_FALSE(budget->IsUnderPressure(MemoryUse::kBodies));
}

TEST_CASE("reclaimers are asked only if memory does not suffice") {
  const auto budget = SmallBudget();
  MemoryCharge charge(budget, MemoryUse::kBodies);
  charge.Set(kBodies - 100);
  CountingReclaimer reclaimer(charge);
  budget->Add(&reclaimer);
  CHECK(budget->MakeRoom({MemoryUse::kBodies, 100, 0}));
  CHECK(reclaimer.calls() == 0);
  CHECK(budget->MakeRoom({MemoryUse::kBodies, 101, 0}));
  CHECK(reclaimer.calls() == 1);
  budget->Remove(&reclaimer);
  charge.Set(kBodies);
  CHECK_FALSE(budget->MakeRoom({MemoryUse::kBodies, 1, 0}));
  CHECK(reclaimer.calls() == 1);
}

TEST_CASE("a high use that has halved is reported once") {
  const auto budget = SmallBudget();
  int drained = 0;
  budget->SetOnDrained([&] { ++drained; });
  MemoryCharge charge(budget, MemoryUse::kBodies);
  // A quarter of the budget is no high use.
  charge.Set(kSize / 4);
  charge.Set(0);
  CHECK(drained == 0);
  charge.Set(kSize / 2);
  charge.Set(kSize / 4);
  CHECK(drained == 0);
  charge.Set(kSize / 4 - 1);
  CHECK(drained == 1);
  charge.Set(0);
  CHECK(drained == 1);
}

}  // namespace
}  // namespace umbertrail::net
