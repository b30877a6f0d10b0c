#include "judge.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace umbertrail::soak {
namespace {

// An answer may come this much after the request's time limit: the machine has
// other work.
constexpr absl::Duration kLateSlack = absl::Seconds(5);
// Statuses that promise that the request never runs.
constexpr std::array<int, 4> kNeverRan = {408, 421, 429, 503};
// Statuses by which a caller is told that it may not ask this.
constexpr std::array<int, 3> kDenied = {401, 403, 404};

template <size_t N>
bool IsOneOf(const std::array<int, N>& statuses, int status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

int StatusOf(const std::string& answer) {
  const std::string start = "HTTP/1.1 ";
  int status = 0;
  if (absl::StartsWith(answer, start)) {
    static_cast<void>(
        absl::SimpleAtoi(answer.substr(start.size(), 3), &status));
  }
  return status;
}

std::string BodyOf(const std::string& answer) {
  const size_t end = answer.find("\r\n\r\n");
  return end == std::string::npos ? "" : answer.substr(end + 4);
}

std::string WholeBodyOf(const Asked& asked) {
  if (asked.kind != Kind::kStream) {
    return BodyFor(asked.id);
  }
  std::string body;
  for (int i = 1; i <= kEvents; ++i) {
    body += EventFor(asked.id, i);
  }
  return body;
}

}  // namespace

std::string BodyFor(const std::string& id) {
  return absl::StrCat("answer to ", id);
}

std::string EventFor(const std::string& id, int number) {
  return absl::StrCat("id: ", number, "\ndata: ", id, "/", number, "\n\n");
}

std::string JoinChunks(const std::string& answer) {
  std::string body = BodyOf(answer);
  std::string joined;
  while (true) {
    const size_t line = body.find("\r\n");
    size_t size = 0;
    if (line == std::string::npos ||
        !absl::SimpleHexAtoi(body.substr(0, line), &size)) {
      return "";
    }
    if (size == 0) {
      return joined;
    }
    if (body.size() < line + 2 + size + 2) {
      return "";
    }
    joined += body.substr(line + 2, size);
    body.erase(0, line + 2 + size + 2);
  }
}

void Judge::NoteBreak(absl::Time until) {
  absl::MutexLock lock(&mutex_);
  broken_until_ = std::max(broken_until_, until);
}

void Judge::NoteRevoked(const std::string& account, absl::Time after) {
  absl::MutexLock lock(&mutex_);
  revoked_[account] = after;
}

void Judge::NoteGranted(const std::string& account) {
  absl::MutexLock lock(&mutex_);
  revoked_.erase(account);
}

void Judge::Ran(absl::Time now,
                const std::string& id,
                const std::string& account) {
  absl::MutexLock lock(&mutex_);
  ++runs_[id];
  const auto revoked = revoked_.find(account);
  if (revoked != revoked_.end() && now > revoked->second) {
    faults_.push_back(absl::StrCat(id, ": ran for ", account, " ",
                                   absl::FormatDuration(now - revoked->second),
                                   " after its key was out of force"));
  }
}

void Judge::Ended(const Asked& asked) {
  absl::MutexLock lock(&mutex_);
  if (asked.kind == Kind::kUnsafe && runs_[asked.id] > 1) {
    Fault(asked, absl::StrCat("ran ", runs_[asked.id], " times"));
  }
  const int status = StatusOf(asked.answer);
  if (status == 0) {
    ++counts_["none"];
    JudgeBreak(asked, "no answer");
    return;
  }
  if (asked.ended_at - asked.sent_at > asked.limit + kLateSlack &&
      asked.sent_at > broken_until_) {
    Fault(asked, "answered long after its time limit");
  }
  if (status != 200) {
    JudgeRefusal(asked, status);
    return;
  }
  const std::string body = asked.kind == Kind::kStream
                               ? JoinChunks(asked.answer)
                               : BodyOf(asked.answer);
  if (body == WholeBodyOf(asked)) {
    ++counts_["whole"];
    return;
  }
  if (!absl::StrContains(asked.answer, asked.id) && !body.empty()) {
    Fault(asked, absl::StrCat("another's answer: ", asked.answer));
  }
  if (asked.kind == Kind::kStream && !body.empty()) {
    // It ended in order, and yet events are missing, doubled or mixed.
    Fault(asked, absl::StrCat("a stream ended wrong: ", body));
  }
  ++counts_["cut"];
  JudgeBreak(asked, "cut");
}

void Judge::Broken(const std::string& what) {
  absl::MutexLock lock(&mutex_);
  faults_.push_back(what);
}

void Judge::JudgeRefusal(const Asked& asked, int status) {
  if (IsOneOf(kDenied, status)) {
    ++counts_["denied"];
    return;
  }
  if (!IsOneOf(kNeverRan, status)) {
    ++counts_["failed"];
    JudgeBreak(asked, absl::StrCat("status ", status));
    return;
  }
  ++counts_["refused"];
  if (runs_[asked.id] > 0) {
    Fault(asked, absl::StrCat("was told ", status, " and had run"));
  }
  if (status == 503 && !absl::StrContains(asked.answer, "Retry-After: ")) {
    Fault(asked, "503 without Retry-After");
  }
}

void Judge::JudgeBreak(const Asked& asked, const std::string& what) {
  if (asked.sent_at > broken_until_) {
    Fault(asked, absl::StrCat(what, " while nothing was broken"));
  }
}

void Judge::Fault(const Asked& asked, const std::string& what) {
  faults_.push_back(absl::StrCat(asked.id, " at ", asked.instance, ": ", what));
}

std::vector<std::string> Judge::faults() const {
  absl::MutexLock lock(&mutex_);
  return faults_;
}

std::map<std::string, int> Judge::counts() const {
  absl::MutexLock lock(&mutex_);
  return counts_;
}

}  // namespace umbertrail::soak
