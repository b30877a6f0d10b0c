#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

constexpr int kTargets = 4;

// Two instances that know each other. To the second one all targets refuse
// connections.
class StrandedFleet {
 public:
  explicit StrandedFleet(testing::FakeServer::Script script) {
    for (testing::StandInStore* store : {&store_, &stranded_store_}) {
      store->Put("op/config", testing::SampleConfig(1));
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

}  // namespace
}  // namespace umbertrail::front
