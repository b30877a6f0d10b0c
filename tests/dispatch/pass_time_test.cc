#include "umbertrail/dispatch/pass_time.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"
#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

WorkItem Item(int64_t prompt, bool reading) {
  WorkItem item;
  item.prompt = Tokens(prompt);
  item.reading = reading;
  if (reading) {
    item.read_time = ReadTime(SampleEngine(), item.prompt);
  }
  return item;
}

double PassMs(const PassLoad& load, int64_t prompt) {
  const EngineModel engine = SampleEngine();
  return absl::ToDoubleMilliseconds(
      PassWith(engine, load, Tokens(prompt), ReadTime(engine, Tokens(prompt))));
}

TEST_CASE("a pass writes and reads") {
  // 34 steps of 1.31 ms, and reading of 6.5 ms.
  CHECK(PassMs({}, 1000) == Approx(44.54 + 6.58).epsilon(0.01));
}

TEST_CASE("a pass reads no more than its steps take") {
  // 69,632 of 182,000 tokens, with their share of the pairs.
  CHECK(PassMs({}, 182000) == Approx(44.5 + 3865 * 0.3826).epsilon(0.01));
}

TEST_CASE("prompts that wait share a pass") {
  const PassLoad load =
      PassLoadOf({Item(20000, true), Item(20000, true), Item(5000, false)},
                 2 * ReadTime(SampleEngine(), Tokens(20000)), 1);
  CHECK(load.writers == 1);
  CHECK(load.waiting == Tokens(40000));
  CHECK(load.context == Tokens(5000));
  CHECK(PassMs(load, 20000) >
        PassMs({}, 20000) + 1.9 * (PassMs({}, 20000) - PassMs({}, 0)));
  // Behind a long prompt it isn't in the same pass, and makes none longer.
  const absl::Duration long_read = ReadTime(SampleEngine(), Tokens(400000));
  const PassLoad behind = PassLoadOf({Item(400000, true)}, long_read, 1);
  CHECK(PassMs(behind, 1000) <= PassMs(behind, 0) + 1);
}

TEST_CASE("what has been read of a prompt is no part of the next passes") {
  const absl::Duration whole = ReadTime(SampleEngine(), Tokens(100000));
  const PassLoad load = PassLoadOf({Item(100000, true)}, whole / 4, 1);
  CHECK(load.waiting == Tokens(25000));
  CHECK(load.read_time == whole / 4);
  CHECK(PassLoadOf({Item(100000, true)}, whole / 2, 2).waiting ==
        Tokens(25000));
}

TEST_CASE("the prompts of those that write lengthen each step") {
  EngineModel engine = SampleEngine();
  engine.context_ms_per_1k = 0.005;
  PassLoad load;
  load.writers = 1;
  const absl::Duration without = WritingPass(engine, load);
  load.context = Tokens(200000);
  // 34 steps of 1 ms each.
  CHECK(absl::ToDoubleMilliseconds(WritingPass(engine, load) - without) ==
        Approx(34));
}

TEST_CASE("a helper's part is read there and writes nothing") {
  WorkItem part = Item(30000, true);
  part.helping = true;
  const PassLoad load = PassLoadOf({part}, part.read_time, 1);
  CHECK(load.writers == 0);
  CHECK(load.waiting == Tokens(30000));
}

}  // namespace
}  // namespace umbertrail::dispatch
