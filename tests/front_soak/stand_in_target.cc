#include "stand_in_target.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace umbertrail::soak {
namespace {

using testing::FakeConnection;

constexpr absl::Duration kWork = absl::Milliseconds(10);
constexpr absl::Duration kEventInterval = absl::Milliseconds(40);

std::string HeaderOf(const std::string& request, const std::string& name) {
  const std::string mark = absl::StrCat("\r\n", name, ": ");
  const size_t at = request.find(mark);
  if (at == std::string::npos) {
    return "";
  }
  const std::string rest = request.substr(at + mark.size());
  return rest.substr(0, rest.find('\r'));
}

std::string Echo(const std::string& request) {
  return absl::StrCat("X-Attempt-Id: ", HeaderOf(request, "X-Attempt-Id"),
                      "\r\nX-Response-Seal: seal\r\n");
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
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
  while (true) {
    const std::string request = connection.ReadRequest();
    if (request.empty()) {
      return;
    }
    if (HeaderOf(request, "X-Expect-Instance") != id_) {
      connection.Write(absl::StrCat("HTTP/1.1 421 X\r\n", Echo(request),
                                    "X-Not-Executed: instance\r\n"
                                    "Content-Length: 0\r\n\r\n"));
      continue;
    }
    judge_->Ran(absl::Now(), HeaderOf(request, "X-Attempt-Id"),
                HeaderOf(request, "X-Tenant"));
    {
      absl::MutexLock lock(&mutex_);
      if (absl::Now() < reset_until_) {
        connection.Reset();
        return;
      }
    }
    if (absl::StartsWith(request, "POST /stream/")) {
      Stream(request, connection);
    } else {
      Answer(request, connection);
    }
  }
}

void StandInTarget::Answer(const std::string& request,
                           FakeConnection& connection) {
  absl::SleepFor(kWork);
  AwaitVoice();
  const std::string body = BodyFor(HeaderOf(request, "X-Attempt-Id"));
  connection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n", Echo(request),
                                "Content-Length: ", body.size(), "\r\n\r\n",
                                body));
}

void StandInTarget::Stream(const std::string& request,
                           FakeConnection& connection) {
  int first = 1;
  int done = 0;
  if (absl::SimpleAtoi(HeaderOf(request, "Last-Event-Id"), &done)) {
    first = done + 1;
  }
  AwaitVoice();
  connection.Write(absl::StrCat("HTTP/1.1 200 OK\r\n", Echo(request),
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"));
  for (int i = first; i <= kEvents; ++i) {
    absl::SleepFor(kEventInterval);
    AwaitVoice();
    connection.Write(Chunk(EventFor(HeaderOf(request, "X-Attempt-Id"), i)));
  }
  connection.Write("0\r\n\r\n");
}

}  // namespace umbertrail::soak
