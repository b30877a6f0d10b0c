#include "umbertrail/dispatch/pass_time.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"
#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

WorkItem Item(int64_t prompt, bool prefilling) {
  WorkItem item;
  item.prompt = Tokens(prompt);
  item.prefilling = prefilling;
  if (prefilling) {
    item.prefill_time = PrefillTime(SampleEngine(), item.prompt);
  }
  return item;
}

double PassMs(const PassLoad& load, int64_t prompt) {
  const EngineModel engine = SampleEngine();
  return absl::ToDoubleMilliseconds(PassTimeWithPrefill(
      engine, load, Tokens(prompt), PrefillTime(engine, Tokens(prompt))));
}

TEST_CASE("a pass decodes and prefills") {
  // 34 steps of 1.31 ms, and prefill of 6.5 ms.
  CHECK(PassMs({}, 1000) == Approx(44.54 + 6.58).epsilon(0.01));
}

TEST_CASE("prefill in one pass is limited by its steps") {
  // 69,632 of 182,000 tokens, with their share of the attention cost.
  CHECK(PassMs({}, 182000) == Approx(44.5 + 3865 * 0.3826).epsilon(0.01));
}

TEST_CASE("queued prompts share a pass") {
  const PassLoad load =
      ComputePassLoad({Item(20000, true), Item(20000, true), Item(5000, false)},
                      2 * PrefillTime(SampleEngine(), Tokens(20000)), 1);
  CHECK(load.decoding == 1);
  CHECK(load.queued_prefill == Tokens(40000));
  CHECK(load.context == Tokens(5000));
  CHECK(PassMs(load, 20000) >
        PassMs({}, 20000) + 1.9 * (PassMs({}, 20000) - PassMs({}, 0)));
  // Behind a long prompt it runs in a later pass, and lengthens none.
  const absl::Duration long_read = PrefillTime(SampleEngine(), Tokens(400000));
  const PassLoad behind = ComputePassLoad({Item(400000, true)}, long_read, 1);
  CHECK(PassMs(behind, 1000) <= PassMs(behind, 0) + 1);
}

TEST_CASE("finished parts of a prefill don't count in later passes") {
  const absl::Duration whole = PrefillTime(SampleEngine(), Tokens(100000));
  const PassLoad load = ComputePassLoad({Item(100000, true)}, whole / 4, 1);
  CHECK(load.queued_prefill == Tokens(25000));
  CHECK(load.prefill_time == whole / 4);
  CHECK(ComputePassLoad({Item(100000, true)}, whole / 2, 2).queued_prefill ==
        Tokens(25000));
}

TEST_CASE("contexts of decoding requests lengthen each step") {
  EngineModel engine = SampleEngine();
  engine.step_ms_per_1k_context = 0.005;
  PassLoad load;
  load.decoding = 1;
  const absl::Duration without = DecodePassTime(engine, load);
  load.context = Tokens(200000);
  // 34 steps of 1 ms each.
  CHECK(absl::ToDoubleMilliseconds(DecodePassTime(engine, load) - without) ==
        Approx(34));
}

TEST_CASE("a helper's part is prefilled but not decoded") {
  WorkItem part = Item(30000, true);
  part.is_helper = true;
  const PassLoad load = ComputePassLoad({part}, part.prefill_time, 1);
  CHECK(load.decoding == 0);
  CHECK(load.queued_prefill == Tokens(30000));
}

}  // namespace
}  // namespace umbertrail::dispatch
