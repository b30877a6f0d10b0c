#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <httplib.h>

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "standins/answer_text.h"
#include "standins/engine_server.h"
#include "target/event_log.h"
#include "umbertrail/target.h"

namespace umbertrail::standin {
namespace {

// An engine stand-in on a port of the kernel's choice, and a client before it.
class Bench {
 public:
  Bench() : engine_(EngineServerSettings()) {
    engine_.Mount(server_);
    port_ = server_.bind_to_any_port("127.0.0.1");
    listener_ = std::thread([this] { server_.listen_after_bind(); });
    client_ = std::make_unique<target::TargetClient>(
        target::TargetClientSettings(), log_.Callback(),
        [this](const TargetId&) -> std::optional<std::string> {
          return absl::StrCat("127.0.0.1:", port_);
        });
  }
  ~Bench() {
    client_.reset();
    engine_.Stop();
    server_.stop();
    listener_.join();
  }

  target::TargetClient& client() { return *client_; }
  const testing::EventLog& log() const { return log_; }

 private:
  testing::EventLog log_;
  EngineServer engine_;
  httplib::Server server_;
  int port_ = 0;
  std::thread listener_;
  std::unique_ptr<target::TargetClient> client_;
};

core::StartAttempt Attempt(const std::string& prompt) {
  core::StartAttempt action;
  action.spec.id = RequestId("r");
  action.spec.model = ModelId("small");
  action.spec.prompt = Tokens(5000);
  action.spec.max_output = Tokens(30);
  action.attempt = AttemptNumber(1);
  action.target = TargetId("t");
  action.time_left = absl::Minutes(1);
  action.progress_limit = absl::Minutes(1);
  action.body = std::make_shared<const std::string>(prompt);
  return action;
}

TEST_CASE("an engine's answer reaches the client whole") {
  Bench bench;
  const std::string prompt(20000, 'p');
  core::StartAttempt action = Attempt(prompt);
  action.resume_offset = Tokens(4);
  bench.client().Start(action);
  CHECK(bench.log().Await<core::AttemptDone>(1)[0].total == Tokens(30));
  std::string text;
  for (const core::AttemptChunk& it : bench.log().All<core::AttemptChunk>()) {
    text += it.text;
  }
  CHECK(text == AnswerText(PromptHash(prompt), 4, 26));
}

TEST_CASE("an engine's report and refusals reach the client") {
  Bench bench;
  bench.client().Poll({TargetId("t")});
  const auto report = bench.log().Await<core::TargetReported>(1)[0].report;
  CHECK(report.state == core::TargetState::kWarm);
  CHECK(report.model == ModelId("small"));
  core::StartAttempt other = Attempt("p");
  other.spec.model = ModelId("other");
  bench.client().Start(other);
  CHECK(bench.log().Await<core::AttemptFailed>(1)[0].failure ==
        core::AttemptFailure::kSaidNotRun);
}

TEST_CASE("a poisonous prompt breaks the client's stream") {
  Bench bench;
  bench.client().Start(Attempt("<<poison>>"));
  CHECK(bench.log().Await<core::AttemptFailed>(1)[0].failure ==
        core::AttemptFailure::kBroken);
}

}  // namespace
}  // namespace umbertrail::standin
