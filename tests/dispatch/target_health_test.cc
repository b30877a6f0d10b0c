#include "umbertrail/dispatch/target_health.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("failures raise the failure rate and decay over time") {
  TargetHealth health;
  CHECK(health.FailureRate(kStart) == 0);
  for (int i = 0; i < 5; ++i) {
    health.RecordFailure(kStart);
  }
  CHECK(health.FailureRate(kStart) > 0.5);
  CHECK(health.FailureRate(kStart + absl::Seconds(60)) < 0.1);
}

TEST_CASE("the backoff of an unreachable target grows up to a maximum") {
  TargetHealth health;
  health.RecordUnreachable(kStart);
  CHECK(health.InBackoff(kStart + absl::Milliseconds(200)));
  CHECK_FALSE(health.InBackoff(kStart + absl::Milliseconds(400)));
  health.RecordUnreachable(kStart);
  CHECK(health.InBackoff(kStart + absl::Milliseconds(400)));
  for (int i = 0; i < 10; ++i) {
    health.RecordUnreachable(kStart);
  }
  CHECK_FALSE(health.InBackoff(kStart + absl::Seconds(2)));
}

TEST_CASE("the slowdown follows measured times and recovers") {
  TargetHealth health;
  for (int i = 0; i < 30; ++i) {
    health.RecordFirstEvent(absl::Milliseconds(100), absl::Milliseconds(800));
  }
  CHECK(health.slowdown() > 6);
  for (int i = 0; i < 30; ++i) {
    health.RecordFirstEvent(absl::Milliseconds(100), absl::Milliseconds(90));
  }
  CHECK(health.slowdown() < 1.1);
}

}  // namespace
}  // namespace umbertrail::dispatch
