#include "stand_in_target.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "front/target_answers.h"
#include "umbertrail/base/hash.h"

namespace umbertrail::soak {
namespace {

using testing::Chunk;
using testing::EchoId;
using testing::FakeConnection;
using testing::HeaderOf;
using testing::StreamHead;
using testing::WholeAnswer;

constexpr absl::Duration kWork = absl::Milliseconds(10);
constexpr absl::Duration kEventInterval = absl::Milliseconds(40);
// One of so many answers has neither a length nor chunks.
constexpr uint64_t kUnframedOneIn = 3;

bool IsUnframed(const std::string& id) {
  return StableHash(id) % kUnframedOneIn == 0;
}

std::string UnframedHead(const std::string& request) {
  return testing::UnframedAnswer(request, "");
}

}  // namespace

StandInTarget::StandInTarget(std::string id, Judge* judge)
    : id_(std::move(id)),
      judge_(judge),
      server_([this](FakeConnection& connection) { Serve(connection); }) {}

void StandInTarget::SilenceUntil(absl::Time until) {
  absl::MutexLock lock(&mutex_);
  silent_until_ = until;
}

void StandInTarget::ResetUntil(absl::Time until) {
  absl::MutexLock lock(&mutex_);
  reset_until_ = until;
}

void StandInTarget::AwaitVoice() const {
  absl::Time until;
  {
    absl::MutexLock lock(&mutex_);
    until = silent_until_;
  }
  absl::SleepFor(until - absl::Now());
}

void StandInTarget::Serve(FakeConnection& connection) {
  testing::ServeRequests(connection, [&](const std::string& request) {
    if (testing::IsReportRequest(request)) {
      AwaitVoice();
      connection.Write(testing::ReportAnswer(request, id_, 0));
      return true;
    }
    if (HeaderOf(request, "X-Expect-Instance") != id_) {
      connection.Write(absl::StrCat("HTTP/1.1 421 X\r\n", EchoId(request),
                                    "X-Not-Executed: instance\r\n"
                                    "Content-Length: 0\r\n\r\n"));
      return true;
    }
    judge_->Ran(absl::Now(), HeaderOf(request, "X-Attempt-Id"),
                HeaderOf(request, "X-Tenant"));
    {
      absl::MutexLock lock(&mutex_);
      if (absl::Now() < reset_until_) {
        connection.Reset();
        return false;
      }
    }
    if (absl::StartsWith(request, "POST /stream/")) {
      Stream(request, connection);
    } else {
      Answer(request, connection);
    }
    return !IsUnframed(HeaderOf(request, "X-Attempt-Id"));
  });
}

void StandInTarget::Answer(const std::string& request,
                           FakeConnection& connection) {
  absl::SleepFor(kWork);
  AwaitVoice();
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  connection.Write(IsUnframed(id)
                       ? testing::UnframedAnswer(request, BodyFor(id))
                       : WholeAnswer(request, BodyFor(id)));
}

void StandInTarget::Stream(const std::string& request,
                           FakeConnection& connection) {
  int first = 1;
  int done = 0;
  if (absl::SimpleAtoi(HeaderOf(request, "Last-Event-Id"), &done)) {
    first = done + 1;
  }
  AwaitVoice();
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  const bool is_unframed = IsUnframed(id);
  connection.Write(is_unframed ? UnframedHead(request) : StreamHead(request));
  for (int i = first; i <= kEvents; ++i) {
    absl::SleepFor(kEventInterval);
    AwaitVoice();
    const std::string event = EventFor(id, i);
    connection.Write(is_unframed ? event : Chunk(event));
  }
  if (!is_unframed) {
    connection.Write("0\r\n\r\n");
  }
}

}  // namespace umbertrail::soak
