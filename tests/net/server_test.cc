#include "umbertrail/net/server.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/fake_server.h"
#include "net/raw_client.h"

namespace umbertrail::net {
namespace {

using testing::RawClient;

// A server on its own thread.
class Running {
 public:
  explicit Running(HttpServer::Handler handler, ServerLimits limits = {})
      : address_(testing::RefusingAddress()),
        loop_(1),
        server_(loop_, std::move(handler), [this](int status, const char*) {
          fault_ = status;
        }) {
    server_.SetLimits(limits);
    const auto error = server_.Listen(*ParseEndpoint(address_));
    REQUIRE_FALSE(error);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Running() {
    loop_.stop();
    thread_.join();
    server_.CloseAll();
  }

  const std::string& address() const { return address_; }
  Loop& loop() { return loop_; }
  HttpServer& server() { return server_; }

 private:
  std::string address_;
  Loop loop_;
  int fault_ = 0;
  HttpServer server_;
  std::thread thread_;
};

// Runs `then` on the server's thread and waits for its end.
void OnLoop(Running& running, const std::function<void()>& then) {
  absl::Notification done;
  boost::asio::post(running.loop(), [&] {
    then();
    done.Notify();
  });
  done.WaitForNotification();
}

void Echo(const std::shared_ptr<ServerConnection>& client) {
  ResponseHead head;
  head.status = 200;
  head.reason = "OK";
  client->Respond(std::move(head), client->request().target + *client->body());
}

std::string StatusLine(const std::string& response) {
  return response.substr(0, response.find('\r'));
}

TEST_CASE("a connection handles several requests") {
  Running running(Echo);
  RawClient client(running.address());
  client.Send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi");
  CHECK_THAT(client.ReadAnswer(), Catch::EndsWith("/ahi"));
  client.Send(
      "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nyo\r\n0\r\n\r\n");
  CHECK_THAT(client.ReadAnswer(), Catch::EndsWith("/byo"));
}

TEST_CASE("pipelined requests are answered in order") {
  Running running(Echo);
  RawClient client(running.address());
  client.Send(
      "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_THAT(client.ReadAnswer(), Catch::EndsWith("/a"));
  CHECK_THAT(client.ReadAnswer(), Catch::EndsWith("/b"));
}

TEST_CASE("Connection: close in a request closes the connection") {
  Running running(Echo);
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK_THAT(client.ReadToEnd(), Catch::EndsWith("/a"));
}

TEST_CASE("ambiguous or malformed requests are refused and never handled") {
  int handled = 0;
  Running running([&](std::shared_ptr<ServerConnection> client) {
    ++handled;
    Echo(client);
  });
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string end = "\r\n0\r\n\r\n";
  const std::string malformed[] = {
      post + "Content-Length: 3\r\n" + chunked + end,
      post + "Transfer-Encoding: gzip\r\n\r\n",
      post + chunked + chunked + end,
      post + "Host: y\r\n\r\n",
      "POST / HTTP/1.0\r\nHost: x\r\n" + chunked + end,
      "nonsense\r\n\r\n"};
  for (const std::string& bad : malformed) {
    RawClient client(running.address());
    client.Send(bad);
    CAPTURE(bad);
    CHECK(StatusLine(client.ReadToEnd()) == "HTTP/1.1 400 Bad Request");
  }
  CHECK(handled == 0);
}

TEST_CASE("heads and bodies over the limits are refused") {
  ServerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  Running running(Echo, limits);
  RawClient head(running.address());
  head.Send("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(300, 'a') +
            "\r\n\r\n");
  CHECK_THAT(head.ReadToEnd(), Catch::StartsWith("HTTP/1.1 431"));
  RawClient body(running.address());
  body.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
  CHECK_THAT(body.ReadToEnd(), Catch::StartsWith("HTTP/1.1 413"));
}

// Such bytes filled the connection's buffer for as long as the client sent.
TEST_CASE("a request body whose chunk's size never ends is refused") {
  Running running(Echo);
  RawClient client(running.address());
  client.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
      std::string(size_t{1} << 20, '0'));
  CHECK_THAT(client.ReadToEnd(), Catch::StartsWith("HTTP/1.1 400"));
}

// Sends `count` one-byte chunks with an extension of that many bytes, and the
// last chunk.
std::string ExtendedChunks(size_t count, size_t extension) {
  const std::string chunk =
      absl::StrCat("1;e=", std::string(extension, 'e'), "\r\nx\r\n");
  std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (size_t i = 0; i < count; ++i) {
    request += chunk;
  }
  return request + "0\r\n\r\n";
}

// Chunk extensions let a body of 4 MiB take 32 GB on the wire.
TEST_CASE("a body with more framing than the limit is refused") {
  ServerLimits limits;
  limits.max_framing_bytes = 100000;
  Running running(Echo, limits);
  RawClient client(running.address());
  client.Send(ExtendedChunks(100, 8000));
  CHECK_THAT(client.ReadToEnd(), Catch::StartsWith("HTTP/1.1 413"));
  RawClient small(running.address());
  small.Send(ExtendedChunks(100, 900));
  CHECK_THAT(small.ReadAnswer(), Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE("the longest body in one-byte chunks is within the default limits") {
  size_t body_bytes = 0;
  Running running([&](std::shared_ptr<ServerConnection> client) {
    body_bytes = client->body()->size();
    ResponseHead head;
    head.status = 200;
    head.reason = "OK";
    client->Respond(std::move(head), "");
  });
  RawClient client(running.address());
  std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const size_t longest = ServerLimits().max_body_bytes;
  request.reserve(request.size() + 7 * longest);
  for (size_t i = 0; i < longest; ++i) {
    request += "01\r\nx\r\n";
  }
  client.Send(request + "0\r\n\r\n");
  CHECK_THAT(client.ReadAnswer(), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(body_bytes == longest);
}

TEST_CASE("an incomplete head times out") {
  ServerLimits limits;
  limits.header_timeout = absl::Milliseconds(50);
  Running running(Echo, limits);
  RawClient client(running.address());
  client.Send("GET / HTTP/1.1\r\nHost:");
  CHECK_THAT(client.ReadToEnd(), Catch::StartsWith("HTTP/1.1 408"));
}

// Each byte put off the timeout, up to the limit on the bytes of a trailer.
TEST_CASE("a trailer or chunk size that goes on a byte at a time times out") {
  ServerLimits limits;
  limits.header_timeout = absl::Milliseconds(50);
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string starts[] = {head + "0\r\nX-T: ", head + "1\r\nx\r\n0"};
  for (const std::string& start : starts) {
    CAPTURE(start);
    Running running(Echo, limits);
    RawClient client(running.address());
    client.SetReadLimit(absl::Milliseconds(1));
    client.Send(start);
    std::string answer;
    while (answer.empty()) {
      client.Send("0");
      answer = client.ReadToEnd();
    }
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 408"));
  }
}

TEST_CASE("an idle connection is closed without a response") {
  ServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(50);
  Running running(Echo, limits);
  RawClient client(running.address());
  CHECK(client.ReadToEnd().empty());
}

class Observer : public ClientObserver {
 public:
  void OnClientGone() override { gone.Notify(); }
  void OnClientProgress() override {}
  absl::Notification gone;
};

TEST_CASE("a client that disconnects before its response is detected") {
  const auto observer = std::make_shared<Observer>();
  Running running([&](std::shared_ptr<ServerConnection> client) {
    client->Watch(observer);
  });
  {
    RawClient client(running.address());
    client.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  observer->gone.WaitForNotification();
  SUCCEED();
}

TEST_CASE("an aborted response never looks complete") {
  Running running([](std::shared_ptr<ServerConnection> client) {
    ResponseHead head;
    head.status = 200;
    client->BeginResponse(head);
    client->SendBody("part");
    client->Abort();
  });
  RawClient client(running.address());
  client.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_THAT(client.ReadToEnd(), !Catch::EndsWith("0\r\n\r\n"));
}

TEST_CASE("an HTTP/1.0 client gets a body that ends with the connection") {
  Running running([](std::shared_ptr<ServerConnection> client) {
    ResponseHead head;
    head.status = 200;
    client->BeginResponse(head);
    client->SendBody("all");
    client->FinishResponse();
  });
  RawClient client(running.address());
  client.Send("GET / HTTP/1.0\r\nHost: x\r\n\r\n");
  const std::string response = client.ReadToEnd();
  CHECK_THAT(response, Catch::EndsWith("\r\n\r\nall"));
  CHECK_THAT(response, !Catch::Contains("chunked"));
}

// An HTTP/1.0 request, whose response ends with its connection.
std::string OldRequest() {
  return "GET /a HTTP/1.0\r\nHost: x\r\n\r\n";
}

// So large that some of it is still on its way when the response ends.
constexpr size_t kLargeBody = size_t{2} << 20;

void BeginLargeResponse(const std::shared_ptr<ServerConnection>& client) {
  ResponseHead head;
  head.status = 200;
  head.reason = "OK";
  client->BeginResponse(std::move(head));
  client->SendBody(std::string(kLargeBody, 'x'));
}

TEST_CASE("an HTTP/1.0 client gets all that was sent, then a reset on a cut") {
  Running running([](const std::shared_ptr<ServerConnection>& client) {
    BeginLargeResponse(client);
    client->Abort();
  });
  RawClient client(running.address());
  client.Send(OldRequest());
  const std::string response = client.ReadToEnd();
  CHECK(response.size() > kLargeBody);
  CHECK(client.was_reset());
}

TEST_CASE("an HTTP/1.0 client sees an ordinary end of a complete response") {
  Running running([](const std::shared_ptr<ServerConnection>& client) {
    BeginLargeResponse(client);
    client->FinishResponse();
  });
  RawClient client(running.address());
  client.Send(OldRequest());
  const std::string response = client.ReadToEnd();
  CHECK(response.size() > kLargeBody);
  CHECK_FALSE(client.was_reset());
}

TEST_CASE("an HTTP/1.0 client sees a reset when the server ends meanwhile") {
  absl::Notification begun;
  Running running([&](const std::shared_ptr<ServerConnection>& client) {
    ResponseHead head;
    head.status = 200;
    head.reason = "OK";
    client->BeginResponse(std::move(head));
    client->SendBody("part");
    begun.Notify();
  });
  RawClient client(running.address());
  client.Send(OldRequest());
  begun.WaitForNotification();
  CHECK_THAT(client.ReadUntil("part"), Catch::EndsWith("part"));
  boost::asio::post(running.loop(), [&] { running.server().CloseAll(); });
  CHECK(client.ReadToEnd().empty());
  CHECK(client.was_reset());
}

TEST_CASE("an answer that began before a stop takes no request after it") {
  // The response head lacks `Connection: close`, as it was sent before the
  // shutdown. A further request on the connection would have too little time.
  std::shared_ptr<ServerConnection> first;
  int handled = 0;
  absl::Notification begun;
  Running running([&](std::shared_ptr<ServerConnection> client) {
    if (++handled > 1) {
      Echo(client);
      return;
    }
    first = client;
    ResponseHead head;
    head.status = 200;
    client->BeginResponse(head);
    client->SendBody("part");
    begun.Notify();
  });
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  begun.WaitForNotification();
  OnLoop(running, [&] {
    running.server().StartDraining();
    running.server().CloseIdle();
    first->FinishResponse();
    first.reset();
  });
  client.Send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_THAT(client.ReadToEnd(), Catch::EndsWith("part\r\n0\r\n\r\n"));
  CHECK(handled == 1);
}

TEST_CASE("a request still being sent at the end of a shutdown is refused") {
  int handled = 0;
  Running running([&](std::shared_ptr<ServerConnection> client) {
    ++handled;
    Echo(client);
  });
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  client.ReadAnswer();
  client.Send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n1");
  // The partial request has been read once a later connection is answered.
  RawClient other(running.address());
  other.Send("GET /c HTTP/1.1\r\nHost: x\r\n\r\n");
  other.ReadAnswer();
  OnLoop(running, [&] {
    running.server().StartDraining();
    running.server().CloseIdle();
  });
  client.Send("2");
  CHECK_THAT(client.ReadToEnd(), Catch::StartsWith("HTTP/1.1 503"));
  CHECK(handled == 2);
}

TEST_CASE("a connection made before listening ends is served") {
  Running running(Echo);
  std::unique_ptr<RawClient> client;
  OnLoop(running, [&] {
    // The server can't accept it before this function returns.
    client = std::make_unique<RawClient>(running.address());
    client->Send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
    running.server().StopListening();
  });
  CHECK_THAT(client->ReadAnswer(), Catch::EndsWith("/late"));
  CHECK_FALSE(RawClient(running.address()).connected());
}

TEST_CASE("responses carry Connection: close while draining") {
  Running running(Echo);
  running.server().StartDraining();
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  const std::string response = client.ReadToEnd();
  CHECK_THAT(response, Catch::Contains("Connection: close"));
  CHECK_THAT(response, Catch::EndsWith("/a"));
}

// More than the sockets of a connection hold.
constexpr size_t kHugeBody = size_t{16} << 20;

void RespondHuge(const std::shared_ptr<ServerConnection>& client) {
  ResponseHead head;
  head.status = 200;
  head.reason = "OK";
  client->Respond(std::move(head), std::string(kHugeBody, 'x'));
}

// A stopping instance closed connections whose last response was still on its
// way: it counted them as idle.
TEST_CASE("closing idle connections cuts no response that is being delivered") {
  for (const bool closes : {true, false}) {
    CAPTURE(closes);
    absl::Notification answered;
    Running running([&](const std::shared_ptr<ServerConnection>& client) {
      RespondHuge(client);
      answered.Notify();
    });
    RawClient client(running.address());
    client.Send(absl::StrCat("GET /a HTTP/1.1\r\nHost: x\r\n",
                             closes ? "Connection: close\r\n" : "", "\r\n"));
    answered.WaitForNotification();
    OnLoop(running, [&] {
      running.server().CloseIdle();
      CHECK(running.server().CountUndelivered() == 1);
    });
    CHECK(client.ReadToEnd().size() > kHugeBody);
    CHECK_FALSE(client.was_reset());
  }
}

// The time to wait for the client ran from the response's end, not from the
// client's last progress.
TEST_CASE("a client that pauses gets the end of a response that closes") {
  Running running(RespondHuge);
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  absl::SleepFor(absl::Seconds(2));
  CHECK(client.ReadToEnd().size() > kHugeBody);
  CHECK_FALSE(client.was_reset());
}

TEST_CASE("a client that pauses gets the end of a response on a kept one") {
  ServerLimits limits;
  limits.idle_timeout = absl::Seconds(1);
  Running running(RespondHuge, limits);
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  for (int i = 0; i < 3; ++i) {
    absl::SleepFor(absl::Milliseconds(700));
    client.ReadSome();
  }
  CHECK(client.ReadToEnd().size() > kHugeBody);
  CHECK_FALSE(client.was_reset());
}

TEST_CASE("input after the last request doesn't cut its response") {
  Running running(RespondHuge);
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
              std::string(100000, 'y'));
  absl::SleepFor(absl::Milliseconds(300));
  OnLoop(running, [&] { running.server().CloseIdle(); });
  client.Send(std::string(100000, 'y'));
  CHECK(client.ReadToEnd().size() > kHugeBody);
}

TEST_CASE("a client that has closed its side still gets the last response") {
  absl::Notification answered;
  Running running([&](const std::shared_ptr<ServerConnection>& client) {
    RespondHuge(client);
    answered.Notify();
  });
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  answered.WaitForNotification();
  client.CloseSending();
  CHECK(client.ReadToEnd().size() > kHugeBody);
  CHECK_FALSE(client.was_reset());
}

TEST_CASE("a client that never reads its last response is given up") {
  ServerLimits limits;
  limits.idle_timeout = absl::Milliseconds(100);
  for (const char* connection : {"Connection: close\r\n", ""}) {
    CAPTURE(connection);
    Running running(RespondHuge, limits);
    RawClient client(running.address());
    client.Send(
        absl::StrCat("GET /a HTTP/1.1\r\nHost: x\r\n", connection, "\r\n"));
    size_t left = 1;
    while (left > 0) {
      absl::SleepFor(absl::Milliseconds(20));
      OnLoop(running, [&] { left = running.server().connections(); });
    }
    CHECK(client.ReadToEnd().size() < kHugeBody);
  }
}

TEST_CASE("a response is undelivered until its bytes have gone") {
  std::shared_ptr<ServerConnection> open;
  absl::Notification handled;
  Running running([&](std::shared_ptr<ServerConnection> client) {
    open = std::move(client);
    handled.Notify();
  });
  RawClient client(running.address());
  client.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  handled.WaitForNotification();
  OnLoop(running, [&] {
    CHECK(running.server().CountUndelivered() == 1);
    RespondHuge(open);
    open.reset();
    CHECK(running.server().CountUndelivered() == 1);
    CHECK(running.server().busy() == 0);
  });
  CHECK(client.ReadAnswer().size() > kHugeBody);
  size_t undelivered = 1;
  while (undelivered > 0) {
    OnLoop(running, [&] { undelivered = running.server().CountUndelivered(); });
  }
}

}  // namespace
}  // namespace umbertrail::net
