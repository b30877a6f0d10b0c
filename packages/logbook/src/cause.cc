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

// State changes of the target in that time.
std::string TargetNews(const RequestReport& story, absl::string_view target) {
  for (const LogLine& it : story.related) {
    if (it.Text("target") != target) {
      continue;
    }
    if (it.event == "target_ended" || it.event == "target_gone") {
      return absl::StrCat("; ", target, " ended about then");
    }
    const bool before = it.at_s <= story.lines.back().at_s;
    if (it.event == "target_state" && it.Flag("draining") && before) {
      return absl::StrCat("; ", target, " was draining");
    }
  }
  return "";
}

std::string StoreNews(const RequestReport& story) {
  const LogLine* lost = LastOf(story.related, "store_lost");
  return lost == nullptr ? ""
                         : absl::StrCat("; the store was lost before (",
                                        lost->Text("why"), ")");
}

struct Phrase {
  absl::string_view name;
  absl::string_view text;
};

constexpr std::array<Phrase, 8> kHow = {{
    {"not_connected", "could not be connected to"},
    {"no_answer", "gave no answer"},
    {"broken_off", "broke its answer off"},
    {"unreadable", "answered what could not be read"},
    {"silent", "fell silent"},
    {"not_run", "was busy and did not run it"},
    {"unusable", "gave an answer that was no part of the stream"},
    {"server_error", "answered with an error"},
}};

constexpr std::array<Phrase, 5> kNotAgain = {{
    {"may_have_run", "it may have run and is not sent twice"},
    {"answer_begun", "its answer had begun and can't be continued"},
    {"sends_used", "the route allows no further send"},
    {"no_time", "too little of its time was left"},
    {"budget_spent", "the shared budget of further sends was spent"},
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
std::string LastFailure(const RequestReport& story,
                        absl::string_view not_again) {
  const LogLine* failed = LastOf(story.lines, "attempt_failed");
  if (failed == nullptr) {
    return "";
  }
  const absl::string_view target = failed->Text("target");
  std::string cause =
      absl::StrCat(target, " ", PhraseOf(kHow, failed->Text("how")));
  const int64_t status = NumberOr(*failed, "status", 0);
  if (status != 0) {
    absl::StrAppend(&cause, " (", status, ")");
  }
  absl::StrAppend(&cause, " after ", NumberOr(*failed, "after_ms", 0), " ms",
                  TargetNews(story, target));
  if (!not_again.empty()) {
    absl::StrAppend(&cause,
                    "; not sent again: ", PhraseOf(kNotAgain, not_again));
  }
  return cause;
}

// What the request waited for when it timed out or its client left.
std::string WaitedFor(const RequestReport& story) {
  const LogLine* sent = LastOf(story.lines, "sent");
  if (sent == nullptr) {
    return "it had not been sent";
  }
  const absl::string_view target = sent->Text("target");
  const LogLine* first = LastOf(story.lines, "first_event");
  if (first != nullptr && first->Text("target") == target &&
      first->at_s >= sent->at_s) {
    return absl::StrCat(target,
                        " was still streaming; its first event had come "
                        "after ",
                        NumberOr(*first, "after_ms", 0), " ms, expected after ",
                        NumberOr(*first, "expected_ms", 0));
  }
  return absl::StrCat(target, " had given nothing, expected after ",
                      NumberOr(*sent, "expected_ms", 0), " ms",
                      TargetNews(story, target));
}

std::string CauseOfOverload(const LogLine& refused) {
  const int64_t targets = NumberOr(refused, "targets", 0);
  const int64_t soonest = NumberOr(refused, "soonest_ms", -1);
  if (soonest < 0) {
    return absl::StrCat("each of ", targets, " targets held all that it takes");
  }
  return absl::StrCat("none of ", targets,
                      " targets could give a first event before its caller "
                      "leaves; the soonest would take ",
                      soonest, " ms, ", NumberOr(refused, "left_ms", 0),
                      " ms were left");
}

std::string CauseOfNoTarget(const RequestReport& story,
                            const LogLine& refused) {
  const std::string failure = LastFailure(story, "");
  if (!failure.empty()) {
    return failure;
  }
  const LogLine* closed = LastOf(story.related, "data_centre_closed");
  if (NumberOr(refused, "targets", 0) > 0) {
    return "the chosen target left while memory was set aside for it";
  }
  return absl::StrCat(
      "no target of its service could be used",
      closed == nullptr
          ? ""
          : absl::StrCat("; data centre ", closed->Text("data_centre"),
                         " was closed"));
}

std::string CauseOfRefusal(const RequestReport& story, const LogLine& refused) {
  const absl::string_view why = refused.Text("why");
  const std::string age =
      absl::StrCat(NumberOr(refused, "config_age_ms", 0), " ms ago");
  if (why == "no_config") {
    return absl::StrCat("the instance had read no configuration yet",
                        StoreNews(story));
  }
  if (why == "no_route" || why == "bad_key") {
    const LogLine* config = LastOf(story.related, "config_in_force");
    const std::string version =
        config == nullptr
            ? ""
            : absl::StrCat(" (version ", NumberOr(*config, "version", 0), ")");
    return absl::StrCat("the configuration in force", version, ", confirmed ",
                        age, ", has no such ",
                        why == "no_route" ? "route" : "key");
  }
  if (why == "keys_unconfirmed" || why == "config_unconfirmed") {
    return absl::StrCat("the configuration was last confirmed ", age,
                        ", too long to trust its ",
                        why == "keys_unconfirmed" ? "keys" : "routes",
                        StoreNews(story));
  }
  if (why == "no_target") {
    return CauseOfNoTarget(story, refused);
  }
  if (why == "overloaded") {
    return CauseOfOverload(refused);
  }
  if (why == "time_used_up") {
    return absl::StrCat("its time was over: ", WaitedFor(story));
  }
  if (why == "poison") {
    return "two targets had broken while they ran the same content";
  }
  if (why == "bad_request") {
    return "its head could not be read as a request of the platform";
  }
  if (why == "target_failed" || why == "target_busy") {
    return LastFailure(story, refused.Text("not_again"));
  }
  return "";
}

std::string CauseOfUnknownEnd(const RequestReport& story) {
  for (const LogLine& it : story.related) {
    if (it.event == "start" && it.at_s >= story.lines.back().at_s) {
      return "the instance ended without a word and started again";
    }
  }
  return story.left_out > 0 ? "its end is among the lines left out" : "";
}

}  // namespace

std::string CauseOf(const RequestReport& story) {
  const LogLine* refused = LastOf(story.lines, "refused");
  const LogLine* ended = LastOf(story.lines, "ended");
  switch (story.outcome) {
    case RequestOutcome::kRefused:
    case RequestOutcome::kCut:
      return refused == nullptr ? "" : CauseOfRefusal(story, *refused);
    case RequestOutcome::kClientGone:
      return absl::StrCat("its client left after ",
                          NumberOr(*ended, "took_ms", 0),
                          " ms: ", WaitedFor(story));
    case RequestOutcome::kAnswered:
      return story.failed ? LastFailure(story, ended->Text("not_again")) : "";
    case RequestOutcome::kUnknown:
      return CauseOfUnknownEnd(story);
  }
  return "";
}

}  // namespace umbertrail::logbook
