#include "umbertrail/net/client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "absl/time/clock.h"
#include "http/fake_server.h"

namespace umbertrail::net {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

constexpr absl::Duration kTimeout = absl::Seconds(30);
// Without that wait the fault shows less often.
constexpr absl::Duration kUntilBuffersAreFull = absl::Milliseconds(200);

// Records the outcome of one call, then stops the loop.
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

// Makes one call over `connection` and runs the loop until it ends.
std::shared_ptr<Recorder> CallOnce(Loop& loop,
                                   ClientConnection& connection,
                                   const std::string& address) {
  auto recorder = std::make_shared<Recorder>(loop);
  loop.restart();
  connection.Call(*ParseEndpoint(address), kTimeout, kTimeout,
                  "GET / HTTP/1.1\r\nHost: x\r\n\r\n", nullptr, false,
                  recorder);
  loop.run();
  return recorder;
}

std::shared_ptr<Recorder> ResponseOf(FakeServer::Script script,
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

TEST_CASE("a connection is reusable after a complete response") {
  bool reusable = false;
  const auto response = ResponseOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
        connection.AwaitClose();
      },
      &reusable);
  CHECK(response->ended);
  CHECK(response->body == "abc");
  CHECK(reusable);
}

TEST_CASE("a chunked response is read byte by byte") {
  const auto response = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    for (const char byte : bytes) {
      connection.Write(std::string(1, byte));
    }
    connection.AwaitClose();
  });
  CHECK(response->ended);
  CHECK(response->body == "abcdefg");
}

TEST_CASE("a second call on a reused connection starts with empty buffers") {
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

TEST_CASE("a response without a length ends with the connection") {
  const auto response = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
  });
  CHECK(response->ended);
  CHECK(response->body == "all of it");
}

TEST_CASE("a reset connection does not complete a response without a length") {
  const auto response = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nsome of it");
    connection.Reset();
  });
  CHECK_FALSE(response->ended);
  CHECK(response->failure);
}

TEST_CASE("a reset while the request is sent doesn't complete the response") {
  FakeServer server([](FakeConnection& connection) {
    connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
    connection.AwaitBytes();
    absl::SleepFor(kUntilBuffersAreFull);
    connection.Reset();
  });
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  // Larger than what sockets hold, so that the reset meets a write.
  const auto body = std::make_shared<const std::string>(size_t{32} << 20, 'x');
  const auto recorder = std::make_shared<Recorder>(loop);
  connection->Call(*ParseEndpoint(server.address()), kTimeout, kTimeout,
                   "POST / HTTP/1.1\r\nHost: x\r\n\r\n", body, false, recorder);
  loop.run();
  CHECK_FALSE(recorder->ended);
  CHECK(recorder->failure == CallFailure::kBrokenOff);
}

// How a server ends an early response, sent while the request is still written.
enum class EarlyEnd {
  kReset,
  // The kernel resets a connection that is closed with unread bytes.
  kUnreadBytes,
  // The end of the stream, and then a reset.
  kEndThenUnreadBytes,
  // The end of the stream; the connection stays open and the rest unread.
  kEnd,
};

struct EarlyResponse {
  std::string response;
  EarlyEnd end = EarlyEnd::kReset;
  size_t upload = 0;
  // The client has read the head before the connection ends.
  bool head_is_read = false;
};

// Larger than what sockets hold, and small enough for the client's socket to
// take all of it while the server's takes little.
constexpr size_t kLargeUpload = size_t{32} << 20;
constexpr size_t kSmallUpload = size_t{256} << 10;
constexpr int kSmallReceiveBuffer = 4096;
constexpr absl::Duration kEarlyPause = absl::Milliseconds(40);

std::shared_ptr<Recorder> PlayEarlyResponse(const EarlyResponse& early,
                                            bool* reusable = nullptr) {
  FakeServer server(
      [&](FakeConnection& connection) {
        connection.AwaitBytes();
        absl::SleepFor(kEarlyPause);
        connection.Write(early.response);
        if (early.head_is_read) {
          absl::SleepFor(kEarlyPause);
        }
        if (early.end == EarlyEnd::kReset) {
          connection.Reset();
        } else if (early.end != EarlyEnd::kUnreadBytes) {
          connection.EndSending();
        }
        if (early.end == EarlyEnd::kEnd) {
          absl::SleepFor(kEarlyPause);
        }
      },
      kSmallReceiveBuffer);
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  const auto body = std::make_shared<const std::string>(early.upload, 'x');
  auto recorder = std::make_shared<Recorder>(loop);
  connection->Call(*ParseEndpoint(server.address()), kTimeout, kTimeout,
                   "POST / HTTP/1.1\r\nHost: x\r\n\r\n", body, false, recorder);
  loop.run();
  if (reusable != nullptr) {
    *reusable = connection->Reusable();
  }
  connection->Close();
  loop.restart();
  loop.poll();
  return recorder;
}

// A target answered a long upload at once, sent a part of its response and
// closed. Its kernel sent the end of the stream, as nothing was unread at that
// moment, and a reset for the bytes that came later. The client read the end
// while its request was still being written, and took the part for complete.
TEST_CASE("a part of an early response isn't a complete one") {
  EarlyResponse early;
  early.response = GENERATE(
      "HTTP/1.1 200 OK\r\n\r\npart",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  early.end = GENERATE(EarlyEnd::kReset, EarlyEnd::kUnreadBytes,
                       EarlyEnd::kEndThenUnreadBytes, EarlyEnd::kEnd);
  early.upload = GENERATE(kSmallUpload, kLargeUpload);
  early.head_is_read = GENERATE(false, true);
  CAPTURE(early.response, static_cast<int>(early.end), early.upload,
          early.head_is_read);
  const auto response = PlayEarlyResponse(early);
  CHECK_FALSE(response->ended);
  CHECK(response->failure == CallFailure::kBrokenOff);
}

// An early response that is whole by its framing is delivered: it may refuse
// the request and state that it hasn't run. Its connection was kept for another
// request, although the server hadn't got the rest of this one.
TEST_CASE("an early whole response is delivered, its connection not reused") {
  EarlyResponse early;
  early.response = GENERATE(
      "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n"
      "0\r\n\r\n");
  early.end =
      GENERATE(EarlyEnd::kReset, EarlyEnd::kUnreadBytes, EarlyEnd::kEnd);
  early.upload = GENERATE(kSmallUpload, kLargeUpload);
  early.head_is_read = GENERATE(false, true);
  CAPTURE(early.response, static_cast<int>(early.end), early.upload,
          early.head_is_read);
  bool reusable = true;
  const auto response = PlayEarlyResponse(early, &reusable);
  CHECK(response->ended);
  CHECK(response->status == 503);
  CHECK(response->body == "busy");
  CHECK_FALSE(reusable);
}

TEST_CASE("truncated, missing and malformed responses are distinguished") {
  const auto broken = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  });
  CHECK(broken->failure == CallFailure::kBrokenOff);
  const auto none =
      ResponseOf([](FakeConnection& connection) { connection.ReadRequest(); });
  CHECK(none->failure == CallFailure::kNoAnswer);
  const auto garbage = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("%%%% what is this\r\n\r\n");
    connection.AwaitClose();
  });
  CHECK(garbage->failure == CallFailure::kUnreadable);
}

// A target answered with status 000, and the instance passed it on as a
// response, though callers accept no such status.
TEST_CASE("a status outside 100 to 599 is unreadable") {
  const std::string status = GENERATE("000", "001", "099", "600", "999");
  const std::string framing =
      GENERATE("Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "");
  CAPTURE(status, framing);
  const auto response = ResponseOf([&](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 " + status + " X\r\n" + framing + "\r\n");
    connection.Write(framing[0] == 'T' ? "3\r\nabc\r\n0\r\n\r\n" : "abc");
  });
  CHECK_FALSE(response->ended);
  CHECK(response->status == 0);
  CHECK(response->body.empty());
  CHECK(response->failure == CallFailure::kUnreadable);
}

TEST_CASE("a status at the ends of the valid range is passed on") {
  const int status = GENERATE(200, 299, 599);
  const auto response = ResponseOf([&](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write(testing::HttpAnswer(status, "abc"));
  });
  CHECK(response->ended);
  CHECK(response->status == status);
}

// Writes `bytes` again and again until the client closes, 64 MB at most.
void WriteEndlessly(FakeConnection& connection, const std::string& bytes) {
  constexpr size_t kMost = size_t{64} << 20;
  for (size_t written = 0; written < kMost; written += bytes.size()) {
    connection.Write(bytes);
  }
}

// A target that sends bytes without end took the instance's memory, and with
// it all requests in hand.
TEST_CASE("a response whose bytes never end is unreadable") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string heads[] = {"", "HTTP/1.1 200 OK\r\nX-Long: ", chunked,
                               chunked + "1;", chunked + "0\r\nX-Long: "};
  for (const std::string& head : heads) {
    CAPTURE(head);
    const auto response = ResponseOf([&](FakeConnection& connection) {
      connection.ReadRequest();
      connection.Write(head);
      WriteEndlessly(connection, std::string(65536, '0'));
    });
    CHECK_FALSE(response->ended);
    CHECK(response->failure == CallFailure::kUnreadable);
  }
}

TEST_CASE("interim responses without end are unreadable") {
  const auto response = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    std::string many;
    for (int i = 0; i < 1000; ++i) {
      many += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    WriteEndlessly(connection, many);
  });
  CHECK(response->failure == CallFailure::kUnreadable);
}

TEST_CASE("bytes after a response prevent the connection's reuse") {
  bool reusable = true;
  const auto response = ResponseOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write(
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200");
        connection.AwaitClose();
      },
      &reusable);
  CHECK(response->ended);
  CHECK(response->body == "abc");
  CHECK_FALSE(reusable);
}

TEST_CASE("an interim response precedes the final one") {
  const auto response = ResponseOf([](FakeConnection& connection) {
    connection.ReadRequest();
    connection.Write(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx");
    connection.AwaitClose();
  });
  CHECK(response->ended);
  CHECK(response->status == 201);
}

TEST_CASE("nothing is sent on a refused connection") {
  Loop loop(1);
  const auto connection = std::make_shared<ClientConnection>(loop);
  const auto response = CallOnce(loop, *connection, testing::RefusingAddress());
  CHECK(response->failure == CallFailure::kNotConnected);
  CHECK_FALSE(connection->sent());
}

TEST_CASE("a connection that the server will close is not reused") {
  bool reusable = true;
  ResponseOf(
      [](FakeConnection& connection) {
        connection.ReadRequest();
        connection.Write(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
        connection.AwaitClose();
      },
      &reusable);
  CHECK_FALSE(reusable);
  ResponseOf(
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
