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
  // The logs don't show its end.
  kUnknown,
};
absl::string_view NameOf(StoryEnd end);

// What the logs tell of one request.
struct RequestReport {
  std::string request;
  std::string instance;
  // Its own lines, in order.
  std::vector<LogLine> lines;
  // What the same instance learnt meanwhile of its targets, of the store and of
  // itself.
  std::vector<LogLine> related;
  StoryEnd outcome = StoryEnd::kUnknown;
  // Its caller got no good answer.
  bool failed = false;
  // Why, in one sentence; empty where the logs don't tell.
  std::string cause;
  // Lines that this instance left out in that time.
  int64_t left_out = 0;
};

// The verdict without its lines, as one JSON object.
std::string WriteJson(const RequestReport& story);

// Reads stories out of a sorted logbook, which must outlive it.
class LogAnalyser {
 public:
  explicit LogAnalyser(const MergedLog* book);

  // None when no line names the request.
  std::optional<RequestReport> Find(absl::string_view request) const;
  // The stories of all requests that failed, in the order of their first lines.
  std::vector<RequestReport> FindFailures() const;

 private:
  // `places` are its lines in the book.
  RequestReport TellOf(const std::string& request,
                       const std::vector<size_t>& places) const;
  void AddAround(RequestReport* story) const;

  const MergedLog* book_;
  // Requests by their first lines.
  std::vector<std::string> order_;
  // The places of a request's lines in the book.
  std::map<std::string, std::vector<size_t>, std::less<>> steps_;
  // Each instance's lines that name no request, or come after lines left out.
  std::map<std::string, std::vector<size_t>> notes_;
};

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_STORY_H_
