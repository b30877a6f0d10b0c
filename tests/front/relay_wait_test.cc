#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

// Requests that wait for a place, in a complete instance with one target. An
// urgent stream runs there until the test ends it, and a long prompt of low
// urgency would pause it.

namespace umbertrail::front {
namespace {

using testing::Chunk;
using testing::FakeConnection;
using testing::FakeServer;
using testing::RawClient;
using testing::RunningFront;
using testing::StandInStore;
using testing::StreamHead;

constexpr char kEvent[] = "id: 1\ndata: e\n\n";

// /quick/ is urgent; /stream/ isn't, and its clients have seconds.
std::string Config() {
  return absl::StrReplaceAll(
      testing::SampleConfig(1),
      {{R"("name":"r/stream/")", R"("priority":5,"name":"r/stream/")"},
       {R"("target_latency_ms":1000)", R"("target_latency_ms":15000)"},
       {R"(,"priority":1)", ""}});
}

std::string LongRequest() {
  return absl::StrReplaceAll(
      testing::PlatformRequest("/stream/x", "id2", "k1"),
      {{"Content-Length", "X-Token-Counts: 60000\r\nContent-Length"}});
}

// Requests may wait.
dispatch::Features Waiting() {
  dispatch::Features features;
  features.fair_shares = true;
  features.waiting_line = true;
  return features;
}

class UrgentStream {
 public:
  UrgentStream()
      : target_([this](FakeConnection& connection) { Serve(connection); }) {
    store_.Put("op/config", Config());
    store_.Put("servers/t0", testing::ServerEntry(target_.address(), "ready"));
  }

  StandInStore& store() { return store_; }
  void End() { ended_.Notify(); }
  // Paths of the requests that the target received before the stream's end, and
  // in all.
  std::vector<std::string> before() const { return before_.All(); }
  std::vector<std::string> all() const { return all_.All(); }

 private:
  void Serve(FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      if (testing::IsReportRequest(request)) {
        return false;
      }
      const std::string path = request.substr(0, request.find(" HTTP"));
      all_.Add(path);
      if (!ended_.HasBeenNotified()) {
        before_.Add(path);
      }
      connection.Write(StreamHead(request) + Chunk(kEvent));
      if (absl::StartsWith(request, "POST /quick/urgent")) {
        ended_.WaitForNotification();
      }
      connection.Write("0\r\n\r\n");
      return true;
    });
  }

  absl::Notification ended_;
  testing::RequestLog before_;
  testing::RequestLog all_;
  StandInStore store_;
  FakeServer target_;
};

// Long enough for several questions for a place.
void LetItWait() {
  absl::SleepFor(absl::Milliseconds(400));
}

// Guards against a long prompt that is refused, or sent at once, where it has
// the time to wait for the end of a more urgent stream.
TEST_CASE("a request waits for an urgent stream, and is then sent") {
  UrgentStream stream;
  RunningFront front(testing::LoopbackSettings(stream.store()), Waiting());
  front.AwaitReady();
  RawClient urgent(front.callers());
  urgent.Send(testing::PlatformRequest("/quick/urgent", "id1", "k1"));
  urgent.ReadUntil(kEvent);
  RawClient patient(front.callers());
  patient.Send(LongRequest());
  LetItWait();
  stream.End();
  CHECK_THAT(patient.ReadAnswer(), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(stream.before() == std::vector<std::string>{"POST /quick/urgent"});
  CHECK(stream.all().size() == 2);
}

// Guards against work for a client that left while its request waited.
TEST_CASE("a request whose client leaves while it waits is never sent") {
  UrgentStream stream;
  RunningFront front(testing::LoopbackSettings(stream.store()), Waiting());
  front.AwaitReady();
  RawClient urgent(front.callers());
  urgent.Send(testing::PlatformRequest("/quick/urgent", "id1", "k1"));
  urgent.ReadUntil(kEvent);
  {
    RawClient patient(front.callers());
    patient.Send(LongRequest());
    LetItWait();
  }
  stream.End();
  urgent.ReadUntil("0\r\n\r\n");
  LetItWait();
  RawClient next(front.callers());
  next.Send(testing::PlatformRequest("/quick/next", "id3", "k1"));
  CHECK_THAT(next.ReadAnswer(), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(stream.all() ==
        std::vector<std::string>{"POST /quick/urgent", "POST /quick/next"});
}

}  // namespace
}  // namespace umbertrail::front
