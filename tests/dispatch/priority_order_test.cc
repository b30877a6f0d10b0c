#include "umbertrail/dispatch/priority_order.h"

#include <catch2/catch.hpp>
#include <string>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr int kSlots = 16;

// Takes a few ms of prefill.
RequestProfile ShortRequest(int urgency = 0) {
  RequestProfile request;
  request.prompt = Tokens(5000);
  request.aim = absl::Milliseconds(300);
  request.max_event_gap = absl::Milliseconds(250);
  request.time_remaining = absl::Seconds(10);
  request.urgency = urgency;
  request.account = AccountHash(1);
  return request;
}

// Takes about half a second of prefill; no helpers.
RequestProfile MiddleRequest(int urgency) {
  RequestProfile request = ShortRequest(urgency);
  request.prompt = Tokens(45000);
  request.aim = absl::Milliseconds(1500);
  request.max_event_gap = absl::Milliseconds(600);
  request.account = AccountHash(2);
  return request;
}

WorkItem Stream(int urgency = 0) {
  WorkItem item;
  item.sent_at = kNow - absl::Seconds(1);
  item.max_event_gap = absl::Milliseconds(250);
  item.urgency = urgency;
  item.account = AccountHash(1);
  return item;
}

WorkItem Prefill(absl::Duration prefill_time, AccountHash account) {
  WorkItem item = Stream();
  item.sent_at = kNow;
  item.prefill_time = prefill_time;
  item.prefilling = true;
  item.max_event_gap = absl::InfiniteDuration();
  item.account = account;
  return item;
}

Candidate Engine(const std::string& id, std::vector<WorkItem> work) {
  Candidate candidate;
  candidate.id = TargetId(id);
  candidate.slots = kSlots;
  candidate.same_data_centre = true;
  candidate.work = std::move(work);
  return candidate;
}

OrderedPlacement PlaceAt(PriorityOrder* order,
                         const RequestProfile& request,
                         const std::vector<Candidate>& candidates,
                         absl::Time now = kNow) {
  return order->PlaceInOrder(request, SampleEngine(), candidates, now, 0.5);
}

const std::vector<Candidate>& Backlogged() {
  static const std::vector<Candidate> engines = {
      Engine("a", {Prefill(absl::Seconds(1), AccountHash(9))})};
  return engines;
}

// Guards against queues in which every request becomes late: those that are
// late already are served instead of those that could be on time.
TEST_CASE("a request that the queue makes late is refused with a time") {
  PriorityOrder order({});
  const auto placed = PlaceAt(&order, ShortRequest(), Backlogged());
  CHECK(placed.reason == YieldReason::kLate);
  CHECK_FALSE(placed.result.decision);
  CHECK(placed.ask_again == absl::ZeroDuration());
  CHECK(placed.result.retry_after > absl::Milliseconds(700));
  CHECK(placed.result.retry_after < absl::Seconds(1));
}

TEST_CASE("without the waiting line, late requests are placed as they come") {
  PriorityOrder order({true, false});
  const auto placed = PlaceAt(&order, ShortRequest(), Backlogged());
  CHECK(placed.reason == YieldReason::kNone);
  CHECK(placed.result.decision);
}

// Guards against refusals that no other client gains from.
TEST_CASE("who is late on any engine, or has a free one, is placed") {
  PriorityOrder order({});
  RequestProfile slow = MiddleRequest(0);
  slow.aim = absl::Milliseconds(200);
  CHECK(PlaceAt(&order, slow, Backlogged()).result.decision);
  RequestProfile waited = ShortRequest();
  waited.elapsed = absl::Milliseconds(290);
  CHECK(PlaceAt(&order, waited, {Engine("a", {})}).result.decision);
}

// Guards against a stream that is cut, or an attempt that is wasted, because
// its continuation gives way to new requests.
TEST_CASE("a request that was sent before doesn't give way") {
  PriorityOrder order({});
  RequestProfile retry = ShortRequest();
  retry.is_retry = true;
  CHECK(PlaceAt(&order, retry, Backlogged()).result.decision);
}

// Guards against long prompts that pause urgent streams although they have time
// to wait for a better moment.
TEST_CASE("a less urgent prompt waits instead of pausing urgent streams") {
  PriorityOrder order({});
  const std::vector<Candidate> engines = {Engine("a", {Stream()})};
  RequestProfile request = MiddleRequest(3);
  auto placed = PlaceAt(&order, request, engines);
  CHECK(placed.reason == YieldReason::kMoreUrgent);
  CHECK_FALSE(placed.result.decision);
  CHECK(placed.ask_again > absl::ZeroDuration());
  CHECK(order.waiting() == 1);
  // The streams have ended when it asks again.
  request.elapsed = placed.ask_again;
  placed = PlaceAt(&order, request, {Engine("a", {})}, kNow + placed.ask_again);
  CHECK(placed.waited);
  CHECK(placed.result.decision);
  CHECK(order.waiting() == 0);
}

TEST_CASE("who would be late by waiting longer pauses urgent streams") {
  PriorityOrder order({});
  RequestProfile request = MiddleRequest(3);
  absl::Time now = kNow;
  OrderedPlacement placed;
  int asked = 0;
  do {
    Candidate engine = Engine("a", {Stream()});
    placed = PlaceAt(&order, request, {engine}, now);
    now += placed.ask_again;
    request.elapsed += placed.ask_again;
    REQUIRE(++asked < 100);
  } while (placed.ask_again > absl::ZeroDuration());
  REQUIRE(placed.result.decision);
  CHECK(request.elapsed + placed.result.decision->time_to_first_event <=
        request.aim);
}

TEST_CASE("requests of one urgency don't wait for each other's streams") {
  PriorityOrder order({});
  const std::vector<Candidate> engines = {Engine("a", {Stream(3)})};
  CHECK(PlaceAt(&order, MiddleRequest(3), engines).result.decision);
  CHECK(PlaceAt(&order, MiddleRequest(1), engines).result.decision);
}

// Guards against later requests that take what a waiting one waits for, and
// against a place that is kept for a client that has left.
TEST_CASE("a waiting request's room is kept from those that rank after it") {
  PriorityOrder order({false, true});
  const std::vector<Candidate> engines = {Engine("a", {Stream()})};
  const auto waiting = PlaceAt(&order, MiddleRequest(3), engines);
  REQUIRE(waiting.ask_again > absl::ZeroDuration());
  const auto after = PlaceAt(&order, ShortRequest(4), engines);
  CHECK(after.ahead == 1);
  CHECK_FALSE(after.result.decision);
  const auto urgent = PlaceAt(&order, ShortRequest(0), engines);
  CHECK(urgent.ahead == 0);
  CHECK(urgent.result.decision);
  const absl::Time lapsed = kNow + waiting.ask_again + absl::Milliseconds(500);
  CHECK(PlaceAt(&order, ShortRequest(4), engines, lapsed).result.decision);
  CHECK(order.waiting() == 0);
}

// Guards against an account whose flood takes the room of the others.
TEST_CASE("an account above its share gives way while no engine is free") {
  constexpr AccountHash kFlood{9};
  const std::vector<Candidate> engines = {
      Engine("a", {Prefill(absl::Milliseconds(100), kFlood)})};
  RequestProfile flood = ShortRequest();
  flood.account = kFlood;
  RequestProfile quiet = ShortRequest();
  // It is late only because another account uses the engine.
  RequestProfile late = ShortRequest();
  late.elapsed = absl::Milliseconds(200);
  late.account = AccountHash(8);
  for (const bool fair_shares : {false, true}) {
    PriorityOrder order({fair_shares, true});
    for (int i = 0; i < 20; ++i) {
      PlaceAt(&order, quiet, engines, kNow - absl::Milliseconds(100 * i));
    }
    PlaceAt(&order, late, engines);
    const auto placed = PlaceAt(&order, flood, engines);
    CHECK(placed.result.decision.has_value() == !fair_shares);
    CHECK((placed.reason == YieldReason::kShare) == fair_shares);
    CHECK(PlaceAt(&order, quiet, engines).result.decision);
    // Nobody else wants a free engine now.
    CHECK(PlaceAt(&order, flood, {Engine("b", {})}).result.decision);
  }
}

// Guards against a backup home that knows nothing of the accounts' usage when
// it takes over.
TEST_CASE("usage is known to a home that wasn't asked before") {
  constexpr AccountHash kFlood{9};
  const std::vector<Candidate> engines = {
      Engine("a", {Prefill(absl::Seconds(9), kFlood)})};
  PriorityOrder order({});
  for (int i = 10; i >= 0; --i) {
    order.SampleLoad(engines, kNow - absl::Milliseconds(400 * i));
  }
  CHECK(order.StandingOf(kFlood).usage > absl::Seconds(1));
  CHECK(order.StandingOf(AccountHash(1)).usage == absl::ZeroDuration());
}

// Guards against waiting for what can't come, and against refusals of prompts
// that have room in a moment.
TEST_CASE("a prompt waits for memory only if all engines together have it") {
  RequestProfile archive = MiddleRequest(0);
  archive.prompt = Tokens(500000);
  archive.aim = absl::Seconds(6);
  archive.max_event_gap = absl::Seconds(1);
  archive.time_remaining = absl::Seconds(20);
  std::vector<Candidate> engines;
  for (int i = 0; i < 12; ++i) {
    engines.push_back(
        Engine(std::to_string(i), {Prefill(absl::Seconds(1), AccountHash(9))}));
  }
  PriorityOrder order({});
  const auto waits = PlaceAt(&order, archive, engines);
  CHECK(waits.reason == YieldReason::kNoRoom);
  CHECK(waits.ask_again > absl::ZeroDuration());
  engines.resize(2);
  const auto refused = PlaceAt(&order, archive, engines);
  CHECK(refused.reason == YieldReason::kNoRoom);
  CHECK(refused.ask_again == absl::ZeroDuration());
  CHECK(order.waiting() == 0);
}

// Guards against requests that wait and wait because others keep coming.
TEST_CASE("no request waits for more than a third of its client's time") {
  RequestProfile archive = MiddleRequest(0);
  archive.prompt = Tokens(500000);
  archive.aim = absl::Seconds(6);
  archive.time_remaining = absl::Seconds(18);
  PriorityOrder order({});
  absl::Time now = kNow;
  OrderedPlacement placed;
  do {
    std::vector<Candidate> engines;
    for (int i = 0; i < 12; ++i) {
      engines.push_back(Engine(std::to_string(i),
                               {Prefill(absl::Seconds(1), AccountHash(9))}));
      engines.back().work.front().sent_at = now;
    }
    placed = PlaceAt(&order, archive, engines, now);
    CHECK_FALSE(placed.result.decision);
    now += placed.ask_again;
    archive.elapsed += placed.ask_again;
    REQUIRE(archive.elapsed <= absl::Seconds(6));
  } while (placed.ask_again > absl::ZeroDuration());
  CHECK(archive.elapsed > absl::Seconds(3));
}

// Guards against an order that loses requests, or keeps entries for ever, when
// one account asks through very many instances at once.
TEST_CASE("a flood of waiting requests is bounded and passes") {
  PriorityOrder order({});
  const std::vector<Candidate> engines = {Engine("a", {Stream()})};
  for (int i = 0; i < 300; ++i) {
    RequestProfile request = MiddleRequest(3);
    request.prompt = Tokens(45000 + i);
    const auto placed = PlaceAt(&order, request, engines);
    CHECK((placed.ask_again > absl::ZeroDuration() ||
           placed.result.decision.has_value() ||
           placed.result.retry_after > absl::ZeroDuration()));
  }
  CHECK(order.waiting() <= WaitingLine::kMaxLength);
  PlaceAt(&order, ShortRequest(), engines, kNow + absl::Seconds(1));
  CHECK(order.waiting() == 0);
}

}  // namespace
}  // namespace umbertrail::dispatch
