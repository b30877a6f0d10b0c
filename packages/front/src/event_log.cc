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
// Fraction of the budget reserved for important lines.
constexpr double kImportantReserve = 0.3;

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

void EventLog::DropLine() {
  ++dropped_lines_;
  if (on_dropped_) {
    on_dropped_();
  }
}

bool EventLog::SpendBudget(Level level, size_t bytes, absl::Time now) {
  if (refilled_ == absl::InfinitePast()) {
    budget_ = kBurstBytes;
  } else {
    budget_ = std::min(
        kBurstBytes,
        budget_ + kBytesPerSecond * absl::ToDoubleSeconds(now - refilled_));
  }
  refilled_ = now;
  const double reserved =
      level == Level::kImportant ? 0 : kImportantReserve * kBurstBytes;
  if (budget_ - static_cast<double>(bytes) < reserved) {
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
  if (dropped_lines_ > 0) {
    absl::StrAppend(&line, ",\"lines_left_out\":", dropped_lines_);
  }
  line += "}\n";
  if (!SpendBudget(level, line.size(), now)) {
    DropLine();
    return;
  }
  const std::string bytes = unwritten_ + line;
  const ssize_t written = write(fd_, bytes.data(), bytes.size());
  if (written < static_cast<ssize_t>(unwritten_.size())) {
    // The pipe is full: keep the partially written line and drop this one.
    unwritten_.erase(0, static_cast<size_t>(std::max<ssize_t>(written, 0)));
    DropLine();
    return;
  }
  unwritten_ = bytes.substr(static_cast<size_t>(written));
  dropped_lines_ = 0;
}

}  // namespace umbertrail::front
