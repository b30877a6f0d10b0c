#include "umbertrail/dispatch/features.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

// Guards against a measurement in which another feature, or none, is off.
TEST_CASE("the named features alone are off") {
  const auto features = FeaturesWithout("urgency,memory-plan");
  REQUIRE(features);
  CHECK_FALSE(features->urgency);
  CHECK_FALSE(features->memory_plan);
  CHECK_FALSE(features->remaining_work);
  CHECK_FALSE(features->output_estimates);
  CHECK_FALSE(features->ordered_search);
  CHECK(FeaturesWithout("")->urgency);
  CHECK_FALSE(FeaturesWithout("urgent"));
}

// Guards against a feature that is off by default and so can't be measured.
TEST_CASE("a feature after a plus sign is on") {
  const auto features =
      FeaturesWithout("+output-estimates,+fair-shares,memory-plan");
  REQUIRE(features);
  CHECK(features->output_estimates);
  CHECK(features->fair_shares);
  CHECK_FALSE(features->remaining_work);
  CHECK_FALSE(features->memory_plan);
  CHECK(features->urgency);
  CHECK_FALSE(FeaturesWithout("+"));
}

}  // namespace
}  // namespace umbertrail::dispatch
