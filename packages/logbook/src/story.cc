#include "umbertrail/logbook/story.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "cause.h"

namespace umbertrail::logbook {
namespace {

// Lines this long before a request's first line, or after its last, may explain
// its outcome.
constexpr double kBeforeSeconds = 5;
constexpr double kAfterSeconds = 3;
constexpr int64_t kServerError = 500;

// Events that concern all requests of an instance.
bool ConcernsAll(absl::string_view event) {
  static const std::set<absl::string_view> events = {
      "start",           "stop_begun",         "stop_over",
      "readiness",       "store_lost",         "store_regained",
      "config_in_force", "data_centre_closed", "data_centre_reopened",
      "reload",          "reload_refused",     "store_history_lost"};
  return events.count(event) != 0;
}

RequestOutcome EndOf(const LogLine* ended) {
  if (ended == nullptr) {
    return RequestOutcome::kUnknown;
  }
  const absl::string_view outcome = ended->Text("outcome");
  for (const RequestOutcome it :
       {RequestOutcome::kAnswered, RequestOutcome::kRefused,
        RequestOutcome::kCut, RequestOutcome::kClientGone}) {
    if (outcome == NameOf(it)) {
      return it;
    }
  }
  return RequestOutcome::kUnknown;
}

}  // namespace

absl::string_view NameOf(RequestOutcome end) {
  switch (end) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kCut:
      return "cut";
    case RequestOutcome::kClientGone:
      return "client_gone";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string WriteJson(const RequestReport& story) {
  nlohmann::ordered_json json;
  json["at_s"] = story.lines.front().at_s;
  json["instance"] = story.instance;
  json["request"] = story.request;
  json["end"] = std::string{NameOf(story.outcome)};
  json["failed"] = story.failed;
  json["cause"] = story.cause;
  json["lines_left_out"] = story.left_out;
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

LogAnalyser::LogAnalyser(const MergedLog* book) : book_(book) {
  const std::vector<LogLine>& lines = book->lines();
  for (size_t i = 0; i < lines.size(); ++i) {
    const absl::string_view request = lines[i].Text("request");
    const bool after_gap = lines[i].Number("lines_left_out").has_value();
    if (request.empty() || after_gap) {
      notes_[lines[i].instance].push_back(i);
    }
    if (request.empty()) {
      continue;
    }
    std::vector<size_t>& steps = steps_[std::string{request}];
    if (steps.empty()) {
      order_.emplace_back(request);
    }
    steps.push_back(i);
  }
}

std::optional<RequestReport> LogAnalyser::Find(
    absl::string_view request) const {
  const auto found = steps_.find(request);
  if (found == steps_.end()) {
    return std::nullopt;
  }
  return TellOf(found->first, found->second);
}

std::vector<RequestReport> LogAnalyser::FindFailures() const {
  std::vector<RequestReport> failures;
  for (const std::string& request : order_) {
    RequestReport story = TellOf(request, steps_.find(request)->second);
    if (story.failed) {
      failures.push_back(std::move(story));
    }
  }
  return failures;
}

RequestReport LogAnalyser::TellOf(const std::string& request,
                                  const std::vector<size_t>& places) const {
  RequestReport story;
  story.request = request;
  const LogLine* ended = nullptr;
  for (const size_t i : places) {
    const LogLine& line = book_->lines()[i];
    story.lines.push_back(line);
    ended = line.event == "ended" ? &line : ended;
  }
  story.instance = story.lines.front().instance;
  story.outcome = EndOf(ended);
  const int64_t status =
      ended == nullptr ? 0 : ended->Number("target_status").value_or(0);
  story.failed =
      story.outcome != RequestOutcome::kAnswered || status >= kServerError;
  if (story.failed) {
    AddAround(&story);
    story.cause = CauseOf(story);
  }
  return story;
}

void LogAnalyser::AddAround(RequestReport* story) const {
  const double from = story->lines.front().at_s - kBeforeSeconds;
  const double until = story->lines.back().at_s + kAfterSeconds;
  std::set<absl::string_view> targets;
  for (const LogLine& it : story->lines) {
    targets.insert(it.Text("target"));
  }
  targets.erase("");
  const auto notes = notes_.find(story->instance);
  if (notes == notes_.end()) {
    return;
  }
  const std::vector<LogLine>& lines = book_->lines();
  const auto begin =
      std::lower_bound(notes->second.begin(), notes->second.end(), from,
                       [&](size_t i, double at) { return lines[i].at_s < at; });
  for (auto it = begin; it != notes->second.end(); ++it) {
    const LogLine& line = lines[*it];
    if (line.at_s > until && story->outcome != RequestOutcome::kUnknown) {
      break;
    }
    story->left_out += line.Number("lines_left_out").value_or(0);
    if (!line.Text("request").empty()) {
      continue;
    }
    if (ConcernsAll(line.event) || targets.count(line.Text("target")) != 0) {
      story->related.push_back(line);
    }
  }
}

}  // namespace umbertrail::logbook
