#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"
#include "peer_message.h"

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

constexpr int kTargets = 4;

// Two instances that know each other. To the second one all targets refuse
// connections.
class StrandedFleet {
 public:
  explicit StrandedFleet(testing::FakeServer::Script script,
                         const std::string& config = testing::SampleConfig(1)) {
    for (testing::StandInStore* store : {&store_, &stranded_store_}) {
      store->Put("op/config", config);
    }
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back(std::make_unique<FakeServer>(script));
      const std::string key = absl::StrCat("servers/t", i);
      store_.Put(key,
                 testing::ServerEntry(targets_.back()->address(), "ready"));
      stranded_store_.Put(
          key, testing::ServerEntry(testing::RefusingAddress(), "ready"));
    }
    adapter::InstanceSettings settings = testing::LoopbackSettings(store_);
    settings.control_address = testing::RefusingAddress();
    settings.seeds = {"127.0.0.2:1"};
    front_ = std::make_unique<testing::RunningFront>(settings);
    adapter::InstanceSettings stranded = settings;
    stranded.name = InstanceId("front-2");
    stranded.ip = "127.0.0.2";
    stranded.seeds = {"127.0.0.1:1"};
    stranded.store_address = stranded_store_.address();
    for (std::string* address :
         {&stranded.callers_address, &stranded.readiness_address,
          &stranded.control_address}) {
      absl::StrReplaceAll({{"127.0.0.1", "127.0.0.2"}}, address);
    }
    stranded_ = std::make_unique<testing::RunningFront>(stranded);
    front_->AwaitReady();
    stranded_->AwaitReady();
    // Both have heard of each other by gossip.
    absl::SleepFor(absl::Seconds(1));
  }

  const std::string& stranded_callers() const { return stranded_->callers(); }

 private:
  testing::StandInStore store_;
  testing::StandInStore stranded_store_;
  std::vector<std::unique_ptr<FakeServer>> targets_;
  std::unique_ptr<testing::RunningFront> front_;
  std::unique_ptr<testing::RunningFront> stranded_;
};

std::string Ask(const std::string& address, const std::string& request) {
  testing::RawClient client(address);
  client.Send(request);
  return client.ReadAnswer();
}

TEST_CASE("callers of an instance without links to targets are served") {
  StrandedFleet fleet([](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      connection.Write(testing::WholeAnswer(request, "done"));
      return true;
    });
  });
  constexpr int kRequests = 30;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string path = i % 2 == 0 ? "/safe/x" : "/once/x";
    const std::string answer =
        Ask(fleet.stranded_callers(),
            testing::PlatformRequest(path, absl::StrCat("id", i), "k1"));
    if (absl::StartsWith(answer, "HTTP/1.1 200") &&
        absl::EndsWith(answer, "done") &&
        testing::HeaderOf(answer, "X-Response-Seal") == "seal") {
      ++served;
    }
  }
  // The contract's share of what instances with links serve: all.
  CHECK(served * 3 >= kRequests * 2);
}

TEST_CASE("a stream is served through another instance, event by event") {
  StrandedFleet fleet([](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      connection.Write(testing::StreamHead(request) +
                       testing::Chunk("id: 1\ndata: a\n\n") +
                       testing::Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
      return true;
    });
  });
  const std::string answer =
      Ask(fleet.stranded_callers(),
          testing::PlatformRequest("/stream/x", "id1", "k1"));
  CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
  CHECK_THAT(answer, Catch::Contains("id: 1\ndata: a\n\n") &&
                         Catch::Contains("id: 2\ndata: b\n\n") &&
                         Catch::EndsWith("0\r\n\r\n"));
}

TEST_CASE(
    "an unsafe request that broke beyond another instance isn't repeated") {
  std::atomic<int> runs{0};
  StrandedFleet fleet([&](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string&) {
      ++runs;
      return false;
    });
  });
  CHECK_THAT(Ask(fleet.stranded_callers(),
                 testing::PlatformRequest("/once/x", "id1", "k1")),
             Catch::StartsWith("HTTP/1.1 502"));
  CHECK(runs == 1);
}

TEST_CASE("a request passed on is sent to no more targets than it may be") {
  std::atomic<int> runs{0};
  StrandedFleet fleet([&](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string&) {
      ++runs;
      return false;
    });
  });
  CHECK_THAT(Ask(fleet.stranded_callers(),
                 testing::PlatformRequest("/safe/x", "id1", "k1")),
             Catch::StartsWith("HTTP/1.1 502"));
  CHECK(runs == 2);
}

// The other instance took a client's request with this path for the question
// whether it is ready, and its empty 200 reached the client as a success.
TEST_CASE("a request passed on is served whatever its path") {
  std::atomic<int> runs{0};
  StrandedFleet fleet(
      [&](FakeConnection& connection) {
        testing::ServeRequests(connection, [&](const std::string& request) {
          ++runs;
          return connection.Write(testing::WholeAnswer(request, "done"));
        });
      },
      absl::StrReplaceAll(testing::SampleConfig(1), {{"/once/", "/"}}));
  const std::string answer =
      Ask(fleet.stranded_callers(),
          testing::PlatformRequest("/readiness", "id1", "k1"));
  CHECK_THAT(answer,
             Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("done"));
  CHECK(testing::HeaderOf(answer, "X-Response-Seal") == "seal");
  CHECK(runs == 1);
}

// A peer on loopback that states that it reaches targets, and answers the
// requests passed on to it by a script.
class ScriptedPeer {
 public:
  explicit ScriptedPeer(std::string (*answer)(const std::string& request))
      : server_([answer](FakeConnection& connection) {
          testing::ServeRequests(connection, [&](const std::string& request) {
            return connection.Write(answer(request));
          });
        }) {
    store_.Put("op/config", testing::SampleConfig(1));
    store_.Put("servers/t0",
               testing::ServerEntry(testing::RefusingAddress(), "ready"));
    adapter::InstanceSettings settings = testing::LoopbackSettings(store_);
    settings.ip = "127.0.0.2";
    settings.control_address =
        absl::StrReplaceAll(server_.address(), {{"127.0.0.1", settings.ip}});
    front_ = std::make_unique<testing::RunningFront>(settings);
    front_->AwaitReady();
    gossip_ = std::thread([this, port = settings.peer_port] { Gossip(port); });
    // The instance has heard of the peer.
    absl::SleepFor(absl::Milliseconds(300));
  }
  ~ScriptedPeer() {
    stopped_.Notify();
    gossip_.join();
  }

  const std::string& callers() const { return front_->callers(); }

 private:
  void Gossip(int port) {
    using Udp = boost::asio::ip::udp;
    using boost::asio::ip::make_address_v4;
    net::Loop loop(1);
    Udp::socket socket(loop, Udp::endpoint(make_address_v4("127.0.0.1"), 0));
    const Udp::endpoint to(make_address_v4("127.0.0.2"),
                           static_cast<uint16_t>(port));
    PeerMessage message;
    message.incarnation = 9;
    message.reaches_targets = true;
    do {
      ++message.sequence;
      socket.send_to(boost::asio::buffer(EncodePeerMessage(message) +
                                         EncodePeerTrailer(PeerTrailer())),
                     to);
    } while (!stopped_.WaitForNotificationWithTimeout(absl::Milliseconds(50)));
  }

  testing::StandInStore store_;
  FakeServer server_;
  std::unique_ptr<testing::RunningFront> front_;
  absl::Notification stopped_;
  std::thread gossip_;
};

// Whoever sends it: a success that no target signed must not reach a client.
TEST_CASE("another instance's success without a target's seal is rejected") {
  ScriptedPeer unsigned_peer([](const std::string& request) {
    return absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ",
                        testing::HeaderOf(request, "X-Attempt-Id"),
                        "\r\nContent-Length: 5\r\n\r\nwrong");
  });
  for (const std::string path : {"/once/x", "/live/x"}) {
    CHECK_THAT(Ask(unsigned_peer.callers(),
                   testing::PlatformRequest(path, "id1", "k1")),
               Catch::StartsWith("HTTP/1.1 502"));
  }
}

TEST_CASE("another instance's success for another request is rejected") {
  ScriptedPeer confused_peer([](const std::string&) {
    return std::string(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: seal\r\n"
        "Content-Length: 5\r\n\r\nwrong");
  });
  CHECK_THAT(Ask(confused_peer.callers(),
                 testing::PlatformRequest("/once/x", "id1", "k1")),
             Catch::StartsWith("HTTP/1.1 502"));
}

// An instance of an older build passes a target's status 000 on.
TEST_CASE("another instance's response with an invalid status is rejected") {
  ScriptedPeer peer([](const std::string& request) {
    return absl::StrCat("HTTP/1.1 000 X\r\n", testing::EchoId(request),
                        "Content-Length: 3\r\n\r\nodd");
  });
  CHECK_THAT(
      Ask(peer.callers(), testing::PlatformRequest("/once/x", "id1", "k1")),
      Catch::StartsWith("HTTP/1.1 502"));
}

TEST_CASE("another instance's sealed success is passed on") {
  ScriptedPeer peer([](const std::string& request) {
    return testing::WholeAnswer(request, "done");
  });
  CHECK_THAT(
      Ask(peer.callers(), testing::PlatformRequest("/once/x", "id1", "k1")),
      Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("done"));
}

}  // namespace
}  // namespace umbertrail::front
