#include "umbertrail/front/stream_framer.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

namespace umbertrail::front {
namespace {

// A blank line ends an event.
constexpr absl::string_view kDelimiters[] = {"\n\n", "\r\n\r\n", "\n\r\n"};
constexpr size_t kLongestDelimiter = 4;

// Offset after the last complete event, or 0. The first `searched` bytes hold
// no delimiter, but may end with a part of one.
size_t EndOfLastCompleteEvent(absl::string_view text, size_t searched) {
  const size_t start = searched - std::min(searched, kLongestDelimiter - 1);
  const absl::string_view tail = text.substr(start);
  size_t end = 0;
  for (const absl::string_view delimiter : kDelimiters) {
    const size_t at = tail.rfind(delimiter);
    if (at != absl::string_view::npos) {
      end = std::max(end, start + at + delimiter.size());
    }
  }
  return end;
}

}  // namespace

std::string StreamFramer::TakeCompleteEvents() {
  const size_t end = EndOfLastCompleteEvent(pending_, searched_);
  std::string events = pending_.substr(0, end);
  pending_.erase(0, end);
  searched_ = pending_.size();
  ScanEvents(events);
  return events;
}

std::string StreamFramer::TakeRemainder() {
  std::string rest;
  rest.swap(pending_);
  searched_ = 0;
  return rest;
}

bool StreamFramer::has_incomplete_event() const {
  return pending_.find_first_not_of("\r\n") != std::string::npos;
}

void StreamFramer::ScanEvents(absl::string_view events) {
  bool has_data = false;
  while (!events.empty()) {
    const size_t end = events.find('\n');
    absl::string_view line = events.substr(0, end);
    events.remove_prefix(end == absl::string_view::npos ? events.size()
                                                        : end + 1);
    // A blank line ends an event; one without data is a comment or a setting.
    if (line.empty() || line == "\r") {
      event_count_ += has_data ? 1 : 0;
      has_data = false;
    }
    has_data = has_data || absl::StartsWith(line, "data");
    if (absl::ConsumePrefix(&line, "id:")) {
      last_event_id_ = std::string(absl::StripAsciiWhitespace(line));
    }
  }
}

}  // namespace umbertrail::front
