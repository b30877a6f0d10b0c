#include "umbertrail/front/stream_framer.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

namespace umbertrail::front {
namespace {

// End of the last whole event, or 0: an event ends with an empty line.
size_t EndOfWhole(absl::string_view text) {
  size_t end = 0;
  for (const absl::string_view mark :
       {absl::string_view("\n\n"), absl::string_view("\r\n\r\n"),
        absl::string_view("\n\r\n")}) {
    const size_t at = text.rfind(mark);
    if (at != absl::string_view::npos) {
      end = std::max(end, at + mark.size());
    }
  }
  return end;
}

}  // namespace

std::string StreamFramer::TakeWhole() {
  const size_t end = EndOfWhole(pending_);
  std::string whole = pending_.substr(0, end);
  pending_.erase(0, end);
  NoteIds(whole);
  return whole;
}

std::string StreamFramer::TakeRest() {
  std::string rest;
  rest.swap(pending_);
  return rest;
}

void StreamFramer::NoteIds(absl::string_view events) {
  while (!events.empty()) {
    const size_t end = events.find('\n');
    absl::string_view line = events.substr(0, end);
    events.remove_prefix(end == absl::string_view::npos ? events.size()
                                                        : end + 1);
    if (absl::ConsumePrefix(&line, "id:")) {
      last_id_ = std::string(absl::StripAsciiWhitespace(line));
    }
  }
}

}  // namespace umbertrail::front
