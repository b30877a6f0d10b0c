#include "umbertrail/dispatch/fair_shares.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr AccountHash kFlood{1};
constexpr AccountHash kQuiet{2};
constexpr AccountHash kOther{3};
constexpr int kSlots = 10;

WorkItem Stream(AccountHash account) {
  WorkItem item;
  item.account = account;
  return item;
}

WorkItem Prefill(AccountHash account) {
  WorkItem item = Stream(account);
  item.prefilling = true;
  return item;
}

Candidate Engine(std::vector<WorkItem> work) {
  Candidate candidate;
  candidate.slots = kSlots;
  candidate.work = std::move(work);
  return candidate;
}

// Samples the same load for `length`, until `until`.
void Run(const std::vector<Candidate>& engines,
         absl::Duration length,
         absl::Time until,
         FairShares* shares) {
  for (absl::Time at = until - length; at <= until;
       at += absl::Milliseconds(100)) {
    shares->Sample(engines, at);
  }
}

// Guards against a limit on an account that nobody else suffers from.
TEST_CASE("an account may use everything while no other lacks its share") {
  FairShares shares;
  Run({Engine({Prefill(kFlood)}), Engine({Prefill(kFlood)}),
       Engine({Stream(kQuiet)})},
      absl::Seconds(5), kNow, &shares);
  const auto standing = shares.StandingOf(kFlood);
  CHECK_FALSE(standing.above_share);
  CHECK(standing.share == absl::InfiniteDuration());
  CHECK(standing.usage > absl::Seconds(3));
  // Not even if it lacks something itself.
  shares.RecordShortfall(kFlood, absl::Seconds(2));
  CHECK_FALSE(shares.StandingOf(kFlood).above_share);
}

// Guards against a flood that takes the room of accounts that want little.
TEST_CASE("who uses more than its share is above it once others lack theirs") {
  FairShares shares;
  Run({Engine({Prefill(kFlood)}), Engine({Prefill(kFlood)}),
       Engine({Stream(kQuiet)})},
      absl::Seconds(5), kNow, &shares);
  shares.RecordShortfall(kQuiet, absl::Seconds(1));
  CHECK(shares.StandingOf(kFlood).above_share);
  CHECK_FALSE(shares.StandingOf(kQuiet).above_share);
  // It was served after all.
  shares.RecordServed(kQuiet, absl::Seconds(1));
  CHECK_FALSE(shares.StandingOf(kFlood).above_share);
}

TEST_CASE("what some don't want is divided among the others") {
  FairShares shares;
  // Two engines for one, one for another; the third wants little.
  Run({Engine({Prefill(kFlood)}), Engine({Prefill(kFlood)}),
       Engine({Prefill(kOther)}), Engine({Stream(kQuiet)})},
      absl::Seconds(30), kNow, &shares);
  shares.RecordShortfall(kFlood, absl::Seconds(9));
  shares.RecordShortfall(kOther, absl::Seconds(9));
  const auto flood = shares.StandingOf(kFlood);
  const auto other = shares.StandingOf(kOther);
  CHECK(flood.above_share);
  CHECK_FALSE(other.above_share);
  CHECK(absl::ToDoubleSeconds(flood.share) ==
        Approx(absl::ToDoubleSeconds(flood.usage + other.usage) / 2));
}

TEST_CASE("shares follow the weights of the accounts") {
  FairShares shares({{kFlood, 3}});
  Run({Engine({Prefill(kFlood)}), Engine({Prefill(kFlood)}),
       Engine({Prefill(kFlood)}), Engine({Prefill(kOther)})},
      absl::Seconds(30), kNow, &shares);
  shares.RecordShortfall(kFlood, absl::Seconds(9));
  shares.RecordShortfall(kOther, absl::Seconds(9));
  CHECK_FALSE(shares.StandingOf(kFlood).above_share);
  CHECK_FALSE(shares.StandingOf(kOther).above_share);
}

// Guards against an account that is held back for what it did long ago.
TEST_CASE("usage decays, so that an account gets its share again") {
  FairShares shares;
  Run({Engine({Prefill(kFlood)}), Engine({Prefill(kFlood)})}, absl::Seconds(5),
      kNow, &shares);
  shares.RecordShortfall(kQuiet, absl::Seconds(3));
  REQUIRE(shares.StandingOf(kFlood).above_share);
  const absl::Time later = kNow + 3 * FairShares::kTimeConstant;
  Run({Engine({Prefill(kQuiet)}), Engine({Prefill(kQuiet)})},
      3 * FairShares::kTimeConstant, later, &shares);
  shares.RecordShortfall(kFlood, absl::Seconds(3));
  CHECK_FALSE(shares.StandingOf(kFlood).above_share);
  CHECK(shares.StandingOf(kQuiet).above_share);
}

// Guards against a charge for a long time without samples, in which the load is
// unknown.
TEST_CASE("a sample after a pause doesn't charge for the whole pause") {
  FairShares shares;
  shares.Sample({Engine({Prefill(kFlood)})}, kNow);
  shares.Sample({Engine({Prefill(kFlood)})}, kNow + absl::Minutes(1));
  CHECK(shares.StandingOf(kFlood).usage <= absl::Seconds(1));
}

// Guards against memory that grows with the accounts that clients name.
TEST_CASE("the number of accounts is bounded, the largest users stay") {
  FairShares shares;
  Run({Engine({Prefill(kFlood)})}, absl::Seconds(5), kNow, &shares);
  for (uint64_t i = 0; i < 3 * FairShares::kMaxAccounts; ++i) {
    shares.RecordShortfall(AccountHash(100 + i), absl::Milliseconds(20));
  }
  CHECK(shares.size() <= FairShares::kMaxAccounts);
  CHECK(shares.StandingOf(kFlood).usage > absl::Seconds(1));
  // What is no longer used is forgotten.
  shares.Sample({}, kNow + absl::Minutes(5));
  CHECK(shares.size() == 0);
}

}  // namespace
}  // namespace umbertrail::dispatch
