#include "umbertrail/dispatch/fleet_size.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr auto kUnknown = std::nullopt;

TEST_CASE("at the first start an instance trusts its count of others") {
  FleetSize size(FleetSize::Start::kWithFleet, kStart);
  CHECK(size.Divisor(kStart) == kUnknown);
  size.NoteLive(59, kStart);
  CHECK(size.Divisor(kStart) == 59);
  size.NoteLive(20, kStart);
  CHECK(size.Divisor(kStart) == 59);
}

TEST_CASE("an instance without others knows the size at once") {
  CHECK(FleetSize(FleetSize::Start::kAlone, kStart).Divisor(kStart) == 8);
}

TEST_CASE("a restarted instance waits to be told the fleet's size") {
  FleetSize size(FleetSize::Start::kLater, kStart);
  size.NoteLive(12, kStart);
  CHECK(size.Divisor(kStart) == kUnknown);
  CHECK(size.Minimum() == 12);
  CHECK_FALSE(size.Report(kStart));
  size.Merge({59, absl::Seconds(2)}, kStart);
  CHECK(size.Divisor(kStart) == 59);
  REQUIRE(size.Report(kStart + absl::Seconds(1)));
  CHECK(size.Report(kStart + absl::Seconds(1))->instances == 59);
  CHECK(size.Report(kStart + absl::Seconds(1))->age == absl::Seconds(3));
}

TEST_CASE("a restarted instance that nobody tells trusts its own count later") {
  FleetSize size(FleetSize::Start::kLater, kStart);
  size.NoteLive(12, kStart);
  CHECK(size.Divisor(kStart + absl::Seconds(29)) == kUnknown);
  CHECK(size.Divisor(kStart + absl::Seconds(30)) == 12);
}

TEST_CASE("the former size of a fleet that shrank is forgotten") {
  FleetSize size(FleetSize::Start::kWithFleet, kStart);
  size.NoteLive(300, kStart);
  const absl::Time later = kStart + absl::Minutes(11);
  size.NoteLive(59, later);
  REQUIRE(size.Report(later));
  CHECK(size.Report(later)->instances == 59);
  // This instance itself keeps to the size that it saw.
  CHECK(size.Divisor(later) == 300);
}

TEST_CASE("impossible sizes are ignored") {
  FleetSize size(FleetSize::Start::kLater, kStart);
  size.Merge({0, absl::ZeroDuration()}, kStart);
  size.Merge({FleetSize::kMaxInstances + 1, absl::ZeroDuration()}, kStart);
  size.Merge({59, absl::Minutes(11)}, kStart);
  size.Merge({59, -absl::Seconds(1)}, kStart);
  CHECK(size.Divisor(kStart) == kUnknown);
}

}  // namespace
}  // namespace umbertrail::dispatch
