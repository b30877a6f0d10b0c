#include "umbertrail/dispatch/output_estimator.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
const EngineModel kEngine = SampleEngine();

OutputQuery Query(const char* route, uint64_t account = 0) {
  OutputQuery query;
  query.route = RouteHashOf(route);
  query.account = AccountHash(account);
  query.prompt = Tokens(5000);
  return query;
}

double MeanOf(const OutputEstimator& estimator,
              const OutputQuery& query,
              absl::Time now = kNow) {
  return estimator.Estimate(query, kEngine, now).mean;
}

void LearnTimes(int times,
                double events,
                const OutputQuery& query,
                OutputEstimator* estimator) {
  for (int i = 0; i < times; ++i) {
    estimator->Learn(query, kEngine, events, kNow);
  }
}

// Guards against a new instance that takes every stream for a short one.
TEST_CASE("without history the engine's mean output is expected") {
  const OutputEstimator estimator;
  const OutputEstimate estimate =
      estimator.Estimate(Query("chat"), kEngine, kNow);
  CHECK(estimate.mean == Approx(1266 / 34.0).epsilon(0.01));
  CHECK(estimate.high > estimate.mean);
}

// Guards against one estimate for all requests: routes, accounts and prompt
// lengths whose output differs tenfold are told apart.
TEST_CASE("routes, client accounts and prompt lengths are told apart") {
  OutputEstimator estimator;
  LearnTimes(30, 10, Query("chat", 1), &estimator);
  LearnTimes(30, 10, Query("chat", 2), &estimator);
  LearnTimes(30, 100, Query("chat", 3), &estimator);
  LearnTimes(30, 100, Query("batch", 1), &estimator);
  OutputQuery long_prompt = Query("chat", 1);
  long_prompt.prompt = Tokens(100000);
  LearnTimes(30, 200, long_prompt, &estimator);
  CHECK(MeanOf(estimator, Query("chat", 1)) < 20);
  CHECK(MeanOf(estimator, Query("chat", 3)) > 60);
  CHECK(MeanOf(estimator, Query("batch", 1)) > 60);
  CHECK(MeanOf(estimator, long_prompt) > 100);
}

// Guards against a client that shifts the estimates of all others by sending
// much.
TEST_CASE("one client account counts at most a quarter of a route") {
  OutputEstimator shared;
  OutputEstimator even;
  for (uint64_t account = 1; account <= 6; ++account) {
    LearnTimes(10, 10, Query("chat", account), &shared);
    LearnTimes(10, 10, Query("chat", account), &even);
  }
  LearnTimes(500, 1000, Query("chat", 7), &shared);
  // 21 samples are a little over a quarter.
  LearnTimes(21, 1000, Query("chat", 7), &even);
  const OutputQuery newcomer = Query("chat", 8);
  CHECK(MeanOf(shared, newcomer) ==
        Approx(MeanOf(even, newcomer)).epsilon(0.0001));
  CHECK(MeanOf(shared, newcomer) > MeanOf(shared, Query("chat", 1)));
  CHECK(MeanOf(shared, Query("chat", 1)) < 40);
  CHECK(MeanOf(shared, Query("chat", 7)) > 700);
  // Peers are told no more of it either.
  std::mt19937_64 random(1);
  const auto told = shared.Sample(8, kNow, random);
  REQUIRE(told.size() == 1);
  CHECK(told.front().events.mean < std::log(40));
}

TEST_CASE("hints count by their learnt error") {
  OutputEstimator exact;
  OutputEstimator useless;
  OutputQuery query = Query("chat", 1);
  for (int i = 0; i < 60; ++i) {
    const double events = i % 2 == 0 ? 10 : 100;
    query.hint = Tokens(static_cast<int64_t>(events * 34));
    exact.Learn(query, kEngine, events, kNow);
    useless.Learn(query, kEngine, i % 4 < 2 ? 10 : 100, kNow);
  }
  query.hint = Tokens(int64_t{100} * 34);
  CHECK(MeanOf(exact, query) == Approx(100).epsilon(0.25));
  const double uncertain = MeanOf(useless, query);
  CHECK(uncertain < MeanOf(exact, query));
  query.hint = Tokens(int64_t{10} * 34);
  CHECK(MeanOf(exact, query) == Approx(10).epsilon(0.25));
  // Hints that are always three times too low are corrected.
  OutputEstimator low;
  for (int i = 0; i < 60; ++i) {
    query.hint = Tokens(int64_t{34} * (i % 2 == 0 ? 10 : 100));
    low.Learn(query, kEngine, i % 2 == 0 ? 30 : 300, kNow);
  }
  query.hint = Tokens(int64_t{34} * 50);
  CHECK(MeanOf(low, query) == Approx(150).epsilon(0.25));
}

TEST_CASE("the client's limit bounds the estimate") {
  const OutputEstimator estimator;
  OutputQuery query = Query("chat");
  query.max_output = Tokens(int64_t{34} * 5);
  CHECK(estimator.Estimate(query, kEngine, kNow).mean == 5);
  CHECK(estimator.Estimate(query, kEngine, kNow).high == 5);
}

TEST_CASE("old samples lose their weight") {
  OutputEstimator estimator;
  LearnTimes(20, 400, Query("chat", 1), &estimator);
  CHECK(MeanOf(estimator, Query("chat", 1)) > 250);
  CHECK(MeanOf(estimator, Query("chat", 1), kNow + absl::Minutes(10)) < 60);
}

// Guards against a new instance that learns from scratch what others know, and
// against peers that outweigh what an instance sees itself.
TEST_CASE("peers' samples count until there are own ones") {
  OutputEstimator peer;
  for (uint64_t account = 1; account <= 8; ++account) {
    LearnTimes(20, 200, Query("chat", account), &peer);
  }
  std::mt19937_64 random(1);
  OutputEstimator own;
  for (int i = 0; i < 100; ++i) {
    for (const RouteOutputSummary& summary : peer.Sample(8, kNow, random)) {
      own.Merge(summary, kNow);
    }
  }
  CHECK(MeanOf(own, Query("chat", 9)) > 120);
  // What peers reported isn't passed on.
  CHECK(own.Sample(8, kNow, random).empty());
  for (uint64_t account = 1; account <= 8; ++account) {
    LearnTimes(40, 10, Query("chat", account), &own);
  }
  CHECK(MeanOf(own, Query("chat", 9)) < 30);
}

TEST_CASE("implausible reports of peers are ignored") {
  OutputEstimator estimator;
  const double before = MeanOf(estimator, Query("chat"));
  RouteOutputSummary summary;
  summary.route = RouteHashOf("chat");
  summary.events = {8, 1000, 0};
  estimator.Merge(summary, kNow);
  summary.events = {std::numeric_limits<float>::infinity(), 3, 0};
  estimator.Merge(summary, kNow);
  summary.events = {8, std::numeric_limits<float>::quiet_NaN(), 0};
  estimator.Merge(summary, kNow);
  CHECK(MeanOf(estimator, Query("chat")) == before);
}

// Guards against memory that grows with the routes and accounts ever seen.
TEST_CASE("the number of routes and accounts is bounded") {
  OutputEstimator estimator;
  for (int i = 0; i < 3000; ++i) {
    estimator.Learn(Query(std::to_string(i).c_str()), kEngine, 10,
                    kNow + absl::Milliseconds(i));
  }
  CHECK(estimator.route_count() == OutputEstimator::kMaxRoutes);
  // The most recent ones are kept.
  const absl::Time end = kNow + absl::Seconds(3);
  CHECK(MeanOf(estimator, Query("2999"), end) <
        MeanOf(estimator, Query("0"), end));
  for (uint64_t account = 1; account <= 1000; ++account) {
    estimator.Learn(Query("chat", account), kEngine, account == 1000 ? 500 : 10,
                    end + absl::Milliseconds(account));
  }
  CHECK(MeanOf(estimator, Query("chat", 1000), end + absl::Seconds(1)) >
        MeanOf(estimator, Query("chat", 999), end + absl::Seconds(1)));
}

TEST_CASE("a stream past its estimate is expected to continue") {
  CHECK(RemainingEvents(20, 0) == 20);
  CHECK(RemainingEvents(20, 5) == 15);
  CHECK(RemainingEvents(20, 40) == 20);
  CHECK(RemainingEvents(20, 80) == 40);
}

}  // namespace
}  // namespace umbertrail::dispatch
