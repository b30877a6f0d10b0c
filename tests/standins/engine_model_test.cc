#include <string>
#include <variant>

#include <catch2/catch.hpp>

#include "standins/answer_text.h"
#include "standins/engine_model.h"

namespace umbertrail::standin {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(5);

EngineSettings WarmSettings() {
  EngineSettings settings;
  settings.memory = 10000;
  settings.report_lag = absl::ZeroDuration();
  settings.cache_event_lag = absl::ZeroDuration();
  settings.cache_event_loss = 0;
  return settings;
}

GenerateRequest Request(const std::string& id, int64_t prompt_tokens) {
  GenerateRequest request;
  request.request_id = id;
  request.attempt = 1;
  request.model = "small";
  request.prompt = id + std::string(prompt_tokens * kBytesPerToken, 'x');
  request.prompt_tokens = prompt_tokens;
  request.max_tokens = 20;
  request.holder = "h/1";
  return request;
}

EngineModel::StreamId Accept(EngineModel& engine, GenerateRequest request) {
  const auto result = engine.Submit(std::move(request));
  REQUIRE(std::holds_alternative<EngineModel::StreamId>(result));
  return std::get<EngineModel::StreamId>(result);
}

StreamView View(const EngineModel& engine, EngineModel::StreamId id) {
  return engine.Await(id, -1, StreamPhase::kWaiting, absl::ZeroDuration());
}

// Steps until the stream has ended.
void RunToEnd(EngineModel& engine, EngineModel::StreamId id) {
  for (int n = 0; n < 10000 && View(engine, id).phase < StreamPhase::kDone;
       ++n) {
    engine.Step(kStep);
  }
}

TEST_CASE("a request runs to its end and frees its memory") {
  EngineModel engine(WarmSettings(), 1);
  const auto id = Accept(engine, Request("a", 1000));
  RunToEnd(engine, id);
  CHECK(View(engine, id).phase == StreamPhase::kDone);
  CHECK(View(engine, id).generated == 20);
  engine.Step(absl::Seconds(1));
  CHECK(engine.Report(0).memory_used == 0);
}

TEST_CASE("a higher priority is served first") {
  EngineSettings settings = WarmSettings();
  settings.prefill_per_second = 1000;
  EngineModel engine(settings, 1);
  const auto low = Accept(engine, Request("low", 1000));
  GenerateRequest urgent = Request("high", 1000);
  urgent.priority = 5;
  const auto high = Accept(engine, urgent);
  RunToEnd(engine, high);
  CHECK(View(engine, low).phase == StreamPhase::kPrefill);
}

TEST_CASE("a cold engine over its budget falls over") {
  EngineSettings settings = WarmSettings();
  settings.starts_cold = true;
  settings.cold_budget = 1500;
  EngineModel engine(settings, 1);
  const std::string boot = engine.Report(0).boot;
  const auto first = Accept(engine, Request("a", 1000));
  Accept(engine, Request("b", 1000));
  CHECK(View(engine, first).phase == StreamPhase::kDropped);
  CHECK(engine.counters().cold_overloads == 1);
  CHECK(engine.Report(0).boot != boot);
  const auto refused = engine.Submit(Request("c", 10));
  REQUIRE(std::holds_alternative<Refusal>(refused));
  CHECK(std::get<Refusal>(refused).cold);
}

TEST_CASE("a poisonous prompt kills the engine") {
  EngineModel engine(WarmSettings(), 1);
  GenerateRequest poison = Request("p", 100);
  poison.prompt += "<<poison>>";
  const auto id = Accept(engine, poison);
  RunToEnd(engine, id);
  CHECK(View(engine, id).phase == StreamPhase::kDropped);
  CHECK(engine.counters().poison_deaths == 1);
}

TEST_CASE("memory waits for cancel or free and cache events are published") {
  EngineSettings settings = WarmSettings();
  settings.decode_per_second = 0;
  EngineModel engine(settings, 1);
  Accept(engine, Request("a", 2048));
  Accept(engine, Request("b", 1000));
  engine.Step(absl::Seconds(1));
  engine.Step(absl::Seconds(1));
  CHECK(engine.Report(0).allocations.size() == 2);
  CHECK(engine.Report(0).cache_events.size() == 2);
  CHECK(engine.Report(1).cache_events.size() == 1);
  engine.Cancel("a", 1);
  CHECK(engine.Free("h/1", "") == 1020);
  engine.Step(absl::Seconds(1));
  CHECK(engine.Report(0).memory_used == 0);
}

TEST_CASE("an exported stream goes on after its import") {
  EngineSettings settings = WarmSettings();
  settings.decode_per_second = 10;
  EngineModel engine(settings, 1);
  const auto id = Accept(engine, Request("a", 1000));
  engine.Step(kStep);
  const auto exported = engine.Export("a", 1);
  REQUIRE(exported.has_value());
  CHECK(View(engine, id).phase == StreamPhase::kSuspended);
  CHECK(engine.Import(exported->handle, "h/2", "a") == exported->tokens);
  CHECK_FALSE(engine.Import("other", "h/2", "a").has_value());
  GenerateRequest again = Request("a", 1000);
  again.attempt = 2;
  again.resume_from = 1;
  const auto resumed = Accept(engine, again);
  RunToEnd(engine, resumed);
  CHECK(View(engine, resumed).generated == 20);
}

TEST_CASE("an old fencing number is refused or ignored") {
  EngineModel strict(WarmSettings(), 1);
  CHECK(strict.TakeFence(5) == OrderResult::kAccepted);
  CHECK(strict.TakeFence(4) == OrderResult::kOldFence);
  EngineSettings settings = WarmSettings();
  settings.checks_fence = false;
  EngineModel lax(settings, 1);
  CHECK(lax.TakeFence(5) == OrderResult::kAccepted);
  CHECK(lax.TakeFence(4) == OrderResult::kAccepted);
  CHECK(lax.counters().old_fences == 1);
}

TEST_CASE("an answer's parts join to the whole") {
  const uint64_t hash = PromptHash("prompt");
  CHECK(AnswerText(hash, 0, 9) ==
        AnswerText(hash, 0, 4) + AnswerText(hash, 4, 5));
  CHECK(AnswerText(hash, 0, 9) != AnswerText(PromptHash("other"), 0, 9));
}

}  // namespace
}  // namespace umbertrail::standin
