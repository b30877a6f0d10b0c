#include "peer_output.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

dispatch::EngineModel Engine() {
  dispatch::EngineModel engine;
  engine.steps_per_pass = 40;
  engine.mean_output_tokens = 1200;
  return engine;
}

dispatch::OutputQuery Query(uint64_t route, uint64_t account) {
  dispatch::OutputQuery query;
  query.route = route;
  query.account = AccountHash(account);
  return query;
}

// Guards against a restarted instance that takes all streams for mean ones
// although others know their length.
TEST_CASE("a learnt output reaches another instance") {
  dispatch::OutputEstimator sender;
  for (uint64_t i = 0; i < 200; ++i) {
    sender.Learn(Query(7, 1 + i % 10), Engine(), 300, kNow);
  }
  std::mt19937_64 random(1);
  dispatch::OutputEstimator receiver;
  const dispatch::OutputQuery query = Query(7, 99);
  const double before = receiver.Estimate(query, Engine(), kNow).mean;
  for (int i = 0; i < 10; ++i) {
    PeerMessage message;
    AddRouteOutputs(sender, kNow, random, &message);
    REQUIRE(message.route_outputs.size() == 1);
    MergeRouteOutputs(message, kNow, &receiver);
  }
  CHECK(before < 40);
  CHECK(receiver.Estimate(query, Engine(), kNow).mean > 150);
}

// Guards against messages that grow with the number of routes.
TEST_CASE("a message holds a bounded number of routes") {
  dispatch::OutputEstimator sender;
  for (uint64_t route = 0; route < 100; ++route) {
    sender.Learn(Query(route, 1), Engine(), 30, kNow);
  }
  std::mt19937_64 random(1);
  PeerMessage message;
  AddRouteOutputs(sender, kNow, random, &message);
  CHECK(message.route_outputs.size() == kMaxRouteOutputs);
  // Nor does a receiver take more.
  message.route_outputs.assign(1000, message.route_outputs.front());
  for (uint64_t i = 0; i < 1000; ++i) {
    message.route_outputs[i].route = i;
  }
  dispatch::OutputEstimator receiver;
  MergeRouteOutputs(message, kNow, &receiver);
  CHECK(receiver.route_count() == kMaxRouteOutputs);
  // Routes without recent samples aren't told.
  PeerMessage later;
  AddRouteOutputs(sender, kNow + absl::Minutes(1), random, &later);
  CHECK(later.route_outputs.empty());
}

}  // namespace
}  // namespace umbertrail::front
