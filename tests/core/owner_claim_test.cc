#include <catch2/catch.hpp>

#include "owner_fakes.h"
#include "umbertrail/core/owner/claim_gate.h"
#include "umbertrail/core/owner/warmup_budget.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

absl::Time At(int seconds) {
  return kStart + absl::Seconds(seconds);
}

Tokens ColdAllowed(const ClaimGate& gate, int64_t foreign = 0) {
  return gate.Allowed(Tokens(1001), true, true, Tokens(foreign));
}

TEST_CASE("a new owner opens a cold target after two reports") {
  Mutations mutations;
  ClaimGate gate(&mutations);
  gate.OnClaim(At(0), OwnerClaim::kSettling);
  gate.OnReport(At(1));
  gate.OnReport(At(2));
  CHECK(ColdAllowed(gate) == Tokens(0));
  CHECK(gate.Allowed(Tokens(1001), false, true, Tokens(1)) == Tokens(1000));
  gate.OnClaim(At(3), OwnerClaim::kFull);
  gate.OnReport(At(2));  // taken before the claim rose
  gate.OnReport(At(4));
  CHECK(ColdAllowed(gate) == Tokens(0));
  gate.OnReport(At(5));
  CHECK(ColdAllowed(gate, 1) == Tokens(1000));
}

TEST_CASE("an unconfirmed list opens half of a cold budget") {
  Mutations mutations;
  ClaimGate gate(&mutations);
  gate.OnClaim(At(0), OwnerClaim::kHalf);
  gate.OnReport(At(1));
  gate.OnReport(At(2));
  CHECK(ColdAllowed(gate) == Tokens(500));
  CHECK(ColdAllowed(gate, 600) == Tokens(0));
}

TEST_CASE("a handover opens half at once and all when settled, and lapses") {
  Mutations mutations;
  ClaimGate gate(&mutations);
  gate.OnHandover(At(0));
  gate.OnClaim(At(1), OwnerClaim::kNone);
  gate.OnClaim(At(2), OwnerClaim::kSettling);
  CHECK(ColdAllowed(gate) == Tokens(500));  // another may hold the other half
  gate.OnClaim(At(3), OwnerClaim::kFull);
  CHECK(ColdAllowed(gate) == Tokens(1001));
  gate.OnClaim(At(3), OwnerClaim::kNone);
  gate.OnClaim(At(4), OwnerClaim::kFull);
  CHECK(ColdAllowed(gate) == Tokens(0));

  gate.OnHandover(At(5));
  gate.OnClaim(At(6), OwnerClaim::kNone);
  gate.OnClaim(At(60), OwnerClaim::kNone);
  gate.OnClaim(At(61), OwnerClaim::kFull);
  CHECK(ColdAllowed(gate) == Tokens(0));
}

TEST_CASE("completed work raises the budget, and time does not") {
  Mutations mutations;
  WarmupBudget budget(&mutations);
  budget.SetLimits(Tokens(1000), Tokens(5000));
  budget.OnReport(At(0), At(0), BootId("a"), TargetState::kWarm);
  CHECK(budget.budget() == Tokens(5000));
  CHECK(budget.OnReport(At(1), At(1), BootId("b"), TargetState::kCold));
  CHECK(budget.budget() == Tokens(1000));
  budget.OnCompleted(Tokens(3000));
  CHECK(budget.budget() == Tokens(1000));  // it still says cold
  budget.OnReport(At(3), At(3), BootId("b"), TargetState::kWarm);
  budget.OnReport(At(900), At(900), BootId("b"), TargetState::kWarm);
  CHECK(budget.budget() == Tokens(1000));
  budget.OnCompleted(Tokens(1500));
  CHECK(budget.budget() == Tokens(2500));
  budget.OnCompleted(Tokens(2500));
  CHECK_FALSE(budget.cold());
}

TEST_CASE("a suspected restart holds until a report taken later") {
  Mutations mutations;
  WarmupBudget budget(&mutations);
  budget.SetLimits(Tokens(1000), Tokens(5000));
  budget.OnReport(At(0), At(0), BootId("a"), TargetState::kWarm);
  budget.OnSuspectedRestart(At(10));
  budget.OnReport(At(11), At(9), BootId("a"), TargetState::kWarm);
  CHECK(budget.budget() == Tokens(1000));
  budget.OnReport(At(12), At(11), BootId("a"), TargetState::kWarm);
  CHECK(budget.budget() == Tokens(5000));
  budget.OnSuspectedRestart(At(20));
  budget.OnReport(At(22), At(21), BootId("b"), TargetState::kWarm);
  CHECK(budget.budget() == Tokens(1000));
}

TEST_CASE("a target may turn cold without a new boot") {
  Mutations mutations;
  WarmupBudget budget(&mutations);
  budget.SetLimits(Tokens(1000), Tokens(5000));
  budget.OnReport(At(0), At(0), BootId("a"), TargetState::kWarm);
  budget.OnReport(At(1), At(1), BootId("a"), TargetState::kCold);
  CHECK(budget.budget() == Tokens(1000));
}

TEST_CASE("the mutations break what they name") {
  Mutations mutations;
  mutations.skip_cold_settling = true;
  ClaimGate gate(&mutations);
  gate.OnClaim(At(0), OwnerClaim::kSettling);
  CHECK(ColdAllowed(gate) == Tokens(1001));
  mutations.skip_cold_settling = false;
  mutations.full_cold_budget_unconfirmed = true;
  gate.OnClaim(At(0), OwnerClaim::kHalf);
  gate.OnReport(At(1));
  gate.OnReport(At(2));
  CHECK(ColdAllowed(gate) == Tokens(1001));
  mutations.keep_warm_after_restart = true;
  WarmupBudget budget(&mutations);
  budget.SetLimits(Tokens(1000), Tokens(5000));
  budget.OnReport(At(0), At(0), BootId("a"), TargetState::kWarm);
  budget.OnReport(At(1), At(1), BootId("b"), TargetState::kCold);
  CHECK(budget.budget() == Tokens(5000));
}

}  // namespace
}  // namespace umbertrail::core
