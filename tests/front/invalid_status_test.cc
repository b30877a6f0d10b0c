#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

// Targets of which the first that is asked answers with a status line of its
// own, sealed and whole otherwise; the others serve.
class OddStatusFleet {
 public:
  explicit OddStatusFleet(const std::string& status) : status_(status) {
    store_.Put("op/config", testing::SampleConfig(1));
    for (int i = 0; i < 2; ++i) {
      targets_.push_back(std::make_unique<FakeServer>(
          [this](FakeConnection& connection) { Serve(connection); }));
      store_.Put(absl::StrCat("servers/t", i),
                 testing::ServerEntry(targets_.back()->address(), "ready"));
    }
    front_ = std::make_unique<testing::RunningFront>(
        testing::LoopbackSettings(store_));
    front_->AwaitReady();
  }

  std::string Ask(const std::string& path) const {
    testing::RawClient client(front_->callers());
    client.Send(testing::PlatformRequest(path, "id1", "k1"));
    return client.ReadAnswer();
  }
  int runs() const { return runs_; }

 private:
  void Serve(FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      if (runs_++ > 0) {
        return connection.Write(testing::WholeAnswer(request, "done"));
      }
      return connection.Write(
          absl::StrCat("HTTP/1.1 ", status_, " X\r\n", testing::EchoId(request),
                       "X-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nodd"));
    });
  }

  const std::string status_;
  std::atomic<int> runs_{0};
  testing::StandInStore store_;
  std::vector<std::unique_ptr<FakeServer>> targets_;
  std::unique_ptr<testing::RunningFront> front_;
};

// Status 000 of a target reached callers. What such a message says of the
// request can't be relied on either, X-Not-Executed included: it may have run.
TEST_CASE("a target's response with an invalid status is a failed attempt") {
  const std::string status = GENERATE("000", "099", "600", "999");
  CAPTURE(status);
  OddStatusFleet once(status);
  CHECK_THAT(once.Ask("/once/x"), Catch::StartsWith("HTTP/1.1 502"));
  CHECK(once.runs() == 1);
  OddStatusFleet safe(status);
  CHECK_THAT(safe.Ask("/safe/x"),
             Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("done"));
  CHECK(safe.runs() == 2);
}

}  // namespace
}  // namespace umbertrail::front
