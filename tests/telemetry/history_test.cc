#include "umbertrail/telemetry/history.h"

#include <catch2/catch.hpp>

namespace umbertrail::telemetry {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(100);

RequestHistory HistoryOf(const char* id) {
  RequestHistory out;
  out.id = RequestId(id);
  out.arrived = kStart;
  return out;
}

TEST_CASE("a finished request is told with its steps and outcome") {
  HistoryStore store(8, 8);
  store.Begin(HistoryOf("a"));
  store.AddStep(RequestId("a"), kStart + absl::Seconds(1),
                AttemptSentStep{TargetId("t"), AttemptNumber(1), Tokens(0), 0});
  store.AddRelayed(RequestId("a"), kStart + absl::Seconds(2), Tokens(3));
  store.AddRelayed(RequestId("a"), kStart + absl::Seconds(3), Tokens(4));
  store.Finish(RequestId("a"), kStart + absl::Seconds(4), FinalOutcome());

  const auto found = store.Find(RequestId("a"));
  REQUIRE(found.size() == 1);
  CHECK(found[0].steps.at(0).after == absl::Seconds(1));
  CHECK(found[0].relay.parts == 2);
  CHECK(found[0].relay.tokens == Tokens(7));
  CHECK(found[0].relay.first_after == absl::Seconds(2));
  REQUIRE(found[0].outcome);
  CHECK(found[0].outcome->after == absl::Seconds(4));
}

TEST_CASE("an id sent again is told twice, oldest first") {
  HistoryStore store(8, 8);
  store.Begin(HistoryOf("a"));
  store.Finish(RequestId("a"), kStart, FinalOutcome());
  store.Begin(HistoryOf("a"));
  const auto found = store.Find(RequestId("a"));
  REQUIRE(found.size() == 2);
  CHECK(found[0].outcome);
  CHECK_FALSE(found[1].outcome);
}

TEST_CASE("a request is found by the part of its id that its caller chose") {
  HistoryStore store(8, 8);
  store.Begin(HistoryOf("a~1f"));
  store.Begin(HistoryOf("ab~2f"));
  store.Finish(RequestId("ab~2f"), kStart, FinalOutcome());
  CHECK(store.Find(RequestId("a")).size() == 1);
  CHECK(store.Find(RequestId("ab")).size() == 1);
  CHECK(store.Find(RequestId("a~1f")).size() == 1);
  CHECK(store.Find(RequestId("1f")).empty());
}

TEST_CASE("the store stays within its limits") {
  HistoryStore store(1, 2);
  store.Begin(HistoryOf("a"));
  store.Begin(HistoryOf("beyond the running limit"));
  CHECK(store.Find(RequestId("beyond the running limit")).empty());
  for (size_t i = 0; i < kStepLimit + 5; ++i) {
    store.AddStep(RequestId("a"), kStart, TurnCameStep());
  }
  CHECK(store.Find(RequestId("a")).at(0).steps.size() == kStepLimit);
  CHECK(store.Find(RequestId("a")).at(0).steps_dropped == 5);
  for (const char* it : {"a", "b", "c"}) {
    store.Begin(HistoryOf(it));
    store.Finish(RequestId(it), kStart, FinalOutcome());
  }
  CHECK(store.Find(RequestId("a")).empty());
  CHECK(store.Find(RequestId("c")).size() == 1);
}

}  // namespace
}  // namespace umbertrail::telemetry
