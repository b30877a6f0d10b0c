#include "reference.h"

#include "absl/strings/str_cat.h"

namespace umbertrail::sim {
namespace {

// A node handles its timers this soon after they are due when it isn't paused.
constexpr absl::Duration kDeadlineSlack = absl::Milliseconds(200);

}  // namespace

std::string ExpectedText(const std::string& request,
                         int64_t offset,
                         int64_t tokens) {
  return absl::StrCat(request, "[", offset, "+", tokens, "]");
}

void Reference::Submitted(absl::Time now,
                          const std::string& request,
                          absl::Time deadline,
                          const std::string& filing) {
  static_cast<void>(now);
  Call call;
  call.deadline = deadline;
  call.filing = filing;
  calls_[request] = call;
  ++counts_.submitted;
}

void Reference::Lost(const std::string& request) {
  Call& call = calls_[request];
  if (!call.finished) {
    call.lost = true;
    ++counts_.lost;
  }
}

void Reference::Forgive(const std::string& request, absl::Duration pause) {
  calls_[request].deadline += pause;
}

bool Reference::IsOpen(const std::string& request) const {
  const auto it = calls_.find(request);
  return it != calls_.end() && !it->second.finished && !it->second.lost;
}

void Reference::Chunk(absl::Time now,
                      const std::string& request,
                      int64_t offset,
                      int64_t tokens,
                      const std::string& text) {
  Call& call = calls_[request];
  if (call.finished) {
    Violated(now, absl::StrCat("part after the end of ", request));
  }
  if (offset != call.delivered) {
    Violated(now, absl::StrCat("part out of place in ", request, ": ", offset,
                               " after ", call.delivered));
  }
  if (text != ExpectedText(request, offset, tokens)) {
    Violated(now, absl::StrCat("foreign text in ", request, ": ", text));
  }
  if (now > call.deadline + kDeadlineSlack) {
    Violated(now, absl::StrCat("part after the deadline of ", request));
  }
  call.delivered = offset + tokens;
}

void Reference::Finished(absl::Time now,
                         const std::string& request,
                         const core::Outcome& outcome) {
  Call& call = calls_[request];
  if (call.finished) {
    Violated(now, absl::StrCat("second outcome of ", request));
  }
  call.finished = true;
  call.finished_at = now;
  if (now > call.deadline + kDeadlineSlack) {
    Violated(now, absl::StrCat("outcome after the deadline of ", request));
  }
  const bool ok = outcome.reason == core::Reason::kOk;
  if (ok && call.filing.empty() && outcome.total.value() != call.delivered) {
    Violated(now, absl::StrCat("cut answer called whole: ", request));
  }
  call.said_not_run = outcome.ran == core::Ran::kNo;
  if (call.said_not_run && call.runs > 0) {
    Violated(now, absl::StrCat("said not run, but ran: ", request));
  }
  if (call.said_not_run && !call.filing.empty() &&
      once_runs_[call.filing] > 0) {
    Violated(now, absl::StrCat("filing said not run, but ran: ", call.filing));
  }
  ++counts_.by_reason[outcome.reason];
  if (ok) {
    ++counts_.whole;
  } else if (outcome.ran == core::Ran::kNo) {
    ++counts_.refused;
  } else {
    ++counts_.failed;
  }
}

void Reference::Ran(absl::Time now, const std::string& request) {
  Call& call = calls_[request];
  ++call.runs;
  if (call.said_not_run) {
    Violated(now, absl::StrCat("ran after it was said not run: ", request));
  }
}

void Reference::RanFiling(absl::Time now, const std::string& filing) {
  ++counts_.filings_run;
  if (++once_runs_[filing] > 1) {
    Violated(now, absl::StrCat("doubled filing: ", filing));
  }
}

void Reference::Violated(absl::Time now, std::string what) {
  violations_.push_back({now, std::move(what)});
}

void Reference::Conclude(absl::Time now) {
  for (const auto& [request, call] : calls_) {
    if (!call.finished && !call.lost) {
      Violated(now, absl::StrCat("no outcome: ", request));
    }
  }
}

}  // namespace umbertrail::sim
