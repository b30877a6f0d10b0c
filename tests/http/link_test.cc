#include <set>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/synchronization/notification.h"
#include "http/fake_server.h"
#include "umbertrail/http.h"

namespace umbertrail::http {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

constexpr size_t kMaxBody = 1000;
// Longer than any delay of a busy machine.
constexpr absl::Duration kPatience = absl::Seconds(60);

Call GetCall() {
  Call call;
  call.method = "GET";
  call.path = "/";
  return call;
}

LinkSettings SettingsFor(const std::string& address) {
  LinkSettings settings;
  settings.address = address;
  settings.connect_timeout = kPatience;
  settings.progress_limit = kPatience;
  return settings;
}

Fault FaultAgainst(FakeServer::Script script) {
  FakeServer server(std::move(script));
  Link link(SettingsFor(server.address()));
  return link.Send(GetCall(), kMaxBody).fault;
}

TEST_CASE("a whole answer comes with its status and body") {
  FakeServer server([](FakeConnection& it) {
    it.ReadRequest();
    it.Write(testing::HttpAnswer(404, "nothing here"));
  });
  Link link(SettingsFor(server.address()));
  const Answer answer = link.Send(GetCall(), kMaxBody);
  CHECK(answer.fault == Fault::kNone);
  CHECK(answer.status == 404);
  CHECK(answer.body == "nothing here");
  CHECK(answer.delimited);
}

TEST_CASE("a refused connection is told from one that broke") {
  Link link(SettingsFor(testing::RefusingAddress()));
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kRefused);
  CHECK(FaultAgainst([](FakeConnection&) {}) == Fault::kBroken);
  CHECK(FaultAgainst([](FakeConnection& it) {
          it.ReadRequest();
          it.Reset();
        }) == Fault::kBroken);
}

TEST_CASE("an answer shorter than its length is broken") {
  CHECK(FaultAgainst([](FakeConnection& it) {
          it.ReadRequest();
          it.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        }) == Fault::kBroken);
}

// The library accepts any three digits, so that 000 looked like an answer whose
// head was never read, and 999 like an answer of its own kind.
TEST_CASE("an answer with a status outside 100 to 599 is broken") {
  const std::string status = GENERATE("000", "099", "600", "999");
  CAPTURE(status);
  FakeServer server([&](FakeConnection& it) {
    it.ReadRequest();
    it.Write("HTTP/1.1 " + status + " X\r\nContent-Length: 3\r\n\r\nabc");
    it.AwaitClose();
  });
  Link link(SettingsFor(server.address()));
  const Answer answer = link.Send(GetCall(), kMaxBody);
  CHECK(answer.fault == Fault::kBroken);
  CHECK(answer.status == 0);
  CHECK(answer.body.empty());
}

TEST_CASE("an answer that no length or chunk ends is marked") {
  FakeServer server([](FakeConnection& it) {
    it.ReadRequest();
    it.Write("HTTP/1.1 200 OK\r\n\r\nabc");
  });
  Link link(SettingsFor(server.address()));
  CHECK_FALSE(link.Send(GetCall(), kMaxBody).delimited);
}

TEST_CASE("a silent connection ends at the progress limit") {
  FakeServer server([](FakeConnection& it) { it.AwaitClose(); });
  LinkSettings settings = SettingsFor(server.address());
  settings.progress_limit = absl::Milliseconds(200);
  Link link(settings);
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kSilent);
}

TEST_CASE("an answer over its size limit is given up") {
  CHECK(FaultAgainst([](FakeConnection& it) {
          it.ReadRequest();
          it.Write(testing::HttpAnswer(200, std::string(kMaxBody + 1, 'x')));
        }) == Fault::kTooLarge);
}

TEST_CASE("abort ends the call under way and each later one") {
  absl::Notification asked;
  FakeServer server([&](FakeConnection& it) {
    it.ReadRequest();
    asked.Notify();
    it.AwaitClose();
  });
  LinkSettings settings = SettingsFor(server.address());
  settings.progress_limit = absl::Minutes(5);
  Link link(settings);
  std::thread aborter([&] {
    asked.WaitForNotification();
    link.Abort();
  });
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kStopped);
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kStopped);
  aborter.join();
  CHECK(server.connections() == 1);
}

TEST_CASE("a call is never sent twice on a kept connection") {
  FakeServer server([](FakeConnection& it) {
    it.ReadRequest();
    it.Write(testing::HttpAnswer(200, "one"));
    it.ReadRequest();
  });
  LinkSettings settings = SettingsFor(server.address());
  settings.keep_alive = true;
  Link link(settings);
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kNone);
  CHECK(link.Send(GetCall(), kMaxBody).fault == Fault::kBroken);
  CHECK(server.connections() == 1);
}

// Two listeners of one instance got the same port, and the test hung.
TEST_CASE("addresses that refuse connections are all different") {
  constexpr size_t kCalls = 2000;
  std::set<std::string> addresses;
  for (size_t i = 0; i < kCalls; ++i) {
    addresses.insert(testing::RefusingAddress());
  }
  CHECK(addresses.size() == kCalls);
}

}  // namespace
}  // namespace umbertrail::http
