#include "umbertrail/logbook/losses.h"

#include <cmath>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace umbertrail::logbook {
namespace {

constexpr int64_t kServerError = 500;

// State of a request that has not ended.
struct RequestState {
  std::string refused;
  // Expected time from the last send to the first event.
  int64_t expected_ms = 0;
  // Time of that send.
  double sent_at_s = 0;
};

std::string LateReason(const LogLine& ended, const RequestState& state) {
  const int64_t aim = ended.Number("aim_ms").value_or(INT64_MAX);
  const auto first = ended.Number("first_event_ms");
  const int64_t promptness =
      first.value_or(ended.Number("took_ms").value_or(0));
  if (promptness <= aim) {
    const auto gap = ended.Number("pause_aim_ms");
    const bool paused = first.has_value() && gap.has_value() &&
                        ended.Number("longest_pause_ms").value_or(0) > *gap;
    return paused ? "late_pause" : "";
  }
  if (ended.Number("sends").value_or(1) > 1) {
    return "late_after_failure";
  }
  const double came_s =
      ended.at_s -
      static_cast<double>(ended.Number("took_ms").value_or(0)) / 1000;
  const double waited_ms = (state.sent_at_s - came_s) * 1000;
  const bool expected = waited_ms + static_cast<double>(state.expected_ms) >
                        static_cast<double>(aim);
  return expected ? "late_as_expected" : "late_unexpected";
}

// Empty if the request was served in time.
std::string ReasonOf(const LogLine& ended, const RequestState& state) {
  if (!state.refused.empty()) {
    return state.refused;
  }
  if (ended.Text("outcome") != "answered") {
    return std::string{ended.Text("outcome")};
  }
  const int64_t status = ended.Number("target_status").value_or(0);
  return status >= kServerError ? absl::StrCat("target_status_", status)
                                : LateReason(ended, state);
}

}  // namespace

std::vector<Loss> CountLosses(const MergedLog& log, double span_s) {
  std::map<std::string, RequestState, std::less<>> open;
  std::map<std::tuple<double, std::string, std::string>, int> counts;
  for (const LogLine& line : log.lines()) {
    const std::string request{line.Text("request")};
    if (request.empty()) {
      continue;
    }
    if (line.event == "sent") {
      open[request].expected_ms = line.Number("expected_ms").value_or(0);
      open[request].sent_at_s = line.at_s;
    } else if (line.event == "refused") {
      open[request].refused = std::string{line.Text("why")};
    } else if (line.event == "ended") {
      const std::string reason = ReasonOf(line, open[request]);
      open.erase(request);
      // Requests that match no route are not counted.
      if (!reason.empty() && !line.Text("route").empty()) {
        const double from = std::floor(line.at_s / span_s) * span_s;
        ++counts[{from, std::string{line.Text("route")}, reason}];
      }
    }
  }
  std::vector<Loss> losses;
  for (const auto& [key, requests] : counts) {
    losses.push_back(
        {std::get<0>(key), std::get<1>(key), std::get<2>(key), requests});
  }
  return losses;
}

}  // namespace umbertrail::logbook
