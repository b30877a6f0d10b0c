#include "umbertrail/front/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"

namespace umbertrail::front {
namespace {

constexpr double kBytesPerSecond = 64 * 1024;
constexpr double kBurstBytes = 128 * 1024;
// Part of the budget that only important lines may use.
constexpr double kKeptForImportant = 0.3;

void AppendText(absl::string_view text, std::string* out) {
  *out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      *out += '\\';
      *out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      absl::StrAppend(out, "\\u00", absl::Hex(byte, absl::kZeroPad2));
    } else {
      *out += c;
    }
  }
  *out += '"';
}

struct AppendValue {
  std::string* out;
  void operator()(absl::string_view text) const { AppendText(text, out); }
  void operator()(int64_t number) const { absl::StrAppend(out, number); }
  void operator()(double number) const { absl::StrAppend(out, number); }
  void operator()(bool flag) const { *out += flag ? "true" : "false"; }
};

}  // namespace

EventLog::EventLog(int fd, std::string instance)
    : fd_(fd), instance_(std::move(instance)) {
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }
}

void EventLog::LeaveOut() {
  ++left_out_;
  if (on_lost_) {
    on_lost_();
  }
}

bool EventLog::TakeBudget(Level level, size_t bytes, absl::Time now) {
  if (refilled_ == absl::InfinitePast()) {
    budget_ = kBurstBytes;
  } else {
    budget_ = std::min(
        kBurstBytes,
        budget_ + kBytesPerSecond * absl::ToDoubleSeconds(now - refilled_));
  }
  refilled_ = now;
  const double kept =
      level == Level::kImportant ? 0 : kKeptForImportant * kBurstBytes;
  if (budget_ - static_cast<double>(bytes) < kept) {
    return false;
  }
  budget_ -= static_cast<double>(bytes);
  return true;
}

void EventLog::Write(Level level,
                     absl::string_view event,
                     const Fields& fields,
                     absl::Time now) {
  std::string line = absl::StrCat("{\"t_ms\":", absl::ToUnixMillis(absl::Now()),
                                  ",\"instance\":\"", instance_,
                                  "\",\"event\":\"", event, "\"");
  for (const Field& field : fields) {
    absl::StrAppend(&line, ",\"", field.name, "\":");
    std::visit(AppendValue{&line}, field.value);
  }
  if (left_out_ > 0) {
    absl::StrAppend(&line, ",\"lines_left_out\":", left_out_);
  }
  line += "}\n";
  if (!TakeBudget(level, line.size(), now)) {
    LeaveOut();
    return;
  }
  const std::string bytes = rest_ + line;
  const ssize_t taken = write(fd_, bytes.data(), bytes.size());
  if (taken < static_cast<ssize_t>(rest_.size())) {
    // The pipe is full: the begun line stays, this one is left out.
    rest_.erase(0, static_cast<size_t>(std::max<ssize_t>(taken, 0)));
    LeaveOut();
    return;
  }
  rest_ = bytes.substr(static_cast<size_t>(taken));
  left_out_ = 0;
}

}  // namespace umbertrail::front
