#ifndef UMBERTRAIL_LOGBOOK_STORY_H_
#define UMBERTRAIL_LOGBOOK_STORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/logbook/logbook.h"

namespace umbertrail::logbook {

// How a request ended for its caller.
enum class RequestOutcome {
  kAnswered,
  kRefused,
  kCut,
  kClientGone,
  // The logs don't show how it ended.
  kUnknown,
};
absl::string_view NameOf(RequestOutcome outcome);

// What the logs show of one request.
struct RequestReport {
  std::string request;
  std::string instance;
  // Its own lines, in order.
  std::vector<LogLine> lines;
  // Lines of the same instance from that time about its targets, the store and
  // itself.
  std::vector<LogLine> related;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // The caller got no successful response.
  bool failed = false;
  // Cause in one sentence; empty if the logs don't show it.
  std::string cause;
  // Lines that this instance dropped in that time.
  int64_t left_out = 0;
};

// The report without its lines, as one JSON object.
std::string WriteJson(const RequestReport& report);

// Builds reports from a sorted log, which must outlive it.
class LogAnalyser {
 public:
  explicit LogAnalyser(const MergedLog* log);

  // None if no line names the request.
  std::optional<RequestReport> Find(absl::string_view request) const;
  // Reports of all failed requests, in the order of their first lines.
  std::vector<RequestReport> FindFailures() const;

 private:
  // `indices` are the indices of its lines.
  RequestReport BuildReport(const std::string& request,
                            const std::vector<size_t>& indices) const;
  void AddRelatedLines(RequestReport* report) const;

  const MergedLog* log_;
  // Requests by their first lines.
  std::vector<std::string> order_;
  // Indices of each request's lines.
  std::map<std::string, std::vector<size_t>, std::less<>> request_lines_;
  // Each instance's lines that name no request, or follow dropped lines.
  std::map<std::string, std::vector<size_t>> other_lines_;
};

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_STORY_H_
