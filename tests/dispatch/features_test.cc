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
  CHECK(features->output_estimates);
  CHECK(features->fair_shares);
  CHECK(FeaturesWithout("")->urgency);
  CHECK_FALSE(FeaturesWithout("urgent"));
}

}  // namespace
}  // namespace umbertrail::dispatch
