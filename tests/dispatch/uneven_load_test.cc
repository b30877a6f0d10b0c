#include <catch2/catch.hpp>

#include "engine_play.h"
#include "sample_engine.h"

// Load plays that compare placement by expected output and remaining work with
// placement without them, under the same load and seeds.

namespace umbertrail::dispatch {
namespace {

constexpr int kTargets = 12;
constexpr uint64_t kSeeds = 8;
constexpr absl::Duration kPlay = absl::Seconds(40);

EngineModel Engine() {
  EngineModel engine = SampleEngine();
  engine.slots = 12;
  engine.kv_capacity = Tokens(197200);
  engine.step_ms = 1.02;
  engine.step_ms_per_request = 0.00226;
  engine.step_ms_per_1k_context = 0.00431;
  engine.prefill_tokens_per_s = 206000;
  engine.attention_ms_per_million_pairs = 0.138;
  engine.steps_per_pass = 43;
  engine.mean_output_tokens = 1300;
  return engine;
}

RequestClass Class(const char* name,
                   double per_s,
                   int events,
                   uint64_t account) {
  RequestClass kind{name,
                    per_s,
                    4960,
                    0.8,
                    23800,
                    events,
                    absl::Milliseconds(500),
                    absl::Milliseconds(250)};
  kind.account = AccountHash(account);
  kind.event_log_stddev = 0.5;
  return kind;
}

// Prompts that look alike, of which some have a tenfold output. At 1 they take
// all slots of all targets.
std::vector<RequestClass> TenfoldOutputs(double load) {
  return {Class("brief", 60 * load, 12, 1), Class("wordy", 18 * load, 120, 2)};
}

struct Share {
  int submitted = 0;
  int on_time = 0;
};

Share PlayAll(const std::vector<RequestClass>& kinds,
              const EngineSimulation::Slowdown& slowdown,
              const Features& features) {
  Share share;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EngineSimulation simulation(Engine(), kTargets, seed, features);
    simulation.SetSlowdown(slowdown);
    simulation.Run(kinds, kPlay);
    simulation.Drain();
    for (const RequestClass& kind : kinds) {
      const ClassResult& result = simulation.Of(kind.name);
      CHECK(result.submitted == result.on_time + result.late_first +
                                    result.late_pause + result.late_end +
                                    result.refused);
      share.submitted += result.submitted;
      share.on_time += result.on_time;
    }
  }
  return share;
}

void CheckServesMore(const std::vector<RequestClass>& kinds,
                     const EngineSimulation::Slowdown& slowdown,
                     const Features& features) {
  Features without;
  without.output_estimates = false;
  without.remaining_work = false;
  const Share on = PlayAll(kinds, slowdown, features);
  const Share off = PlayAll(kinds, slowdown, without);
  INFO("on time with it " << on.on_time << " of " << on.submitted
                          << ", without " << off.on_time << " of "
                          << off.submitted);
  CHECK(static_cast<double>(on.on_time) / on.submitted >
        static_cast<double>(off.on_time) / off.submitted);
}

Features WithRemainingWork() {
  Features features;
  features.remaining_work = true;
  return features;
}

Features WithEstimates() {
  Features features = WithRemainingWork();
  features.output_estimates = true;
  return features;
}

double AsModelled(size_t /*target*/, absl::Time /*now*/) {
  return 1;
}

// A quarter of the targets takes four times as long; which ones changes every
// ten seconds.
double QuarterIsSlow(size_t target, absl::Time now) {
  const auto period = absl::ToUnixSeconds(now) / 10;
  return (static_cast<int64_t>(target) + period) % 4 == 0 ? 4 : 1;
}

// Guards against full targets being taken for free after the mean stream's
// share of a slot, where a few accounts' streams are ten times as long: then
// requests wait that should be sent elsewhere or refused.
TEST_CASE("full targets serve more if the output of accounts is learnt") {
  CheckServesMore(TenfoldOutputs(0.8), &AsModelled, WithEstimates());
}

TEST_CASE("full targets serve more by the configured mean output") {
  CheckServesMore(TenfoldOutputs(0.8), &AsModelled, WithRemainingWork());
}

// As above, where only the clients' hints tell the streams apart.
TEST_CASE("full targets serve more if hints are learnt") {
  std::vector<RequestClass> kinds = TenfoldOutputs(0.8);
  for (RequestClass& kind : kinds) {
    kind.account = AccountHash(1);
    kind.hint_log_stddev = 0.4;
  }
  CheckServesMore(kinds, &AsModelled, WithEstimates());
}

// Guards against streams that are sent to targets too slow for their pauses,
// while others have free slots.
TEST_CASE("more is served beside slow targets if speeds are learnt") {
  CheckServesMore(TenfoldOutputs(0.4), &QuarterIsSlow, WithRemainingWork());
}

TEST_CASE("more is served beside slow targets when slots run out") {
  CheckServesMore(TenfoldOutputs(0.6), &QuarterIsSlow, WithRemainingWork());
}

// Guards against mechanisms for uneven load that cost calm load: all requests
// have the configured output, and the targets have slots to spare.
TEST_CASE("even load is served as before") {
  const std::vector<RequestClass> kinds = {Class("even", 70, 30, 1)};
  Features without;
  without.output_estimates = false;
  without.remaining_work = false;
  const Share on = PlayAll(kinds, &AsModelled, WithRemainingWork());
  const Share off = PlayAll(kinds, &AsModelled, without);
  CAPTURE(on.on_time, on.submitted, off.on_time, off.submitted);
  CHECK(static_cast<double>(on.on_time) / on.submitted >
        static_cast<double>(off.on_time) / off.submitted - 0.01);
}

}  // namespace
}  // namespace umbertrail::dispatch
