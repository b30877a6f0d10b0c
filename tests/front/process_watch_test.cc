#include "umbertrail/front/process_watch.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "front/target_answers.h"
#include "http/fake_server.h"

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;
using Result = ProcessWatch::Result;

constexpr int64_t kBornMs = 1700000000000;

// A watch of target "t" at `address`, on a loop of its own.
class Watched {
 public:
  explicit Watched(const std::string& address)
      : watch_(std::make_shared<ProcessWatch>(
            loop_,
            pool_,
            TargetProcess{TargetId("t"), kBornMs,
                          *net::ParseEndpoint(address)})) {}
  ~Watched() {
    watch_->Stop();
    pool_.CloseAllIdle();
    loop_.poll();
  }

  // Runs the loop until the target has a connection, and this side knows.
  void Hold(const FakeServer& server) {
    watch_->Start();
    while (server.connections() == 0) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(1));
    }
    // The system completed the connection before it was accepted.
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds(10));
  }

  Result Ask() {
    std::optional<Result> result;
    watch_->Ask([&](Result it) { result = it; });
    while (!result) {
      loop_.restart();
      loop_.run_one();
    }
    return *result;
  }

  const ProcessWatch& watch() const { return *watch_; }

 private:
  net::Loop loop_{1};
  TargetPool pool_{loop_};
  std::shared_ptr<ProcessWatch> watch_;
};

// Answers each question as the target `id` that started at `born_ms`.
FakeServer::Script ReportsOf(const std::string& id, int64_t born_ms) {
  return [id, born_ms](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      connection.Write(testing::ReportAnswer(request, id, born_ms));
      return true;
    });
  };
}

TEST_CASE("a process that answers on the held connection is alive") {
  FakeServer server(ReportsOf("t", kBornMs));
  Watched watched(server.address());
  watched.Hold(server);
  server.RefuseNewConnections();
  CHECK(watched.Ask() == Result::kAlive);
  CHECK_FALSE(watched.watch().asked_on_new_connection());
  CHECK(watched.watch().answer_stated_birth());
}

TEST_CASE("without a held connection a new one is asked") {
  FakeServer server(ReportsOf("t", kBornMs));
  Watched watched(server.address());
  CHECK(watched.Ask() == Result::kAlive);
  CHECK(watched.watch().asked_on_new_connection());
}

TEST_CASE("another target or another start at the address is another process") {
  const auto [id, born_ms] =
      GENERATE(std::make_pair("u", kBornMs), std::make_pair("t", kBornMs + 1));
  FakeServer server(ReportsOf(id, born_ms));
  Watched watched(server.address());
  CHECK(watched.Ask() == Result::kEnded);
}

TEST_CASE("a process whose held connection ends and that refuses is gone") {
  FakeServer server(ReportsOf("t", kBornMs));
  Watched watched(server.address());
  watched.Hold(server);
  server.Crash();
  CHECK(watched.Ask() == Result::kEnded);
}

TEST_CASE("without a held connection a refusal shows no crash") {
  Watched watched(testing::RefusingAddress());
  CHECK(watched.Ask() == Result::kUnreachable);
}

TEST_CASE("a process that accepts and doesn't answer is silent") {
  const bool closes = GENERATE(false, true);
  FakeServer server([closes](FakeConnection& connection) {
    if (closes) {
      connection.ReadRequest();
    } else {
      connection.AwaitClose();
    }
  });
  Watched watched(server.address());
  CHECK(watched.Ask() == Result::kSilent);
}

TEST_CASE("an answer without end shows nothing") {
  FakeServer server([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\n");
    for (int i = 0; i < 100; ++i) {
      connection.Write(std::string(4096, 'x'));
    }
    connection.AwaitClose();
  });
  Watched watched(server.address());
  CHECK(watched.Ask() == Result::kSilent);
}

}  // namespace
}  // namespace umbertrail::front
