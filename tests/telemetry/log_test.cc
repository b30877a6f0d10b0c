#include "umbertrail/telemetry/log.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace umbertrail::telemetry {
namespace {

LogRecord SampleRecord() {
  LogRecord out;
  out.level = LogLevel::kWarning;
  out.time = absl::FromUnixMillis(1500);
  out.message = "attempt failed";
  out.request = RequestId("r-1");
  out.trace_id = "ab";
  out.attempt = AttemptNumber(2);
  out.failure = core::AttemptFailure::kSilent;
  out.duration = absl::Milliseconds(12);
  return out;
}

// Collects standard output while it lives.
class CapturedOutput {
 public:
  CapturedOutput() : former_(std::cout.rdbuf(buf_.rdbuf())) {}
  ~CapturedOutput() { std::cout.rdbuf(former_); }
  std::string text() const { return buf_.str(); }

 private:
  std::ostringstream buf_;
  std::streambuf* former_;
};

TEST_CASE("a record becomes one JSON object without its empty fields") {
  const auto json = nlohmann::json::parse(FormatJson(SampleRecord()));
  CHECK(json["time"] == "1970-01-01T00:00:01.500Z");
  CHECK(json["level"] == "warning");
  CHECK(json["message"] == "attempt failed");
  CHECK(json["request_id"] == "r-1");
  CHECK(json["attempt"] == 2);
  CHECK(json["failure"] == "silent");
  CHECK(json["duration_ms"] == 12.0);
  CHECK_FALSE(json.contains("account"));
}

TEST_CASE("a plain record carries the same fields") {
  CHECK(FormatPlain(SampleRecord()) ==
        "1970-01-01T00:00:01.500Z warning attempt failed request_id=\"r-1\" "
        "trace_id=\"ab\" attempt=2 failure=\"silent\" duration_ms=12.0");
}

TEST_CASE("an id with broken UTF-8 or line ends stays on one line") {
  LogRecord record;
  record.request = RequestId("a\n\xff");
  const std::string line = FormatJson(record);
  CHECK(line.find('\n') == std::string::npos);
  CHECK_NOTHROW(nlohmann::json::parse(line));
}

TEST_CASE("the level changes at run time") {
  CapturedOutput output;
  Logger logger(LogFormat::kJson, LogLevel::kError);
  logger.Write(SampleRecord());
  CHECK(output.text().empty());
  logger.SetLevel(LogLevel::kWarning);
  logger.Write(SampleRecord());
  CHECK(output.text() == FormatJson(SampleRecord()) + "\n");
}

TEST_CASE("levels are read by name") {
  CHECK(ParseLogLevel("debug") == LogLevel::kDebug);
  CHECK_FALSE(ParseLogLevel("loud"));
}

}  // namespace
}  // namespace umbertrail::telemetry
