#include "umbertrail/dispatch/engine_time.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

double ReadMs(int64_t tokens) {
  return absl::ToDoubleMilliseconds(
      PrefillTime(SampleEngine(), Tokens(tokens)));
}

TEST_CASE("reading takes a time for each token and for each pair") {
  CHECK(ReadMs(4960) == Approx(34.2).epsilon(0.01));
  CHECK(ReadMs(45000) == Approx(456).epsilon(0.01));
  CHECK(ReadMs(182000) == Approx(3865).epsilon(0.01));
  CHECK(ReadMs(0) == 0);
}

TEST_CASE("an engine that states no speed is taken to read at once") {
  EngineModel engine;
  CHECK(PrefillTime(engine, Tokens(1000)) == absl::ZeroDuration());
}

}  // namespace
}  // namespace umbertrail::dispatch
