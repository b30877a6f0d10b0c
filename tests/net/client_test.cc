#include "umbertrail/net/client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "http/fake_server.h"

namespace umbertrail::net {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

constexpr absl::Duration kPatience = absl::Seconds(30);

// Records the end of one call and stops the loop there.
class Recorder : public ResponseListener {
 public:
  explicit Recorder(Loop& loop) : loop_(loop) {}
  void OnHead(const ResponseHead& head) override { status = head.status; }
  void OnBody(absl::string_view bytes) override {
    body.append(bytes.data(), bytes.size());
  }
  void OnEnd() override {
    ended = true;
    loop_.stop();
  }
  void OnFailure(CallFailure how) override {
    failure = how;
    loop_.stop();
  }

  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<CallFailure> failure;

 private:
  Loop& loop_;
};

// Makes one call over `connection` and runs until it has ended.
std::shared_ptr<Recorder> CallOnce(Loop& loop,
                                   ClientConnection& connection,
                                   const std::string& address) {
  auto recorder = std::make_shared<Recorder>(loop);
  loop.restart();
  connection.Call(*ParseEndpoint(address), kPatience, kPatience,
                  "GET / HTTP/1.1\r\nHost: x\r\n\r\n", nullptr, false,
                  recorder);
  loop.run();
  return recorder;
}

std::shared_ptr<Recorder> AnswerOf(FakeServer::Script script,
                                   bool* reusable = nullptr) {
  FakeServer server(std::move(script));
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  auto recorder = CallOnce(loop, *connection, server.address());
  if (reusable != nullptr) {
    *reusable = connection->Reusable();
  }
  connection->Close();
  loop.restart();
  loop.poll();
  return recorder;
}

TEST_CASE("a whole answer ends and its connection serves again") {
  bool reusable = false;
  const auto answer = AnswerOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
        connection.AwaitClose();
      },
      &reusable);
  CHECK(answer->ended);
  CHECK(answer->body == "abc");
  CHECK(reusable);
}

TEST_CASE("chunks that come byte by byte are one answer") {
  const auto answer = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    for (const char byte : bytes) {
      connection.Write(std::string(1, byte));
    }
    connection.AwaitClose();
  });
  CHECK(answer->ended);
  CHECK(answer->body == "abcdefg");
}

TEST_CASE("a second call on a kept connection starts with clean buffers") {
  FakeServer server([](FakeConnection& connection) {
    for (const char* body : {"one", "two"}) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
      connection.Write(body);
    }
    connection.AwaitClose();
  });
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  CHECK(CallOnce(loop, *connection, server.address())->body == "one");
  REQUIRE(connection->Reusable());
  const auto second = CallOnce(loop, *connection, server.address());
  CHECK(second->ended);
  CHECK(second->body == "two");
  CHECK(server.connections() == 1);
  connection->Close();
  loop.restart();
  loop.poll();
}

TEST_CASE("an answer without a length ends with its connection") {
  const auto answer = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
  });
  CHECK(answer->ended);
  CHECK(answer->body == "all of it");
}

TEST_CASE("an answer without a length that is reset is not complete") {
  const auto answer = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nsome of it");
    connection.Reset();
  });
  CHECK_FALSE(answer->ended);
  CHECK(answer->failure);
}

TEST_CASE("a broken answer is told apart from none") {
  const auto broken = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  });
  CHECK(broken->failure == CallFailure::kBrokenOff);
  const auto none =
      AnswerOf([](FakeConnection& connection) { connection.ReadRequest(); });
  CHECK(none->failure == CallFailure::kNoAnswer);
  const auto garbage = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("%%%% what is this\r\n\r\n");
    connection.AwaitClose();
  });
  CHECK(garbage->failure == CallFailure::kUnreadable);
}

TEST_CASE("bytes after an answer spoil the connection, not the answer") {
  bool reusable = true;
  const auto answer = AnswerOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200");
        connection.AwaitClose();
      },
      &reusable);
  CHECK(answer->ended);
  CHECK(answer->body == "abc");
  CHECK_FALSE(reusable);
}

TEST_CASE("an interim answer comes before the final one") {
  const auto answer = AnswerOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx");
    connection.AwaitClose();
  });
  CHECK(answer->ended);
  CHECK(answer->status == 201);
}

TEST_CASE("a refused connection sent nothing") {
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  const auto answer = CallOnce(loop, *connection, testing::RefusingAddress());
  CHECK(answer->failure == CallFailure::kNotConnected);
  CHECK_FALSE(connection->sent());
}

TEST_CASE("a server that closes after its answer isn't used again") {
  bool reusable = true;
  AnswerOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
        connection.AwaitClose();
      },
      &reusable);
  CHECK_FALSE(reusable);
  AnswerOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write(
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
            "Content-Length: 0\r\n\r\n");
        connection.AwaitClose();
      },
      &reusable);
  CHECK_FALSE(reusable);
}

}  // namespace
}  // namespace umbertrail::net
