#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

// Targets, and the store, that send bytes without end where an instance waits
// for something: the instance must bound what it keeps, and the caller must
// not wait for the bytes to end.

namespace umbertrail::front {
namespace {

using testing::Chunk;
using testing::FakeConnection;
using testing::FakeServer;

constexpr size_t kPiece = 65536;
// Far more than an instance may keep; sockets hold some of it.
constexpr size_t kEndless = size_t{128} << 20;

// Writes chunks of `byte` until the caller closes; true if it did.
bool WriteUntilClosed(FakeConnection& connection, char byte) {
  const std::string chunk = Chunk(std::string(kPiece, byte));
  for (size_t written = 0; written < kEndless; written += kPiece) {
    if (!connection.Write(chunk)) {
      return true;
    }
  }
  return false;
}

// An instance with two targets. The first request is answered with `head` and
// a chunked body without end, later ones as a whole.
class EndlessFirstAnswer {
 public:
  explicit EndlessFirstAnswer(std::string (*head)(const std::string& request)) {
    store_.Put("op/config", testing::SampleConfig(1));
    for (int i = 0; i < 2; ++i) {
      targets_.push_back(std::make_unique<FakeServer>(
          [this, head](FakeConnection& connection) {
            testing::ServeRequests(connection, [&](const std::string& request) {
              return Serve(connection, request, head(request));
            });
          }));
      store_.Put(absl::StrCat("servers/t", i),
                 testing::ServerEntry(targets_.back()->address(), "ready"));
    }
    front_ = std::make_unique<testing::RunningFront>(
        testing::LoopbackSettings(store_));
    front_->AwaitReady();
  }

  std::string Ask(const std::string& path) {
    testing::RawClient client(front_->callers());
    client.Send(testing::PlatformRequest(path, "id1", "k1"));
    return client.ReadAnswer();
  }
  // Blocks until the first answer is over; true if the instance closed it.
  bool WasClosed() {
    over_.WaitForNotification();
    return closed_;
  }

 private:
  bool Serve(FakeConnection& connection,
             const std::string& request,
             const std::string& head) {
    if (testing::IsReportRequest(request)) {
      return connection.Write(testing::ReportAnswer(request, "t0", 0));
    }
    if (++requests_ == 1) {
      connection.Write(head);
      closed_ = WriteUntilClosed(connection, 'x');
      over_.Notify();
      return false;
    }
    return connection.Write(testing::StreamHead(request) +
                            Chunk("id: 1\ndata: whole\n\n") + "0\r\n\r\n");
  }

  testing::StandInStore store_;
  std::atomic<int> requests_{0};
  std::atomic<bool> closed_{false};
  absl::Notification over_;
  std::vector<std::unique_ptr<FakeServer>> targets_;
  std::unique_ptr<testing::RunningFront> front_;
};

TEST_CASE("a stream whose event never ends is broken off and resumed") {
  EndlessFirstAnswer fleet(testing::StreamHead);
  const std::string answer = fleet.Ask("/stream/x");
  CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
  CHECK_THAT(answer, Catch::Contains("data: whole") &&
                         !Catch::Contains("xxx") &&
                         Catch::EndsWith("0\r\n\r\n"));
  CHECK(fleet.WasClosed());
}

TEST_CASE("the body of a refusal that never ends doesn't hold up the request") {
  EndlessFirstAnswer fleet([](const std::string& request) {
    return absl::StrCat("HTTP/1.1 503 Full\r\n", testing::EchoId(request),
                        "X-Not-Executed: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
  });
  CHECK_THAT(fleet.Ask("/stream/x"), Catch::Contains("data: whole"));
  CHECK(fleet.WasClosed());
}

TEST_CASE("an answer of the store that never ends is given up") {
  absl::Notification over;
  std::atomic<bool> closed{false};
  std::atomic<int> requests{0};
  FakeServer store([&](FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string&) {
      if (++requests > 1) {
        connection.AwaitClose();
        return false;
      }
      connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      closed = WriteUntilClosed(connection, ' ');
      over.Notify();
      return false;
    });
  });
  testing::StandInStore unused;
  adapter::InstanceSettings settings = testing::LoopbackSettings(unused);
  settings.store_address = store.address();
  testing::RunningFront front(settings);
  over.WaitForNotification();
  CHECK(closed);
}

}  // namespace
}  // namespace umbertrail::front
