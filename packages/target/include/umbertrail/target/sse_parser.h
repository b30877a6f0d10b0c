#ifndef UMBERTRAIL_TARGET_SSE_PARSER_H_
#define UMBERTRAIL_TARGET_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace umbertrail::target {

// Splits a stream of server-sent events into their data, however the bytes are
// cut on their way. Lines end with LF or CRLF; an event whose closing blank
// line has not come is not handed out, so a cut event is never taken for a
// whole one. Fields other than `data` and comments are skipped.
class SseParser {
 public:
  // Called with the data of one event; valid during the call only. False ends
  // the parsing.
  using DataCallback = std::function<bool(std::string_view)>;

  enum class Status { kMore, kEnded, kLineTooLong };

  // `max_line_bytes` bounds a line, and the data of an event.
  SseParser(size_t max_line_bytes, DataCallback on_data);

  // Takes the next bytes. Once the result is not kMore, later input is
  // ignored and gives the same result. Cost: linear in `bytes`.
  Status Feed(std::string_view bytes);

 private:
  void EndLine();
  void EndEvent();

  const size_t max_line_bytes_;
  const DataCallback on_data_;
  Status status_ = Status::kMore;
  std::string line_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace umbertrail::target

#endif  // UMBERTRAIL_TARGET_SSE_PARSER_H_
