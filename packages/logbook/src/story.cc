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
bool ConcernsInstance(absl::string_view event) {
  static const std::set<absl::string_view> events = {
      "start",           "stop_begun",         "stop_over",
      "readiness",       "store_lost",         "store_regained",
      "config_in_force", "data_centre_closed", "data_centre_reopened",
      "reload",          "reload_refused",     "store_history_lost",
      "config_standing", "store_from_copy",    "config_older_in_store"};
  return events.count(event) != 0;
}

RequestOutcome OutcomeOf(const LogLine* ended) {
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

absl::string_view NameOf(RequestOutcome outcome) {
  switch (outcome) {
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

std::string WriteJson(const RequestReport& report) {
  nlohmann::ordered_json json;
  json["at_s"] = report.lines.front().at_s;
  json["instance"] = report.instance;
  json["request"] = report.request;
  json["end"] = std::string{NameOf(report.outcome)};
  json["failed"] = report.failed;
  json["cause"] = report.cause;
  json["lines_left_out"] = report.left_out;
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

LogAnalyser::LogAnalyser(const MergedLog* log) : log_(log) {
  const std::vector<LogLine>& lines = log->lines();
  for (size_t i = 0; i < lines.size(); ++i) {
    const absl::string_view request = lines[i].Text("request");
    const bool after_gap = lines[i].Number("lines_left_out").has_value();
    if (request.empty() || after_gap) {
      other_lines_[lines[i].instance].push_back(i);
    }
    if (request.empty()) {
      continue;
    }
    std::vector<size_t>& indices = request_lines_[std::string{request}];
    if (indices.empty()) {
      order_.emplace_back(request);
    }
    indices.push_back(i);
  }
}

std::optional<RequestReport> LogAnalyser::Find(
    absl::string_view request) const {
  const auto found = request_lines_.find(request);
  if (found == request_lines_.end()) {
    return std::nullopt;
  }
  return BuildReport(found->first, found->second);
}

std::vector<RequestReport> LogAnalyser::FindFailures() const {
  std::vector<RequestReport> failures;
  for (const std::string& request : order_) {
    RequestReport report =
        BuildReport(request, request_lines_.find(request)->second);
    if (report.failed) {
      failures.push_back(std::move(report));
    }
  }
  return failures;
}

RequestReport LogAnalyser::BuildReport(
    const std::string& request,
    const std::vector<size_t>& indices) const {
  RequestReport report;
  report.request = request;
  const LogLine* ended = nullptr;
  for (const size_t i : indices) {
    const LogLine& line = log_->lines()[i];
    report.lines.push_back(line);
    ended = line.event == "ended" ? &line : ended;
  }
  report.instance = report.lines.front().instance;
  report.outcome = OutcomeOf(ended);
  const int64_t status =
      ended == nullptr ? 0 : ended->Number("target_status").value_or(0);
  report.failed =
      report.outcome != RequestOutcome::kAnswered || status >= kServerError;
  if (report.failed) {
    AddRelatedLines(&report);
    report.cause = CauseOf(report);
  }
  return report;
}

void LogAnalyser::AddRelatedLines(RequestReport* report) const {
  const double from = report->lines.front().at_s - kBeforeSeconds;
  const double until = report->lines.back().at_s + kAfterSeconds;
  std::set<absl::string_view> targets;
  for (const LogLine& it : report->lines) {
    targets.insert(it.Text("target"));
  }
  targets.erase("");
  const auto others = other_lines_.find(report->instance);
  if (others == other_lines_.end()) {
    return;
  }
  const std::vector<LogLine>& lines = log_->lines();
  const auto begin =
      std::lower_bound(others->second.begin(), others->second.end(), from,
                       [&](size_t i, double at) { return lines[i].at_s < at; });
  for (auto it = begin; it != others->second.end(); ++it) {
    const LogLine& line = lines[*it];
    if (line.at_s > until && report->outcome != RequestOutcome::kUnknown) {
      break;
    }
    report->left_out += line.Number("lines_left_out").value_or(0);
    if (!line.Text("request").empty()) {
      continue;
    }
    if (ConcernsInstance(line.event) ||
        targets.count(line.Text("target")) != 0) {
      report->related.push_back(line);
    }
  }
}

}  // namespace umbertrail::logbook
