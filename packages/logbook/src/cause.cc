#include "cause.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace umbertrail::logbook {
namespace {

const LogLine* LastOf(const std::vector<LogLine>& lines,
                      absl::string_view event) {
  const auto found =
      std::find_if(lines.rbegin(), lines.rend(),
                   [event](const LogLine& it) { return it.event == event; });
  return found == lines.rend() ? nullptr : &*found;
}

int64_t NumberOr(const LogLine& line, absl::string_view name, int64_t other) {
  return line.Number(name).value_or(other);
}

// Whether the target ended at about that time or was draining before.
std::string TargetStateNote(const RequestReport& report,
                            absl::string_view target) {
  for (const LogLine& it : report.related) {
    if (it.Text("target") != target) {
      continue;
    }
    if (it.event == "target_ended" || it.event == "target_gone") {
      return absl::StrCat("; ", target, " ended at about that time");
    }
    const bool before = it.at_s <= report.lines.back().at_s;
    if (it.event == "target_state" && it.Flag("draining") && before) {
      return absl::StrCat("; ", target, " was draining");
    }
  }
  return "";
}

// Loss of the instance's connection to the store in that time, if any.
std::string StoreStateNote(const RequestReport& report) {
  const LogLine* lost = LastOf(report.related, "store_lost");
  return lost == nullptr
             ? ""
             : absl::StrCat("; the connection to the store had been lost (",
                            lost->Text("why"), ")");
}

// Which configurations the instance and another one held.
std::string LaterConfigNote(const RequestReport& report) {
  const LogLine* line = LastOf(report.related, "config_standing");
  return line == nullptr || line->Text("holder").empty()
             ? ""
             : absl::StrCat("; version ", NumberOr(*line, "version", 0),
                            " here, ", NumberOr(*line, "later_version", 0),
                            " at ", line->Text("holder"));
}

struct Phrase {
  absl::string_view name;
  absl::string_view text;
};

constexpr std::array<Phrase, 12> kFailurePhrases = {{
    {"not_connected", "could not be connected to"},
    {"no_answer", "sent no response"},
    {"broken_off", "sent an incomplete response"},
    {"unreadable", "sent a malformed response"},
    {"silent", "stopped responding"},
    {"not_run", "rejected it as busy without running it"},
    {"unusable", "sent a response that does not continue the stream"},
    {"server_error", "returned a server error"},
    {"ended_in_event", "ended its stream inside an event"},
    {"ended_empty", "ended its stream before the first event"},
    {"ended_by_crash", "was down when its response had ended"},
    {"end_unproven", "ended its response with nothing to show it complete"},
}};

constexpr std::array<Phrase, 5> kNoRetryPhrases = {{
    {"may_have_run", "it may have run and must not run twice"},
    {"answer_begun", "the response had started and cannot be resumed"},
    {"sends_used", "the route allows no further attempt"},
    {"no_time", "too little time was left"},
    {"budget_spent", "the shared retry budget was exhausted"},
}};

template <size_t N>
std::string PhraseOf(const std::array<Phrase, N>& phrases,
                     absl::string_view name) {
  const auto* found =
      std::find_if(phrases.begin(), phrases.end(),
                   [name](const Phrase& it) { return it.name == name; });
  return std::string{found == phrases.end() ? name : found->text};
}

// The last failed attempt, and why it was not retried.
std::string LastAttemptFailure(const RequestReport& report,
                               absl::string_view no_retry_reason) {
  const LogLine* failed = LastOf(report.lines, "attempt_failed");
  if (failed == nullptr) {
    return "";
  }
  const absl::string_view target = failed->Text("target");
  std::string cause =
      absl::StrCat(target, " ", PhraseOf(kFailurePhrases, failed->Text("how")));
  const int64_t status = NumberOr(*failed, "status", 0);
  if (status != 0) {
    absl::StrAppend(&cause, " (", status, ")");
  }
  absl::StrAppend(&cause, " after ", NumberOr(*failed, "after_ms", 0), " ms",
                  TargetStateNote(report, target));
  if (!no_retry_reason.empty()) {
    absl::StrAppend(
        &cause, "; not retried: ", PhraseOf(kNoRetryPhrases, no_retry_reason));
  }
  return cause;
}

// What the request waited for when it timed out or its client left.
std::string WaitedFor(const RequestReport& report) {
  const LogLine* sent = LastOf(report.lines, "sent");
  if (sent == nullptr) {
    return "it had not been sent to a target";
  }
  const absl::string_view target = sent->Text("target");
  const LogLine* first = LastOf(report.lines, "first_event");
  if (first != nullptr && first->Text("target") == target &&
      first->at_s >= sent->at_s) {
    return absl::StrCat(target,
                        " was still streaming; the first event arrived "
                        "after ",
                        NumberOr(*first, "after_ms", 0), " ms, expected after ",
                        NumberOr(*first, "expected_ms", 0), " ms");
  }
  return absl::StrCat(target, " had not responded, expected after ",
                      NumberOr(*sent, "expected_ms", 0), " ms",
                      TargetStateNote(report, target));
}

std::string CauseOfOverload(const LogLine& refused) {
  const int64_t targets = NumberOr(refused, "targets", 0);
  const int64_t earliest_ms = NumberOr(refused, "soonest_ms", -1);
  if (earliest_ms < 0) {
    return absl::StrCat("all ", targets, " targets were at capacity");
  }
  return absl::StrCat("none of ", targets,
                      " targets could return a first event before the client "
                      "gives up; the earliest would take ",
                      earliest_ms, " ms, ", NumberOr(refused, "left_ms", 0),
                      " ms were left");
}

std::string CauseOfNoTarget(const RequestReport& report,
                            const LogLine& refused) {
  const std::string failure = LastAttemptFailure(report, "");
  if (!failure.empty()) {
    return failure;
  }
  const LogLine* closed = LastOf(report.related, "data_centre_closed");
  if (NumberOr(refused, "targets", 0) > 0) {
    return "the chosen target was removed while memory was being reserved for "
           "it";
  }
  return absl::StrCat(
      "the service had no usable target",
      closed == nullptr
          ? ""
          : absl::StrCat("; data centre ", closed->Text("data_centre"),
                         " was closed"));
}

std::string CauseOfRefusal(const RequestReport& report,
                           const LogLine& refused) {
  const absl::string_view why = refused.Text("why");
  const std::string age =
      absl::StrCat(NumberOr(refused, "config_age_ms", 0), " ms ago");
  if (why == "no_config") {
    return absl::StrCat("the instance had not read a configuration yet",
                        StoreStateNote(report));
  }
  if (why == "no_route" || why == "bad_key") {
    const LogLine* config = LastOf(report.related, "config_in_force");
    const std::string version =
        config == nullptr
            ? ""
            : absl::StrCat(" (version ", NumberOr(*config, "version", 0), ")");
    return absl::StrCat("the active configuration", version, ", confirmed ",
                        age, ", has no such ",
                        why == "no_route" ? "route" : "key");
  }
  if (why == "keys_unconfirmed" || why == "config_unconfirmed") {
    return absl::StrCat(
        "the configuration was last confirmed ", age, "; too old to trust its ",
        why == "keys_unconfirmed" ? "keys" : "routes", StoreStateNote(report));
  }
  if (why == "config_unsettled") {
    return "the instance had started, or the store had been restored, and no "
           "other instance had told yet whether it holds a later configuration";
  }
  if (why == "config_behind") {
    return absl::StrCat(
        "the store came back from a copy that lacks a configuration which "
        "another instance holds; the route or key isn't known to be in it",
        LaterConfigNote(report));
  }
  if (why == "no_target") {
    return CauseOfNoTarget(report, refused);
  }
  if (why == "overloaded") {
    return CauseOfOverload(refused);
  }
  if (why == "time_used_up") {
    return absl::StrCat("it timed out: ", WaitedFor(report));
  }
  if (why == "poison") {
    return "targets crashed on the same request, or on a part of its prompt";
  }
  if (why == "bad_request") {
    return "its head is not a valid request of the platform";
  }
  if (why == "target_failed" || why == "target_busy") {
    return LastAttemptFailure(report, refused.Text("not_again"));
  }
  return "";
}

std::string CauseOfUnknownOutcome(const RequestReport& report) {
  for (const LogLine& it : report.related) {
    if (it.event == "start" && it.at_s >= report.lines.back().at_s) {
      return "the instance terminated unexpectedly and was restarted";
    }
  }
  return report.left_out > 0 ? "its outcome is among the dropped log lines"
                             : "";
}

}  // namespace

std::string CauseOf(const RequestReport& report) {
  const LogLine* refused = LastOf(report.lines, "refused");
  const LogLine* ended = LastOf(report.lines, "ended");
  switch (report.outcome) {
    case RequestOutcome::kRefused:
    case RequestOutcome::kCut:
      return refused == nullptr ? "" : CauseOfRefusal(report, *refused);
    case RequestOutcome::kClientGone:
      return absl::StrCat("the client disconnected after ",
                          NumberOr(*ended, "took_ms", 0),
                          " ms: ", WaitedFor(report));
    case RequestOutcome::kAnswered:
      return report.failed
                 ? LastAttemptFailure(report, ended->Text("not_again"))
                 : "";
    case RequestOutcome::kUnknown:
      return CauseOfUnknownOutcome(report);
  }
  return "";
}

}  // namespace umbertrail::logbook
