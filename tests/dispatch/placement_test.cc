#include "umbertrail/dispatch/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sample_engine.h"
#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr Tokens kShortPrompt{5000};
constexpr Tokens kLongPrompt{182000};

Shape ShortShape() {
  Shape shape;
  shape.prompt = kShortPrompt;
  shape.aim = absl::Milliseconds(300);
  shape.gap_aim = absl::Milliseconds(250);
  shape.left = absl::Seconds(10);
  return shape;
}

Shape LongShape() {
  Shape shape;
  shape.prompt = kLongPrompt;
  shape.aim = absl::Seconds(3);
  shape.gap_aim = absl::Seconds(1);
  shape.left = absl::Seconds(15);
  return shape;
}

WorkItem Writing(absl::Duration gap_aim) {
  WorkItem item;
  item.since = kNow - absl::Seconds(1);
  item.gap_aim = gap_aim;
  item.worth = RequestValue(kShortPrompt);
  return item;
}

WorkItem ReadingLong(absl::Duration for_time) {
  WorkItem item;
  item.since = kNow - for_time;
  item.read_time = PrefillTime(SampleEngine(), kLongPrompt);
  item.reading = true;
  item.worth = RequestValue(kLongPrompt);
  return item;
}

Candidate Idle(const std::string& id) {
  Candidate candidate;
  candidate.id = TargetId(id);
  candidate.slots = 16;
  candidate.near = true;
  return candidate;
}

std::string TargetOf(const PlacementResult& result) {
  return result.placed ? result.placed->target.text() : "none";
}

PlacementResult PlaceAt(const Shape& shape,
                        const std::vector<Candidate>& candidates) {
  const EngineModel engine = SampleEngine();
  return Place(shape, &engine, candidates, kNow, 0.5);
}

TEST_CASE("a short prompt avoids a target that reads a long one") {
  Candidate busy = Idle("busy");
  busy.work = {ReadingLong(absl::ZeroDuration())};
  CHECK(TargetOf(PlaceAt(ShortShape(), {busy, Idle("free")})) == "free");
}

TEST_CASE("short prompts gather, so that other targets stay free") {
  Candidate writing = Idle("writing");
  writing.work.assign(6, Writing(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(ShortShape(), {Idle("free"), writing})) == "writing");
}

TEST_CASE("a target whose slots are taken gets no more short prompts") {
  Candidate full = Idle("full");
  full.work.assign(16, Writing(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(ShortShape(), {full, Idle("free")})) == "free");
}

TEST_CASE("a long prompt avoids the streams whose pauses it would break") {
  Candidate writing = Idle("writing");
  writing.work.assign(6, Writing(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(LongShape(), {writing, Idle("free")})) == "free");
  // If every target is decoding, the one with the fewest such streams.
  Candidate fewer = Idle("fewer");
  fewer.work.assign(2, Writing(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(LongShape(), {writing, fewer})) == "fewer");
}

TEST_CASE("a prompt that one target can't read in time gets helpers") {
  const auto alone = PlaceAt(LongShape(), {Idle("a")});
  REQUIRE(alone.placed);
  CHECK(alone.placed->helpers.empty());
  CHECK(alone.placed->first_event > absl::Seconds(3));
  const auto helped = PlaceAt(LongShape(), {Idle("a"), Idle("b"), Idle("c")});
  REQUIRE(helped.placed);
  CHECK_FALSE(helped.placed->helpers.empty());
  CHECK(helped.placed->first_event < absl::Seconds(3));
  for (const TargetId& helper : helped.placed->helpers) {
    CHECK(helper != helped.placed->target);
  }
}

TEST_CASE("a prompt over one memory is held by several targets") {
  Shape shape = LongShape();
  shape.prompt = Tokens(500000);
  std::vector<Candidate> candidates;
  for (int i = 0; i < 23; ++i) {
    candidates.push_back(Idle(std::to_string(i)));
  }
  const auto result = PlaceAt(shape, candidates);
  REQUIRE(result.placed);
  const auto parts = static_cast<int64_t>(result.placed->helpers.size()) + 1;
  CHECK(result.placed->reserve_each.value() * parts >= shape.prompt.value());
  CHECK(result.placed->reserve_each < Tokens(200000));
  CHECK(parts <= 12);
}

TEST_CASE("a prompt over all memory there is to set aside is refused") {
  Shape shape = LongShape();
  shape.prompt = Tokens(900000);
  CHECK_FALSE(PlaceAt(shape, {Idle("a"), Idle("b"), Idle("c")}).placed);
  std::vector<Candidate> without;
  for (int i = 0; i < 23; ++i) {
    without.push_back(Idle(std::to_string(i)));
    without.back().no_helper = i > 0;
  }
  CHECK_FALSE(PlaceAt(shape, without).placed);
}

TEST_CASE("a long prompt leaves targets free of long reading") {
  Shape shape = LongShape();
  shape.prompt = Tokens(600000);
  std::vector<Candidate> candidates;
  for (int i = 0; i < 10; ++i) {
    candidates.push_back(Idle(std::to_string(i)));
  }
  const auto result = PlaceAt(shape, candidates);
  REQUIRE(result.placed);
  CHECK(result.placed->helpers.size() + 1 <= 5);
}

TEST_CASE("helpers are not taken from short streams for little") {
  Candidate writing = Idle("writing");
  writing.work.assign(15, Writing(absl::Milliseconds(250)));
  const auto result = PlaceAt(LongShape(), {Idle("free"), writing});
  REQUIRE(result.placed);
  CHECK(result.placed->target.text() == "free");
  CHECK(result.placed->helpers.empty());
}

TEST_CASE("what can't be served before its caller leaves is refused at once") {
  Candidate busy = Idle("busy");
  busy.work = {ReadingLong(absl::ZeroDuration())};
  const auto result = PlaceAt(ShortShape(), {busy});
  CHECK_FALSE(result.placed);
  // Capacity is free when the prefill ends, less the time that the caller
  // waits.
  CHECK(result.retry_after > absl::Seconds(1));
  CHECK(result.retry_after < absl::Seconds(4));
}

TEST_CASE("a target that fails, is cold or has no sends left is passed over") {
  Candidate failing = Idle("failing");
  failing.failing = 0.5;
  CHECK(TargetOf(PlaceAt(ShortShape(), {failing, Idle("sound")})) == "sound");
  Candidate cold = Idle("cold");
  cold.cold = true;
  CHECK(TargetOf(PlaceAt(ShortShape(), {cold, Idle("warm")})) == "warm");
  Candidate spent = Idle("spent");
  spent.rate_used_up = true;
  CHECK(TargetOf(PlaceAt(ShortShape(), {spent, Idle("other")})) == "other");
  CHECK(TargetOf(PlaceAt(ShortShape(), {spent})) == "none");
}

TEST_CASE("a plain service's least occupied target is chosen") {
  Candidate busy = Idle("busy");
  busy.work.assign(3, WorkItem());
  Candidate less = Idle("less");
  less.work.assign(1, WorkItem());
  Shape shape;
  shape.aim = absl::Milliseconds(150);
  shape.left = absl::Seconds(1);
  CHECK(TargetOf(Place(shape, nullptr, {busy, less}, kNow, 0.1)) == "less");
}

TEST_CASE("prompts that wait are read in the order in which they came") {
  const std::vector<WorkItem> work = {ReadingLong(absl::Seconds(1)),
                                      ReadingLong(absl::ZeroDuration())};
  const absl::Duration one = PrefillTime(SampleEngine(), kLongPrompt);
  const absl::Duration backlog = PrefillBacklog(work, 1, kNow);
  CHECK(absl::ToDoubleSeconds(backlog) ==
        Approx(absl::ToDoubleSeconds(2 * one) - 1));
  CHECK(PrefillBacklog({}, 1, kNow) == absl::ZeroDuration());
}

TEST_CASE("a target whose first events are overdue is passed over") {
  Candidate silent = Idle("silent");
  WorkItem waiting = Writing(absl::Milliseconds(250));
  waiting.reading = true;
  waiting.read_time = absl::Milliseconds(34);
  waiting.expected = absl::Milliseconds(60);
  waiting.since = kNow - absl::Seconds(1);
  silent.work = {waiting};
  CHECK(OverdueBy(silent.work, kNow) == absl::Milliseconds(610));
  CHECK(TargetOf(PlaceAt(ShortShape(), {silent, Idle("sound")})) == "sound");
  // A request that has had its first event, or was just sent, isn't late.
  waiting.reading = false;
  CHECK(OverdueBy({waiting}, kNow) == absl::ZeroDuration());
  waiting.reading = true;
  waiting.since = kNow - absl::Milliseconds(200);
  CHECK(OverdueBy({waiting}, kNow) == absl::ZeroDuration());
}

TEST_CASE("a request looks elsewhere after half of its caller's patience") {
  CHECK(OverdueLimit(absl::Milliseconds(60), absl::Milliseconds(300),
                     absl::Milliseconds(250)) == absl::Seconds(1));
  CHECK(OverdueLimit(absl::Seconds(4), absl::Seconds(3), absl::Seconds(1)) ==
        absl::Milliseconds(8300));
}

TEST_CASE("modes of placement are named") {
  CHECK(ParsePlacementMode("predicted") == PlacementMode::kPredicted);
  CHECK(ParsePlacementMode("least-connections") ==
        PlacementMode::kLeastConnections);
  CHECK(ParsePlacementMode("random") == PlacementMode::kRandom);
  CHECK_FALSE(ParsePlacementMode("best"));
}

TEST_CASE("equal targets share what is placed") {
  std::vector<Candidate> candidates;
  for (int i = 0; i < 5; ++i) {
    candidates.push_back(Idle(std::string(1, static_cast<char>('a' + i))));
  }
  const EngineModel engine = SampleEngine();
  std::map<std::string, int> chosen;
  for (int i = 0; i < 100; ++i) {
    ++chosen[TargetOf(
        Place(ShortShape(), &engine, candidates, kNow, i / 100.0))];
  }
  CHECK(chosen.size() == 5);
}

}  // namespace
}  // namespace umbertrail::dispatch
