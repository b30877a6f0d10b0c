#include "umbertrail/dispatch/memory_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "umbertrail/dispatch/placement.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr Tokens kMemory{200000};

EngineModel Engine() {
  EngineModel engine;
  engine.slots = 12;
  engine.kv_capacity = kMemory;
  engine.step_ms = 1;
  engine.prefill_tokens_per_s = 200000;
  engine.attention_ms_per_million_pairs = 0.1;
  engine.chunk_tokens = 2048;
  engine.steps_per_pass = 50;
  engine.mean_output_tokens = 1000;
  return engine;
}

WorkItem Stream(int64_t prompt, absl::Duration since_first_event) {
  WorkItem item;
  item.sent_at = kNow - since_first_event - absl::Seconds(1);
  item.first_event_at = kNow - since_first_event;
  item.prompt = Tokens(prompt);
  return item;
}

// A helper whose prefill has ended.
WorkItem Holder(int64_t part, int64_t reserved) {
  WorkItem item = Stream(part, absl::ZeroDuration());
  item.is_helper = true;
  item.memory = Tokens(reserved);
  return item;
}

PlanTarget Free(int64_t tokens) {
  PlanTarget target;
  target.reservable = Tokens(tokens);
  target.may_help = true;
  return target;
}

// A plan without lateness, for which a further target costs 1.
PlanRequest RequestOf(int64_t prompt) {
  PlanRequest request;
  request.prompt = Tokens(prompt);
  request.prefill = absl::Seconds(8);
  request.max_long_prefills = 100;
  request.helper_cost = 1;
  request.lateness_cost = [](absl::Duration) { return 0.0; };
  return request;
}

int64_t SumOfTickets(const MemoryPlan& plan) {
  int64_t sum = 0;
  for (const PlanPart& part : plan.helpers) {
    sum += part.ticket.value();
  }
  return sum;
}

MemoryPlan Planned(const PlanRequest& request,
                   const std::vector<PlanTarget>& targets) {
  const MemoryPlanResult result = PlanMemory(request, targets);
  REQUIRE(std::holds_alternative<MemoryPlan>(result));
  return std::get<MemoryPlan>(result);
}

TEST_CASE("memory in use is of prompts and of what helpers hold") {
  WorkItem first_of_two = Stream(100000, absl::ZeroDuration());
  first_of_two.memory = Tokens(150000);
  CHECK(MemoryInUse({Stream(5000, absl::ZeroDuration()), Holder(40000, 60000),
                     Holder(40000, 0), first_of_two}) == Tokens(215000));
  CHECK(ReservableMemory(Engine(), {Holder(40000, 60000)}) < Tokens(140000));
  CHECK(ReservableMemory(Engine(), {first_of_two, first_of_two}) == Tokens(0));
}

TEST_CASE("a prompt waits until the memory it needs is released") {
  const EngineModel engine = Engine();
  const WorkItem early = Stream(90000, absl::Milliseconds(600));
  const WorkItem late = Stream(90000, absl::ZeroDuration());
  CHECK(MemoryWait(engine, {early, late}, Tokens(20000), kNow) ==
        absl::ZeroDuration());
  // 20 events of 50 ms and more each.
  const absl::Duration one =
      MemoryWait(engine, {early, late}, Tokens(50000), kNow);
  CHECK(one >= absl::Milliseconds(400));
  CHECK(one < absl::Milliseconds(800));
  CHECK(MemoryWait(engine, {early, late}, Tokens(180000), kNow) > one);
  CHECK(MemoryWait(engine, {}, Tokens(200001), kNow) ==
        absl::InfiniteDuration());
}

TEST_CASE("as few targets as possible hold the prompt") {
  const MemoryPlan plan =
      Planned(RequestOf(300000), {Free(150000), Free(150000), Free(190000)});
  // Either pair suffices.
  CHECK(plan.helpers.size() == 1);
  CHECK(SumOfTickets(plan) < 190000);
  CHECK(300000 - SumOfTickets(plan) <= 150000);
}

TEST_CASE("tickets are no larger than what is free at each target") {
  const std::vector<PlanTarget> targets = {Free(150000), Free(20000),
                                           Free(100000), Free(60000)};
  const MemoryPlan plan = Planned(RequestOf(320000), targets);
  CHECK(plan.helpers.size() == 3);
  for (const PlanPart& part : plan.helpers) {
    CHECK(part.ticket <= targets[part.target].reservable);
  }
  CHECK(Tokens(320000 - SumOfTickets(plan)) <= targets[plan.first].reservable);
}

TEST_CASE(
    "helpers beyond the memory hold none, and only where they save time") {
  PlanRequest request = RequestOf(250000);
  request.lateness_cost = [](absl::Duration time_to_first_event) {
    return time_to_first_event > absl::Seconds(2) ? 20.0 : 0.0;
  };
  const std::vector<PlanTarget> targets(8, Free(150000));
  const MemoryPlan plan = Planned(request, targets);
  // Four parts of two seconds each.
  CHECK(plan.helpers.size() == 3);
  CHECK(std::count_if(
            plan.helpers.begin(), plan.helpers.end(),
            [](const PlanPart& part) { return part.ticket > Tokens(0); }) == 1);
}

// A reservation at one target without one at the others would hold memory for
// nobody.
TEST_CASE("nothing is planned if the free memory doesn't suffice") {
  const auto result =
      PlanMemory(RequestOf(300000), {Free(90000), Free(90000), Free(90000)});
  REQUIRE(std::holds_alternative<PlanBound>(result));
  CHECK(std::get<PlanBound>(result) == PlanBound::kMemory);
}

TEST_CASE("a plan leaves targets free of long prefills") {
  PlanRequest request = RequestOf(300000);
  request.max_long_prefills = 2;
  std::vector<PlanTarget> targets(4, Free(160000));
  CHECK(Planned(request, targets).helpers.size() == 1);
  targets[3].has_long_prefill = true;
  const auto result = PlanMemory(request, targets);
  REQUIRE(std::holds_alternative<PlanBound>(result));
  CHECK(std::get<PlanBound>(result) == PlanBound::kLongPrefills);
}

// The cost of lateness is about the same for all late plans, so that the one
// with the fewest targets would be chosen although its caller leaves before it
// ends.
TEST_CASE("a plan's first event comes before the caller leaves") {
  PlanRequest request = RequestOf(300000);
  request.max_time_to_first_event = absl::Seconds(2);
  CHECK(Planned(request, std::vector<PlanTarget>(8, Free(160000)))
            .time_to_first_event <= absl::Seconds(2));
  const auto result =
      PlanMemory(request, std::vector<PlanTarget>(3, Free(160000)));
  REQUIRE(std::holds_alternative<PlanBound>(result));
  CHECK(std::get<PlanBound>(result) == PlanBound::kTime);
}

TEST_CASE("a target that may not help may still receive the request") {
  std::vector<PlanTarget> targets(3, Free(160000));
  targets[0].may_help = false;
  CHECK(Planned(RequestOf(300000), targets).first == 0);
  targets[0].may_help = true;
  targets[1].may_help = false;
  CHECK(Planned(RequestOf(300000), targets).helpers.front().target == 2);
}

TEST_CASE("more targets are kept free while short streams are many") {
  CHECK(FractionFreeOfLongPrefills(0, 20, 12) == Approx(0.5));
  const double busy = FractionFreeOfLongPrefills(84, 20, 12);
  CHECK(busy > 0.6);
  CHECK(FractionFreeOfLongPrefills(240, 20, 12) >= busy);
  CHECK(FractionFreeOfLongPrefills(240, 20, 12) < 1);
}

RequestProfile LongRequest(int64_t prompt) {
  RequestProfile request;
  request.prompt = Tokens(prompt);
  request.aim = absl::Seconds(6);
  request.max_event_gap = absl::Seconds(1);
  request.time_remaining = absl::Seconds(15);
  return request;
}

std::vector<Candidate> IdleTargets(int count) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < count; ++i) {
    Candidate candidate;
    candidate.id = TargetId(std::to_string(i));
    candidate.slots = 12;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

TEST_CASE("a prompt of nearly an engine's memory goes to one that is free") {
  const EngineModel engine = Engine();
  std::vector<Candidate> candidates = IdleTargets(4);
  for (int i = 0; i < 3; ++i) {
    candidates[static_cast<size_t>(i)].work = {Holder(40000, 60000)};
  }
  const auto result =
      Place(LongRequest(190000), &engine, candidates, kNow, 0.5);
  REQUIRE(result.decision);
  CHECK(result.decision->target.text() == "3");
  CHECK(result.decision->reserve_per_helper == Tokens(0));
}

// Without this the helper's memory would look free once its prefill has ended,
// although it is reserved until the response ends.
TEST_CASE("each target's load states the memory that it holds") {
  const EngineModel engine = Engine();
  const RequestProfile request = LongRequest(350000);
  const auto result = Place(request, &engine, IdleTargets(6), kNow, 0.5);
  REQUIRE(result.decision);
  int64_t memory = 0;
  for (const auto& [target, item] :
       WorkItemsFor(request, &engine, *result.decision, kNow)) {
    REQUIRE(item.memory);
    CHECK(*item.memory <= kMemory);
    memory += item.memory->value();
  }
  CHECK(memory == 350000);
}

TEST_CASE("a short prompt avoids a target whose memory is reserved") {
  const EngineModel engine = Engine();
  RequestProfile request = LongRequest(5000);
  request.aim = absl::Milliseconds(250);
  std::vector<Candidate> candidates = IdleTargets(2);
  candidates[0].work = {Holder(90000, 198000)};
  // It decodes for others, which packing prefers.
  candidates[1].work = {Stream(5000, absl::ZeroDuration())};
  for (const double tie : {0.0, 0.3, 0.6, 0.9}) {
    const auto result = Place(request, &engine, candidates, kNow, tie);
    REQUIRE(result.decision);
    CHECK(result.decision->target.text() == "1");
  }
}

TEST_CASE("with plans switched off helpers reserve equal parts") {
  const EngineModel engine = Engine();
  Features features;
  features.memory_plan = false;
  const auto result =
      Place(LongRequest(350000), &engine, IdleTargets(20), kNow, 0.5, features);
  REQUIRE(result.decision);
  CHECK(result.decision->tickets.empty());
  CHECK(result.decision->helpers.size() == 4);
  CHECK(TicketOf(*result.decision, 2) == Tokens(70001));
}

}  // namespace
}  // namespace umbertrail::dispatch
