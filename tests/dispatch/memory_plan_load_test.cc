#include <catch2/catch.hpp>

#include "memory_play.h"
#include "sample_engine.h"

namespace umbertrail::dispatch::memory_play {
namespace {

EngineModel SmallMemoryEngine() {
  EngineModel engine = SampleEngine();
  engine.slots = 12;
  engine.kv_capacity = Tokens(197200);
  engine.step_ms = 1.02;
  engine.step_ms_per_request = 0.00226;
  engine.step_ms_per_1k_context = 0.00431;
  engine.prefill_tokens_per_s = 206000;
  engine.attention_ms_per_million_pairs = 0.138;
  engine.steps_per_pass = 48;
  engine.mean_output_tokens = 1200;
  return engine;
}

std::vector<RequestClass> Mix(double scale, double short_x, double long_x) {
  return {{"short", 130 * scale * short_x, 4960, 0.8, 23800, 31,
           absl::Milliseconds(250), absl::Milliseconds(250)},
          {"medium", 9 * scale, 45000, 0.5, 110000, 19,
           absl::Milliseconds(1500), absl::Milliseconds(600)},
          {"long", 5 * scale * long_x, 190000, 0.55, 600000, 15,
           absl::Seconds(6), absl::Seconds(1), 330000}};
}

constexpr int kTargets = 78;
constexpr int kSeeds = 6;

struct Sums {
  ClassResult shorts;
  ClassResult mediums;
  ClassResult longs;
  ClassResult longest;
  ReservationResult reservations;
};

void Add(const ClassResult& result, ClassResult* sum) {
  CHECK(result.submitted ==
        result.served() + result.refused + result.timed_out);
  sum->submitted += result.submitted;
  sum->on_time += result.on_time;
  sum->late_first += result.late_first;
  sum->late_pause += result.late_pause;
  sum->refused += result.refused;
  sum->timed_out += result.timed_out;
}

Sums SimulateAll(bool memory_plan) {
  Features features;
  features.memory_plan = memory_plan;
  // The plans alone are compared.
  features.remaining_work = false;
  Sums sums;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    MemorySimulation simulation(SmallMemoryEngine(), kTargets, seed, features);
    simulation.Run(Mix(1, 1, 1), absl::Seconds(5));
    for (int cycle = 0; cycle < 2; ++cycle) {
      simulation.Run(Mix(1, 0.4, 2.7), absl::Seconds(10));
      simulation.Run(Mix(1, 2.4, 0.1), absl::Seconds(10));
    }
    simulation.Drain();
    Add(simulation.Of("short"), &sums.shorts);
    Add(simulation.Of("medium"), &sums.mediums);
    Add(simulation.Of("long"), &sums.longs);
    Add(simulation.LargestOf("long"), &sums.longest);
    sums.reservations.orders += simulation.reservations().orders;
    sums.reservations.refused_orders +=
        simulation.reservations().refused_orders;
  }
  return sums;
}

double Share(int part, const ClassResult& of) {
  return static_cast<double>(part) / of.submitted;
}

// Guards against plans that serve the longest prompts at the cost of the short
// ones, and against reserve orders for memory that isn't free: prompts near or
// over one engine's memory rise 2.7-fold for ten seconds, then short ones.
TEST_CASE(
    "planned memory serves more of the longest prompts, short as before") {
  const Sums off = SimulateAll(false);
  const Sums on = SimulateAll(true);
  CAPTURE(off.mediums.submitted, on.mediums.submitted, off.mediums.on_time,
          on.mediums.on_time, off.longs.submitted, on.longs.submitted,
          off.longs.on_time, on.longs.on_time, off.longest.submitted,
          on.longest.submitted, off.shorts.submitted, on.shorts.submitted,
          off.longs.refused, on.longs.refused, off.longest.refused,
          on.longest.refused, off.shorts.on_time, on.shorts.on_time,
          off.reservations.orders, on.reservations.orders,
          off.reservations.refused_orders, on.reservations.refused_orders);
  CHECK(Share(on.longest.served(), on.longest) >
        Share(off.longest.served(), off.longest));
  CHECK(Share(on.longs.on_time, on.longs) >
        Share(off.longs.on_time, off.longs));
  CHECK(Share(on.shorts.on_time, on.shorts) >=
        Share(off.shorts.on_time, off.shorts));
  CHECK(on.reservations.refused_orders < off.reservations.refused_orders);
}

}  // namespace
}  // namespace umbertrail::dispatch::memory_play
