#include "umbertrail/dispatch/remaining_work.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

EngineModel FewSlots() {
  EngineModel engine = SampleEngine();
  engine.slots = 2;
  engine.step_ms_per_request = 0;
  return engine;
}

// A pass of that engine: 34 steps of 1.31 ms.
constexpr absl::Duration kPass = absl::Microseconds(44540);

WorkItem Decoding(double expected_events, double received) {
  WorkItem item;
  item.prompt = Tokens(1000);
  item.expected_events = expected_events;
  item.first_event_at = kNow - (received - 1) * kPass;
  item.sent_at = item.first_event_at - absl::Milliseconds(50);
  return item;
}

WorkItem Queued(double expected_events, int urgency) {
  WorkItem item;
  item.prompt = Tokens(1000);
  item.prefill_time = absl::Milliseconds(10);
  item.prefilling = true;
  item.expected_events = expected_events;
  item.urgency = urgency;
  item.sent_at = kNow;
  item.time_to_first_event = absl::Milliseconds(100);
  return item;
}

double WaitInPasses(const std::vector<WorkItem>& work,
                    int urgency = 0,
                    const TargetSpeed& speed = {}) {
  const EngineModel engine = FewSlots();
  const RemainingWork forecast(engine, work, speed, kNow);
  return absl::FDivDuration(forecast.TimeUntilSlot(engine.slots, urgency),
                            kPass);
}

TEST_CASE("the next slot frees when the first request ends") {
  CHECK(WaitInPasses({}) == 0);
  CHECK(WaitInPasses({Decoding(50, 10)}) == 0);
  CHECK(WaitInPasses({Decoding(50, 10), Decoding(20, 10)}) ==
        Approx(10).epsilon(0.01));
}

// Guards against a target that is taken for free soon while a stream runs far
// longer than was expected of it.
TEST_CASE("a stream past its estimate keeps its slot in proportion") {
  CHECK(WaitInPasses({Decoding(90, 10), Decoding(10, 80)}) ==
        Approx(40).epsilon(0.01));
}

TEST_CASE("queued requests take the slots that free first") {
  const std::vector<WorkItem> work = {Decoding(50, 10), Decoding(20, 10),
                                      Queued(5, 0)};
  // Ten passes, and then the prefill and five passes of the queued request.
  CHECK(WaitInPasses(work) == Approx(15 + 10 / 44.54).epsilon(0.01));
}

TEST_CASE("a more urgent request doesn't wait for less urgent ones") {
  const std::vector<WorkItem> work = {Decoding(50, 10), Decoding(20, 10),
                                      Queued(5, 3)};
  CHECK(WaitInPasses(work, 0) == Approx(10).epsilon(0.01));
  CHECK(WaitInPasses(work, 3) > 15);
  CHECK(WaitInPasses(work, 5) > 15);
}

TEST_CASE("a slow target's slots free later") {
  TargetSpeed slow;
  slow.decode_slowdown = 3;
  // 30 passes of a third of the speed since the first event are ten events.
  CHECK(WaitInPasses({Decoding(50, 31), Decoding(21, 31)}, 0, slow) ==
        Approx(30).epsilon(0.01));
}

TEST_CASE("helpers' parts take no slot") {
  WorkItem part = Queued(5, 0);
  part.is_helper = true;
  CHECK(WaitInPasses({Decoding(50, 10), part}) == 0);
}

// Guards against a division by zero or a wait without end where an older build
// reports neither the expected events nor the first event.
TEST_CASE("work of older builds counts with the engine's mean output") {
  WorkItem old = Decoding(0, 1);
  old.first_event_at = absl::InfinitePast();
  old.sent_at = kNow - 10 * kPass;
  const double wait = WaitInPasses({old, old});
  CHECK(wait > 20);
  CHECK(wait < 40);
}

TEST_CASE("streams that end before a prompt is read don't lengthen its pass") {
  const EngineModel engine = FewSlots();
  const std::vector<WorkItem> work = {Decoding(100, 2), Decoding(12, 10),
                                      Queued(30, 0)};
  const RemainingWork forecast(engine, work, {}, kNow);
  CHECK(forecast.DecodeLoadAt(absl::ZeroDuration()).decoding == 2);
  // The second has ended and the queued one has begun.
  const auto later = forecast.DecodeLoadAt(10 * kPass);
  CHECK(later.decoding == Approx(2));
  CHECK(later.context_tokens == Approx(2000));
  CHECK(forecast.DecodingShareAt(work[1], 10 * kPass) == 0);
  CHECK(forecast.DecodeLoadAt(1000 * kPass).decoding == 0);
}

TEST_CASE("memory is held until requests end, and helpers' parts until read") {
  const EngineModel engine = FewSlots();
  WorkItem part = Queued(30, 0);
  part.is_helper = true;
  part.prompt = Tokens(50000);
  const std::vector<WorkItem> work = {Decoding(100, 2), Decoding(12, 10), part};
  const RemainingWork forecast(engine, work, {}, kNow);
  CHECK(forecast.MemoryAt(absl::ZeroDuration()) == Tokens(52000));
  CHECK(forecast.MemoryAt(10 * kPass) == Tokens(1000));
  CHECK(forecast.MemoryAt(1000 * kPass) == Tokens(0));
}

}  // namespace
}  // namespace umbertrail::dispatch
