#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"
#include "front/target_answers.h"
#include "net/raw_client.h"

// Responses that a target sends while the instance still sends the request, and
// after which it ends the connection.

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

// More than the sockets between the instance and a target hold.
constexpr size_t kUpload = 4000000;
constexpr int kReceiveBuffer = 4096;
// Without these waits the faults show less often.
constexpr absl::Duration kUntilBuffersAreFull = absl::Milliseconds(100);
constexpr absl::Duration kUntilHeadIsRead = absl::Milliseconds(50);

// How the target marks the end of its response.
enum class Framing { kLength, kChunks, kConnection };
enum class Close { kReset, kUnreadBytes, kEnd };

struct Row {
  int status = 200;
  Framing framing = Framing::kConnection;
  // The whole body is sent, not a part.
  bool whole = false;
  Close close = Close::kReset;
  std::string path = "/once/x";
};

std::string Response(const Row& row, const std::string& request) {
  const std::string sent = row.whole ? "early body" : "early";
  std::string response =
      absl::StrCat("HTTP/1.1 ", row.status, " X\r\n", testing::EchoId(request),
                   row.status == 503 ? "X-Not-Executed: 1\r\n" : "");
  switch (row.framing) {
    case Framing::kLength:
      return response + "Content-Length: 10\r\n\r\n" + sent;
    case Framing::kChunks:
      return absl::StrCat(response, "Transfer-Encoding: chunked\r\n\r\n",
                          testing::Chunk(sent), row.whole ? "0\r\n\r\n" : "");
    case Framing::kConnection:
      break;
  }
  return response + "Connection: close\r\n\r\n" + sent;
}

// Two targets; the first that is asked answers early as the row says, the other
// one serves.
class EarlyFleet {
 public:
  explicit EarlyFleet(const Row& row) : row_(row) {
    store_.Put("op/config", testing::SampleConfig(1));
    for (int i = 0; i < 2; ++i) {
      targets_.push_back(std::make_unique<FakeServer>(
          [this, i](FakeConnection& connection) { Serve(connection, i); },
          kReceiveBuffer));
      store_.Put(absl::StrCat("servers/t", i),
                 testing::ServerEntry(targets_.back()->address(), "ready"));
    }
    front_ = std::make_unique<testing::RunningFront>(
        testing::LoopbackSettings(store_));
    front_->AwaitReady();
  }

  std::string Ask() const {
    testing::RawClient client(front_->callers());
    client.Send(absl::StrReplaceAll(
        testing::PlatformRequest(row_.path, "id1", "k1"),
        {{"Content-Length: 4", absl::StrCat("Content-Length: ", kUpload)},
         {"\r\nbody", "\r\n" + std::string(kUpload, 'x')}}));
    return client.ReadAnswer();
  }
  int runs() const { return runs_; }

 private:
  void Serve(FakeConnection& connection, int target) {
    // An instance may open a connection to see whether a target accepts any.
    if (!connection.AwaitUnreadBytes()) {
      return;
    }
    if (has_ended_.exchange(true)) {
      testing::ServeRequests(connection, [&](const std::string& request) {
        if (testing::IsReportRequest(request)) {
          return connection.Write(
              testing::ReportAnswer(request, absl::StrCat("t", target), 0));
        }
        ++runs_;
        return connection.Write(testing::WholeAnswer(request, "done"));
      });
      return;
    }
    ++runs_;
    absl::SleepFor(kUntilBuffersAreFull);
    connection.Write(Response(row_, "\r\nX-Attempt-Id: id1\r\n"));
    absl::SleepFor(kUntilHeadIsRead);
    if (row_.close == Close::kReset) {
      connection.Reset();
    } else if (row_.close == Close::kEnd) {
      connection.EndSending();
    }
  }

  const Row row_;
  std::atomic<bool> has_ended_{false};
  std::atomic<int> runs_{0};
  testing::StandInStore store_;
  std::vector<std::unique_ptr<FakeServer>> targets_;
  std::unique_ptr<testing::RunningFront> front_;
};

Row AnyRow() {
  Row row;
  row.framing =
      GENERATE(Framing::kLength, Framing::kChunks, Framing::kConnection);
  row.whole = GENERATE(false, true);
  row.close = GENERATE(Close::kReset, Close::kUnreadBytes, Close::kEnd);
  row.path = GENERATE("/once/x", "/safe/x");
  return row;
}

bool IsShownWhole(const Row& row) {
  return row.whole && row.framing != Framing::kConnection;
}

std::string Text(const Row& row) {
  return absl::StrCat("status ", row.status, ", framing ",
                      static_cast<int>(row.framing), ", whole ", row.whole,
                      ", close ", static_cast<int>(row.close), ", ", row.path);
}

// A part of a 200 that its target sent and then closed the connection, while
// the instance still sent the request, reached callers as a complete answer.
TEST_CASE("an early success is complete only if its framing shows it") {
  const Row row = AnyRow();
  INFO(Text(row));
  EarlyFleet fleet(row);
  const std::string answer = fleet.Ask();
  if (IsShownWhole(row)) {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200") &&
                           Catch::EndsWith("early body"));
    CHECK(fleet.runs() == 1);
  } else if (row.path == "/once/x") {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 502"));
    CHECK(fleet.runs() == 1);
  } else {
    CHECK_THAT(answer,
               Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("done"));
    CHECK(fleet.runs() == 2);
  }
}

TEST_CASE("an early error that is whole is passed on") {
  Row row = AnyRow();
  row.status = 400;
  INFO(Text(row));
  EarlyFleet fleet(row);
  const std::string answer = fleet.Ask();
  if (IsShownWhole(row)) {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 400") &&
                           Catch::EndsWith("early body"));
    CHECK(fleet.runs() == 1);
  } else if (row.path == "/once/x") {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 502"));
  } else {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
  }
}

// The head states that the request has not run. Where its body was cut by the
// reset that the unread upload caused, the request counted as one that may have
// run, and was answered with 502.
TEST_CASE("an early head that says not executed holds without its body") {
  Row row = AnyRow();
  row.status = GENERATE(503, 421);
  INFO(Text(row));
  EarlyFleet fleet(row);
  const std::string answer = fleet.Ask();
  if (row.path == "/once/x") {
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 503"));
  } else {
    CHECK_THAT(answer,
               Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("done"));
  }
}

}  // namespace
}  // namespace umbertrail::front
