#include "umbertrail/telemetry/alone_baseline.h"

#include <catch2/catch.hpp>

namespace umbertrail::telemetry {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

TEST_CASE("slowdown is the ratio to the fastest of like size") {
  AloneBaseline alone;
  CHECK(alone.Observe(kStart, Tokens(1000), absl::Milliseconds(100)) == 1.0);
  CHECK(alone.Observe(kStart, Tokens(1000), absl::Milliseconds(250)) == 2.5);
  // Another size has a baseline of its own.
  CHECK(alone.Observe(kStart, Tokens(4000), absl::Milliseconds(400)) == 1.0);
}

TEST_CASE("a fastest time is forgotten after two windows") {
  AloneBaseline alone;
  alone.Observe(kStart, Tokens(1000), absl::Milliseconds(100));
  CHECK(alone.Observe(kStart + kAloneWindow, Tokens(1000),
                      absl::Milliseconds(200)) == 2.0);
  CHECK(alone.Observe(kStart + 2 * kAloneWindow, Tokens(1000),
                      absl::Milliseconds(200)) == 1.0);
}

}  // namespace
}  // namespace umbertrail::telemetry
