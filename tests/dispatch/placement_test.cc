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

RequestProfile ShortRequest() {
  RequestProfile request;
  request.prompt = kShortPrompt;
  request.aim = absl::Milliseconds(300);
  request.max_event_gap = absl::Milliseconds(250);
  request.time_remaining = absl::Seconds(10);
  return request;
}

RequestProfile LongRequest() {
  RequestProfile request;
  request.prompt = kLongPrompt;
  request.aim = absl::Seconds(3);
  request.max_event_gap = absl::Seconds(1);
  request.time_remaining = absl::Seconds(15);
  return request;
}

WorkItem Decoding(absl::Duration max_event_gap) {
  WorkItem item;
  item.sent_at = kNow - absl::Seconds(1);
  item.max_event_gap = max_event_gap;
  item.value = RequestValue(kShortPrompt);
  return item;
}

WorkItem PrefillingLong(absl::Duration for_time) {
  WorkItem item;
  item.sent_at = kNow - for_time;
  item.prefill_time = PrefillTime(SampleEngine(), kLongPrompt);
  item.prefilling = true;
  item.value = RequestValue(kLongPrompt);
  return item;
}

Candidate Idle(const std::string& id) {
  Candidate candidate;
  candidate.id = TargetId(id);
  candidate.slots = 16;
  candidate.same_data_centre = true;
  return candidate;
}

std::string TargetOf(const PlacementResult& result) {
  return result.decision ? result.decision->target.text() : "none";
}

PlacementResult PlaceAt(const RequestProfile& request,
                        const std::vector<Candidate>& candidates) {
  const EngineModel engine = SampleEngine();
  return Place(request, &engine, candidates, kNow, 0.5);
}

TEST_CASE("a short prompt avoids a target that prefills a long one") {
  Candidate busy = Idle("busy");
  busy.work = {PrefillingLong(absl::ZeroDuration())};
  CHECK(TargetOf(PlaceAt(ShortRequest(), {busy, Idle("free")})) == "free");
}

TEST_CASE("short prompts are packed, so that other targets stay free") {
  Candidate writing = Idle("writing");
  writing.work.assign(6, Decoding(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(ShortRequest(), {Idle("free"), writing})) ==
        "writing");
}

TEST_CASE("a target without free slots gets no more short prompts") {
  Candidate full = Idle("full");
  full.work.assign(16, Decoding(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(ShortRequest(), {full, Idle("free")})) == "free");
}

TEST_CASE("a long prompt avoids streams whose pauses it would exceed") {
  Candidate writing = Idle("writing");
  writing.work.assign(6, Decoding(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(LongRequest(), {writing, Idle("free")})) == "free");
  // If every target is decoding, the one with the fewest such streams.
  Candidate fewer = Idle("fewer");
  fewer.work.assign(2, Decoding(absl::Milliseconds(250)));
  CHECK(TargetOf(PlaceAt(LongRequest(), {writing, fewer})) == "fewer");
}

// Guards against a long prompt that pauses urgent streams where it could pause
// others.
TEST_CASE("a prompt pauses less urgent streams rather than more urgent ones") {
  Candidate urgent = Idle("urgent");
  urgent.work.assign(3, Decoding(absl::Milliseconds(250)));
  Candidate patient = Idle("patient");
  patient.work = urgent.work;
  for (WorkItem& item : patient.work) {
    item.urgency = 4;
  }
  RequestProfile request = LongRequest();
  request.urgency = 2;
  const auto result = PlaceAt(request, {urgent, patient});
  CHECK(TargetOf(result) == "patient");
  const auto forced = PlaceAt(request, {urgent});
  REQUIRE(forced.decision);
  CHECK(forced.decision->cost_to_more_urgent > 0);
  request.urgency = 0;
  CHECK(PlaceAt(request, {urgent}).decision->cost_to_more_urgent == 0);
}

TEST_CASE("a prompt that one target can't prefill in time gets helpers") {
  const auto alone = PlaceAt(LongRequest(), {Idle("a")});
  REQUIRE(alone.decision);
  CHECK(alone.decision->helpers.empty());
  CHECK(alone.decision->time_to_first_event > absl::Seconds(3));
  const auto helped = PlaceAt(LongRequest(), {Idle("a"), Idle("b"), Idle("c")});
  REQUIRE(helped.decision);
  CHECK_FALSE(helped.decision->helpers.empty());
  CHECK(helped.decision->time_to_first_event < absl::Seconds(3));
  for (const TargetId& helper : helped.decision->helpers) {
    CHECK(helper != helped.decision->target);
  }
}

TEST_CASE("a prompt larger than one target's memory is split in equal parts") {
  RequestProfile request = LongRequest();
  request.prompt = Tokens(500000);
  std::vector<Candidate> candidates;
  for (int i = 0; i < 23; ++i) {
    candidates.push_back(Idle(std::to_string(i)));
  }
  // With plans the parts follow what is free at each target instead.
  Features features;
  features.memory_plan = false;
  const EngineModel engine = SampleEngine();
  const auto result = Place(request, &engine, candidates, kNow, 0.5, features);
  REQUIRE(result.decision);
  const auto parts = static_cast<int64_t>(result.decision->helpers.size()) + 1;
  CHECK(result.decision->reserve_per_helper.value() * parts >=
        request.prompt.value());
  CHECK(result.decision->reserve_per_helper < Tokens(200000));
  CHECK(parts <= 12);
}

TEST_CASE("a planned prompt's parts fit into the targets' memory") {
  RequestProfile request = LongRequest();
  request.prompt = Tokens(500000);
  std::vector<Candidate> candidates;
  for (int i = 0; i < 23; ++i) {
    candidates.push_back(Idle(std::to_string(i)));
    WorkItem held;
    held.is_helper = true;
    held.memory = Tokens(int64_t{10000} * i);
    candidates.back().work = {held};
  }
  const EngineModel engine = SampleEngine();
  const auto result = PlaceAt(request, candidates);
  REQUIRE(result.decision);
  CHECK(result.decision->helpers.size() + 1 <= 12);
  for (const auto& [target, item] :
       WorkItemsFor(request, &engine, *result.decision, kNow)) {
    const int64_t held = 10000 * std::stoll(target.text());
    REQUIRE(item.memory);
    CHECK(item.memory->value() + held <= engine.kv_capacity.value());
    CHECK(*item.memory <= result.decision->reserve_per_helper);
  }
}

TEST_CASE("a prompt larger than all reservable memory is refused") {
  RequestProfile request = LongRequest();
  request.prompt = Tokens(900000);
  CHECK_FALSE(PlaceAt(request, {Idle("a"), Idle("b"), Idle("c")}).decision);
  std::vector<Candidate> without;
  for (int i = 0; i < 23; ++i) {
    without.push_back(Idle(std::to_string(i)));
    without.back().excluded_as_helper = i > 0;
  }
  CHECK_FALSE(PlaceAt(request, without).decision);
}

TEST_CASE("a long prompt leaves targets free of long prefills") {
  RequestProfile request = LongRequest();
  request.prompt = Tokens(600000);
  std::vector<Candidate> candidates;
  for (int i = 0; i < 10; ++i) {
    candidates.push_back(Idle(std::to_string(i)));
  }
  const auto result = PlaceAt(request, candidates);
  REQUIRE(result.decision);
  CHECK(result.decision->helpers.size() + 1 <= 5);
}

TEST_CASE("helpers aren't used if they cost more than they gain") {
  Candidate writing = Idle("writing");
  writing.work.assign(15, Decoding(absl::Milliseconds(250)));
  const auto result = PlaceAt(LongRequest(), {Idle("free"), writing});
  REQUIRE(result.decision);
  CHECK(result.decision->target.text() == "free");
  CHECK(result.decision->helpers.empty());
}

TEST_CASE("a request that can't be served in time is refused at once") {
  Candidate busy = Idle("busy");
  busy.work = {PrefillingLong(absl::ZeroDuration())};
  const auto result = PlaceAt(ShortRequest(), {busy});
  CHECK_FALSE(result.decision);
  // Capacity is free when the prefill ends, less the time that the caller
  // waits.
  CHECK(result.retry_after > absl::Seconds(1));
  CHECK(result.retry_after < absl::Seconds(4));
}

TEST_CASE("failing, cold and rate-limited targets are avoided") {
  Candidate failing = Idle("failing");
  failing.failure_rate = 0.5;
  CHECK(TargetOf(PlaceAt(ShortRequest(), {failing, Idle("sound")})) == "sound");
  Candidate cold = Idle("cold");
  cold.cold = true;
  CHECK(TargetOf(PlaceAt(ShortRequest(), {cold, Idle("warm")})) == "warm");
  Candidate spent = Idle("spent");
  spent.rate_wait = absl::Seconds(1);
  CHECK(TargetOf(PlaceAt(ShortRequest(), {spent, Idle("other")})) == "other");
  CHECK(TargetOf(PlaceAt(ShortRequest(), {spent})) == "none");
}

TEST_CASE("a plain service's least occupied target is chosen") {
  Candidate busy = Idle("busy");
  busy.work.assign(3, WorkItem());
  Candidate less = Idle("less");
  less.work.assign(1, WorkItem());
  RequestProfile request;
  request.aim = absl::Milliseconds(150);
  request.time_remaining = absl::Seconds(1);
  CHECK(TargetOf(Place(request, nullptr, {busy, less}, kNow, 0.1)) == "less");
}

TEST_CASE("queued prompts are prefilled in FIFO order") {
  const std::vector<WorkItem> work = {PrefillingLong(absl::Seconds(1)),
                                      PrefillingLong(absl::ZeroDuration())};
  const absl::Duration one = PrefillTime(SampleEngine(), kLongPrompt);
  const absl::Duration backlog = PrefillBacklog(work, 1, kNow);
  CHECK(absl::ToDoubleSeconds(backlog) ==
        Approx(absl::ToDoubleSeconds(2 * one) - 1));
  CHECK(PrefillBacklog({}, 1, kNow) == absl::ZeroDuration());
}

TEST_CASE("a target with overdue first events is avoided") {
  Candidate silent = Idle("silent");
  WorkItem waiting = Decoding(absl::Milliseconds(250));
  waiting.prefilling = true;
  waiting.prefill_time = absl::Milliseconds(34);
  waiting.time_to_first_event = absl::Milliseconds(60);
  waiting.sent_at = kNow - absl::Seconds(1);
  silent.work = {waiting};
  CHECK(OverdueBy(silent.work, kNow) == absl::Milliseconds(610));
  CHECK(TargetOf(PlaceAt(ShortRequest(), {silent, Idle("sound")})) == "sound");
  // A request that has had its first event, or was just sent, isn't late.
  waiting.prefilling = false;
  CHECK(OverdueBy({waiting}, kNow) == absl::ZeroDuration());
  waiting.prefilling = true;
  waiting.sent_at = kNow - absl::Milliseconds(200);
  CHECK(OverdueBy({waiting}, kNow) == absl::ZeroDuration());
}

TEST_CASE("the reroute timeout is at least half of the patience") {
  CHECK(RerouteTimeout(absl::Milliseconds(60), absl::Milliseconds(300),
                       absl::Milliseconds(250)) == absl::Seconds(1));
  CHECK(RerouteTimeout(absl::Seconds(4), absl::Seconds(3), absl::Seconds(1)) ==
        absl::Milliseconds(8300));
}

TEST_CASE("placement modes are parsed by name") {
  CHECK(ParsePlacementMode("predicted") == PlacementMode::kPredicted);
  CHECK(ParsePlacementMode("least-connections") ==
        PlacementMode::kLeastConnections);
  CHECK(ParsePlacementMode("random") == PlacementMode::kRandom);
  CHECK_FALSE(ParsePlacementMode("best"));
}

TEST_CASE("placements are spread among equal targets") {
  std::vector<Candidate> candidates;
  for (int i = 0; i < 5; ++i) {
    candidates.push_back(Idle(std::string(1, static_cast<char>('a' + i))));
  }
  const EngineModel engine = SampleEngine();
  std::map<std::string, int> chosen;
  for (int i = 0; i < 100; ++i) {
    ++chosen[TargetOf(
        Place(ShortRequest(), &engine, candidates, kNow, i / 100.0))];
  }
  CHECK(chosen.size() == 5);
}

}  // namespace
}  // namespace umbertrail::dispatch
