#include <catch2/catch.hpp>

#include "engine_play.h"
#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

// Short, middle and long prompts at 16 engines under moderate load. Bursts of
// short and of long prompts alternate, as from callers of one installation.
constexpr int kTargets = 16;
constexpr int kSeeds = 4;
constexpr double kShortAimed = 0.95;
constexpr double kLongAimed = 0.9;

EngineModel Engine() {
  EngineModel engine = SampleEngine();
  engine.kv_capacity = Tokens(232000);
  engine.step_ms = 1.02;
  engine.step_ms_per_request = 0.00226;
  engine.step_ms_per_1k_context = 0.00431;
  engine.prefill_tokens_per_s = 206000;
  engine.attention_ms_per_million_pairs = 0.138;
  engine.steps_per_pass = 43;
  engine.mean_output_tokens = 1300;
  return engine;
}

std::vector<RequestClass> Mix(double short_x, double middle_x, double long_x) {
  return {{"short", 28.6 * short_x, 4960, 0.8, 23800, 32,
           absl::Milliseconds(300), absl::Milliseconds(250)},
          {"middle", 1.56 * middle_x, 45000, 0.5, 110000, 19,
           absl::Milliseconds(1500), absl::Milliseconds(600)},
          {"long", 1.31 * long_x, 110000, 0.4, 180000, 16, absl::Seconds(3),
           absl::Seconds(1)}};
}

struct Sum {
  double submitted = 0;
  double on_time = 0;
  double late_pause = 0;
};

Sum SimulateAll(const std::string& kind) {
  Sum sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EngineSimulation simulation(Engine(), kTargets, seed);
    simulation.Run(Mix(0.38, 1.3, 2.8), absl::Seconds(10));
    simulation.Run(Mix(2.4, 0.5, 0.05), absl::Seconds(10));
    simulation.Run(Mix(0.35, 1.3, 2.8), absl::Seconds(10));
    simulation.Drain();
    const ClassResult& result = simulation.Of(kind);
    INFO(kind << " seed " << seed << ": " << result.submitted << " asked, "
              << result.on_time << " on time, " << result.late_first
              << " late, " << result.late_pause << " by a pause, "
              << result.refused << " refused");
    CHECK(result.submitted ==
          result.served() + result.refused + result.timed_out);
    sum.submitted += result.submitted;
    sum.on_time += result.on_time;
    sum.late_pause += result.late_pause;
  }
  return sum;
}

TEST_CASE("short prompts are on time beside prompts of all lengths") {
  const Sum sum = SimulateAll("short");
  CAPTURE(sum.submitted, sum.on_time, sum.late_pause);
  CHECK(sum.on_time >= kShortAimed * sum.submitted);
}

TEST_CASE("long prompts are on time beside many short ones") {
  const Sum sum = SimulateAll("long");
  CAPTURE(sum.submitted, sum.on_time, sum.late_pause);
  CHECK(sum.on_time >= kLongAimed * sum.submitted);
}

}  // namespace
}  // namespace umbertrail::dispatch
