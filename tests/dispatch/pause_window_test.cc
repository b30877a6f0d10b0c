#include "umbertrail/dispatch/pause_window.h"

#include <catch2/catch.hpp>
#include <limits>

#include "sample_engine.h"
#include "umbertrail/dispatch/pass_time.h"
#include "umbertrail/dispatch/target_health.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

WorkItem Item(int64_t prompt, bool prefilling) {
  WorkItem item;
  item.prompt = Tokens(prompt);
  item.prefilling = prefilling;
  item.sent_at = kNow;
  if (prefilling) {
    item.prefill_time = PrefillTime(SampleEngine(), item.prompt);
  }
  return item;
}

absl::Duration DecodePass() {
  return DecodePassTime(SampleEngine(), 1);
}

// Guards against prompts that are read beside a stream, or a burst after a
// delay of this instance, which would pass for another speed of the target.
TEST_CASE("one long and one short pause don't shift the typical one") {
  PauseWindow window;
  CHECK_FALSE(window.Add(absl::Milliseconds(50)));
  CHECK_FALSE(window.Add(absl::Milliseconds(900)));
  CHECK_FALSE(window.Add(absl::Milliseconds(1)));
  CHECK_FALSE(window.Add(absl::Milliseconds(52)));
  CHECK(window.Add(absl::Milliseconds(51)) == absl::Milliseconds(50));
  CHECK_FALSE(window.Add(absl::Milliseconds(50)));
}

TEST_CASE("a discarded window starts anew") {
  PauseWindow window;
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(window.Add(absl::Seconds(3)));
  }
  window.Discard();
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(window.Add(absl::Milliseconds(50)));
  }
  CHECK(window.Add(absl::Milliseconds(50)) == absl::Milliseconds(50));
}

TEST_CASE("pauses are compared with the pass of the known work") {
  const EngineModel engine = SampleEngine();
  const auto ratio =
      PauseRatio(engine, {Item(0, false)}, 1, 3 * DecodePass(), kNow);
  REQUIRE(ratio);
  CHECK(*ratio == Approx(3).epsilon(0.01));
  // The stream itself may not be known there.
  CHECK(PauseRatio(engine, {}, 1, 3 * DecodePass(), kNow) == ratio);
}

TEST_CASE("a pause that a known prefill explains shows nothing") {
  const EngineModel engine = SampleEngine();
  const std::vector<WorkItem> work = {Item(0, false), Item(30000, true)};
  const absl::Duration prefill = work.back().prefill_time;
  CHECK_FALSE(PauseRatio(engine, work, 1, prefill, kNow));
  CHECK_FALSE(PauseRatio(engine, work, 1, DecodePass(), kNow));
  const auto slow =
      PauseRatio(engine, work, 1, 2 * (prefill + DecodePass()), kNow);
  REQUIRE(slow);
  CHECK(*slow == Approx(2).epsilon(0.02));
  // After the prefill's expected end nothing is known of its pass.
  CHECK_FALSE(
      PauseRatio(engine, work, 1, 10 * prefill, kNow + absl::Seconds(30)));
}

TEST_CASE("the decode slowdown follows pauses and is forgotten") {
  TargetHealth health;
  CHECK(health.DecodeSlowdown(kNow) == 1);
  for (int i = 0; i < 30; ++i) {
    health.RecordPauses(4, 1, kNow);
  }
  CHECK(health.DecodeSlowdown(kNow) == Approx(4).epsilon(0.02));
  CHECK(health.DecodeSlowdown(kNow + absl::Seconds(10)) ==
        Approx(2.5).epsilon(0.02));
  CHECK(health.DecodeSlowdown(kNow + absl::Minutes(5)) < 1.001);
  health.RecordPauses(0.5, 50, kNow);
  CHECK(health.DecodeSlowdown(kNow) == Approx(1).epsilon(0.01));
}

// Guards against a malformed report that makes a target look stopped for ever.
TEST_CASE("impossible ratios are ignored or bounded") {
  TargetHealth health;
  health.RecordPauses(std::numeric_limits<double>::quiet_NaN(), 5, kNow);
  health.RecordPauses(std::numeric_limits<double>::infinity(), 5, kNow);
  health.RecordPauses(9, 0, kNow);
  CHECK(health.DecodeSlowdown(kNow) == 1);
  health.RecordPauses(1e9, 100, kNow);
  CHECK(health.DecodeSlowdown(kNow) <= 20);
}

}  // namespace
}  // namespace umbertrail::dispatch
