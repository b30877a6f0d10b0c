#include "umbertrail/target/sse_parser.h"

#include <utility>

namespace umbertrail::target {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

SseParser::SseParser(size_t max_line_bytes, DataCallback on_data)
    : max_line_bytes_(max_line_bytes), on_data_(std::move(on_data)) {}

SseParser::Status SseParser::Feed(std::string_view bytes) {
  while (status_ == Status::kMore && !bytes.empty()) {
    const size_t end = bytes.find('\n');
    const bool whole = end != std::string_view::npos;
    const std::string_view part = whole ? bytes.substr(0, end) : bytes;
    if (line_.size() + part.size() > max_line_bytes_) {
      status_ = Status::kLineTooLong;
      break;
    }
    line_.append(part);
    if (!whole) {
      break;
    }
    bytes.remove_prefix(end + 1);
    EndLine();
    line_.clear();
  }
  return status_;
}

void SseParser::EndLine() {
  std::string_view line = line_;
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    EndEvent();
    return;
  }
  if (line.substr(0, kDataField.size()) != kDataField) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (data_.size() + line.size() + 1 > max_line_bytes_) {
    status_ = Status::kLineTooLong;
    return;
  }
  if (has_data_) {
    data_.push_back('\n');
  }
  data_.append(line);
  has_data_ = true;
}

void SseParser::EndEvent() {
  if (!has_data_) {
    return;
  }
  if (!on_data_(data_)) {
    status_ = Status::kEnded;
  }
  data_.clear();
  has_data_ = false;
}

}  // namespace umbertrail::target
