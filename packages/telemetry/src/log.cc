#include "umbertrail/telemetry/log.h"

#include <easylogging++.h>

#include <mutex>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "umbertrail/telemetry/names.h"

INITIALIZE_EASYLOGGINGPP

namespace umbertrail::telemetry {
namespace {

using Json = nlohmann::ordered_json;

std::string_view NameOfError(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kCorrupt:
      return "corrupt";
  }
  return "unknown";
}

std::string FormatInstant(absl::Time time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

template <typename Id>
void AddId(Json& out, const char* key, const Id& id) {
  if (!id.empty()) {
    out[key] = id.text();
  }
}

void AddIds(Json& out, const LogRecord& record) {
  AddId(out, "request_id", record.request);
  if (!record.trace_id.empty()) {
    out["trace_id"] = record.trace_id;
  }
  AddId(out, "account", record.account);
  AddId(out, "target", record.target);
  AddId(out, "peer", record.peer);
  AddId(out, "data_centre", record.data_centre);
}

void AddFacts(Json& out, const LogRecord& record) {
  if (record.attempt) {
    out["attempt"] = record.attempt->value();
  }
  if (record.reason) {
    out["reason"] = NameOf(*record.reason);
  }
  if (record.ran) {
    out["ran"] = NameOf(*record.ran);
  }
  if (record.failure) {
    out["failure"] = NameOf(*record.failure);
  }
  if (record.error) {
    out["error"] = NameOfError(*record.error);
  }
  if (record.tokens) {
    out["tokens"] = record.tokens->value();
  }
  if (record.duration) {
    out["duration_ms"] = absl::ToDoubleMilliseconds(*record.duration);
  }
  if (record.revision) {
    out["revision"] = record.revision->value();
  }
}

Json FieldsOf(const LogRecord& record) {
  Json out = Json::object();
  AddIds(out, record);
  AddFacts(out, record);
  return out;
}

std::string Dump(const Json& json) {
  // Ids from callers may hold any bytes; broken UTF-8 is replaced.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Lines go out as they are: the record carries its own time and level.
void ConfigureLibrary() {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(conf);
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (const LogLevel it : {LogLevel::kDebug, LogLevel::kInfo,
                            LogLevel::kWarning, LogLevel::kError}) {
    if (NameOf(it) == text) {
      return it;
    }
  }
  return std::nullopt;
}

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

std::string FormatJson(const LogRecord& record) {
  Json out = Json::object();
  out["time"] = FormatInstant(record.time);
  out["level"] = NameOf(record.level);
  out["message"] = record.message.text();
  AddIds(out, record);
  AddFacts(out, record);
  return Dump(out);
}

std::string FormatPlain(const LogRecord& record) {
  std::string out = FormatInstant(record.time);
  out.append(" ").append(NameOf(record.level));
  out.append(" ").append(record.message.text());
  const Json fields = FieldsOf(record);
  for (const auto& [key, value] : fields.items()) {
    absl::StrAppend(&out, " ", key, "=", Dump(value));
  }
  return out;
}

Logger::Logger(LogFormat format, LogLevel level)
    : format_(format), level_(level) {
  static std::once_flag configured;
  std::call_once(configured, ConfigureLibrary);
}

void Logger::Write(const LogRecord& record) {
  if (record.level < level_.load(std::memory_order_relaxed)) {
    return;
  }
  const std::string line =
      format_ == LogFormat::kJson ? FormatJson(record) : FormatPlain(record);
  LOG(INFO) << line;
}

void Logger::SetLevel(LogLevel level) {
  level_.store(level, std::memory_order_relaxed);
}

LogLevel Logger::level() const {
  return level_.load(std::memory_order_relaxed);
}

}  // namespace umbertrail::telemetry
