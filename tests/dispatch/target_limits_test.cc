#include "umbertrail/dispatch/target_limits.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const TargetId kTarget("t0");
constexpr int64_t kBorn = 7;

std::optional<double> RateOf(const TargetLimits& limits, int64_t born_ms) {
  const TargetLimit* limit = limits.Find(kTarget, born_ms);
  return limit == nullptr ? std::nullopt : limit->rate;
}

TEST_CASE("the most recent response decides on a target's limit") {
  TargetLimits limits;
  CHECK_FALSE(limits.Merge({kTarget, kBorn, std::nullopt, kStart}));
  CHECK(limits.Merge({kTarget, kBorn, 2.5, kStart}));
  CHECK(RateOf(limits, kBorn) == 2.5);
  const absl::Time later = kStart + absl::Seconds(1);
  CHECK_FALSE(limits.Merge({kTarget, kBorn, 2.5, later}));
  CHECK_FALSE(limits.Merge({kTarget, kBorn, std::nullopt, kStart}));
  CHECK(RateOf(limits, kBorn) == 2.5);
  CHECK(limits.Merge({kTarget, kBorn, std::nullopt, later + absl::Seconds(1)}));
  CHECK(RateOf(limits, kBorn) == std::nullopt);
}

TEST_CASE("a restarted target has no limit until it states one") {
  TargetLimits limits;
  limits.Merge({kTarget, kBorn, 2.5, kStart});
  CHECK(RateOf(limits, kBorn + 1) == std::nullopt);
  CHECK(limits.Merge({kTarget, kBorn + 1, 3.0, kStart}));
  // What was heard of its former incarnation comes late.
  CHECK_FALSE(limits.Merge({kTarget, kBorn, 2.5, kStart + absl::Seconds(1)}));
  CHECK(RateOf(limits, kBorn + 1) == 3.0);
}

}  // namespace
}  // namespace umbertrail::dispatch
