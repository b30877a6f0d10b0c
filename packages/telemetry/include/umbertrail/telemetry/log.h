#ifndef UMBERTRAIL_TELEMETRY_LOG_H_
#define UMBERTRAIL_TELEMETRY_LOG_H_

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/types.h"

// Structured logs. A record has fixed, typed fields and no free text, so that
// neither a key nor a part of a prompt can enter a log.

namespace umbertrail::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The level named `text` ("debug", "info", "warning", "error").
std::optional<LogLevel> ParseLogLevel(std::string_view text);
std::string_view NameOf(LogLevel level);

// A sentence fixed at compile time. Only a literal converts to it.
class StaticText {
 public:
  constexpr StaticText() = default;
  template <size_t N>
  // NOLINTNEXTLINE(google-explicit-constructor): literals convert silently.
  constexpr StaticText(const char (&text)[N]) : text_(text, N - 1) {}

  constexpr std::string_view text() const { return text_; }

 private:
  std::string_view text_;
};

// One line of the log. Empty fields are left out.
struct LogRecord {
  LogLevel level = LogLevel::kInfo;
  // Wall-clock time of what is told.
  absl::Time time;
  StaticText message;
  RequestId request;
  // 32 hex digits, or empty.
  std::string trace_id;
  ClientAccountId account;
  TargetId target;
  InstanceId peer;
  DataCentreId data_centre;
  std::optional<AttemptNumber> attempt;
  std::optional<core::Reason> reason;
  std::optional<core::Ran> ran;
  std::optional<core::AttemptFailure> failure;
  std::optional<ErrorCode> error;
  std::optional<Tokens> tokens;
  std::optional<absl::Duration> duration;
  std::optional<ManifestRevision> revision;
};

// One JSON object without a line end. Durations are milliseconds.
std::string FormatJson(const LogRecord& record);

// The same fields as `key=value` words after the time, level and message.
std::string FormatPlain(const LogRecord& record);

// Where records go. Thread-safe; never blocks on the network.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(const LogRecord& record) = 0;
};

enum class LogFormat { kJson, kPlain };

// Writes records to standard output through easylogging++. One object per
// process is enough: the library underneath is global.
class Logger : public LogSink {
 public:
  Logger(LogFormat format, LogLevel level);

  // Drops records below the level in force.
  void Write(const LogRecord& record) override;

  // Takes effect with the next record, from any thread.
  void SetLevel(LogLevel level);
  LogLevel level() const;

 private:
  LogFormat format_;
  std::atomic<LogLevel> level_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_LOG_H_
