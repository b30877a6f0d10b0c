#include "umbertrail/dispatch/budgets.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("events older than the window aren't counted") {
  SlidingCount count(absl::Seconds(10));
  count.Add(kStart);
  count.Add(kStart + absl::Seconds(4));
  CHECK(count.Count(kStart + absl::Seconds(9)) == 2);
  CHECK(count.Count(kStart + absl::Seconds(10)) == 1);
  CHECK(count.Count(kStart + absl::Seconds(14)) == 0);
}

TEST_CASE("partitioned instances stay within the fleet's retry budget") {
  // Instances spend as much as they may, at any time; their total stays within
  // the ratio and the allowance in every window.
  CHECK(rc::check([] {
    constexpr int kInstances = 8;
    constexpr double kRatio = 0.2;
    constexpr double kSlack = 102;
    const absl::Duration window = absl::Seconds(10);
    std::vector<RetryBudget> budgets(
        kInstances, RetryBudget(kRatio, kSlack, window,
                                RetryBudget::InitialCredit::kFull, kStart));
    SlidingCount requests(window);
    SlidingCount further(window);
    absl::Time now = kStart;
    for (int step = 0; step < 2000; ++step) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 30));
      RetryBudget& budget = budgets[*rc::gen::inRange(0, kInstances)];
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.NoteRequest(now, kInstances);
        requests.Add(now);
      } else if (budget.Take(now, kInstances)) {
        further.Add(now);
      }
      RC_ASSERT(further.Count(now) <= kRatio * requests.Count(now) + kSlack);
    }
  }));
}

const absl::Duration kWindow = absl::Seconds(10);

int TakeAll(RetryBudget* budget, absl::Time now, int instances) {
  int taken = 0;
  while (budget->Take(now, instances)) {
    ++taken;
  }
  return taken;
}

TEST_CASE("an exhausted retry budget is replenished over time") {
  RetryBudget budget(0, 100, kWindow, RetryBudget::InitialCredit::kFull,
                     kStart);
  const int held = TakeAll(&budget, kStart, 1);
  CHECK(held >= 50);
  CHECK(TakeAll(&budget, kStart + absl::Milliseconds(1), 1) == 0);
  // What is held and what a window earns make up the allowance that is used.
  CHECK(held + TakeAll(&budget, kStart + kWindow, 1) == 90);
  CHECK(TakeAll(&budget, kStart + kWindow * 100, 1) == held);
}

TEST_CASE("an exhausted retry budget is replenished by requests") {
  RetryBudget budget(0.2, 100, kWindow, RetryBudget::InitialCredit::kFull,
                     kStart);
  TakeAll(&budget, kStart, 1);
  for (int i = 0; i < 101; ++i) {
    budget.NoteRequest(kStart, 1);
  }
  CHECK(TakeAll(&budget, kStart, 1) == 18);
}

TEST_CASE("a retry budget without a window still bounds what is held") {
  RetryBudget budget(0.2, 100, absl::ZeroDuration(),
                     RetryBudget::InitialCredit::kFull, kStart);
  CHECK(TakeAll(&budget, kStart, 1) == 54);
  CHECK(TakeAll(&budget, kStart, 1) == 0);
}

TEST_CASE("a restarted instance begins without retries") {
  RetryBudget budget(0.2, 100, kWindow, RetryBudget::InitialCredit::kNone,
                     kStart);
  CHECK(TakeAll(&budget, kStart, 1) == 0);
}

TEST_CASE(
    "in a fleet of unknown size an instance retries one request at a time") {
  RetryBudget budget(0.2, 100, kWindow, RetryBudget::InitialCredit::kNone,
                     kStart);
  const absl::Time later = kStart + kWindow;
  CHECK_FALSE(budget.Take(later, std::nullopt));
  for (int i = 0; i < 100; ++i) {
    budget.NoteRequest(later, std::nullopt);
  }
  CHECK(budget.Take(later, std::nullopt));
  CHECK_FALSE(budget.Take(later, std::nullopt));
}

TEST_CASE("an instance's credit shrinks when the fleet turns out larger") {
  RetryBudget budget(0.2, 100, kWindow, RetryBudget::InitialCredit::kFull,
                     kStart);
  const double of_ten = budget.Remaining(kStart, 10);
  CHECK(budget.Remaining(kStart, 20) == Approx(of_ten / 2));
}

TEST_CASE("a cold target's rate limit holds for all instances together") {
  constexpr int kInstances = 8;
  constexpr double kFleetRate = 59;
  std::vector<TargetRate> rates(kInstances);
  int sent = 0;
  for (TargetRate& rate : rates) {
    while (rate.MaySend(kStart, kFleetRate, kInstances)) {
      rate.NoteSend(kStart);
      ++sent;
    }
  }
  CHECK(sent <= kFleetRate);
  CHECK(sent >= kFleetRate / 2);
}

TEST_CASE("a service that is never cold has no rate limit") {
  TargetRate rate;
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(rate.MaySend(kStart, 0, 8));
    rate.NoteSend(kStart);
  }
}

}  // namespace
}  // namespace umbertrail::dispatch
