#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

// Planned stops while a client reads slowly. A response is complete for its
// instance before its last bytes have reached the client, and the stop must
// wait for them.

namespace umbertrail::front {
namespace {

using testing::Chunk;
using testing::FakeConnection;
using testing::FakeServer;

constexpr int kEvents = 20;
constexpr size_t kEventBytes = 16384;
// Less than the response, so that most of it waits at the instance.
constexpr int kClientBuffer = 8192;
// By then a stopping instance closes idle connections, some times a second.
constexpr absl::Duration kUntilIdleClosed = absl::Seconds(3);
constexpr int kPieces = 30;
constexpr absl::Duration kPieceInterval = absl::Milliseconds(10);

TEST_CASE("a stopping instance delivers the end of an answer read slowly") {
  absl::Notification finish;
  FakeServer target([&](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      if (testing::IsReportRequest(request)) {
        return connection.Write(testing::ReportAnswer(request, "t0", 0));
      }
      connection.Write(testing::StreamHead(request) +
                       Chunk("id: 0\ndata: first\n\n"));
      finish.WaitForNotification();
      for (int i = 1; i <= kEvents; ++i) {
        connection.Write(Chunk(absl::StrCat(
            "id: ", i, "\ndata: ", std::string(kEventBytes, 'x'), "\n\n")));
      }
      return connection.Write("0\r\n\r\n");
    });
  });
  testing::StandInStore store;
  store.Put("op/config", testing::SampleConfig(1));
  store.Put("servers/t0", testing::ServerEntry(target.address(), "ready"));
  testing::RunningFront front(testing::LoopbackSettings(store));
  front.AwaitReady();
  testing::RawClient client(front.callers(), kClientBuffer);
  client.Send(testing::PlatformRequest("/stream/x", "id1", "k1"));
  CHECK_THAT(client.ReadUntil("first"), Catch::StartsWith("HTTP/1.1 200"));
  front.RequestStop();
  absl::SleepFor(kUntilIdleClosed);
  finish.Notify();
  // The client begins its next request before it reads on.
  for (int i = 0; i < kPieces; ++i) {
    client.Send("POST /stream/x HTTP/1.1\r\n");
    absl::SleepFor(kPieceInterval);
  }
  const std::string rest = client.ReadToEnd();
  CHECK(rest.size() > kEvents * kEventBytes);
  CHECK_THAT(rest, Catch::EndsWith("0\r\n\r\n"));
  CHECK_FALSE(client.was_reset());
  front.AwaitExit();
}

}  // namespace
}  // namespace umbertrail::front
