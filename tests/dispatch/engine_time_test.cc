#include "umbertrail/dispatch/engine_time.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

double PrefillMs(int64_t tokens) {
  return absl::ToDoubleMilliseconds(
      PrefillTime(SampleEngine(), Tokens(tokens)));
}

TEST_CASE("prefill time has a linear and a quadratic part") {
  CHECK(PrefillMs(4960) == Approx(34.2).epsilon(0.01));
  CHECK(PrefillMs(45000) == Approx(456).epsilon(0.01));
  CHECK(PrefillMs(182000) == Approx(3865).epsilon(0.01));
  CHECK(PrefillMs(0) == 0);
}

TEST_CASE("prefill takes no time on an engine without parameters") {
  EngineModel engine;
  CHECK(PrefillTime(engine, Tokens(1000)) == absl::ZeroDuration());
}

}  // namespace
}  // namespace umbertrail::dispatch
