#include "umbertrail/front/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace umbertrail::front {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(ends_) == 0);
    REQUIRE(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  // Reads without blocking, up to 64 KiB.
  std::string ReadAvailable() {
    std::string text;
    std::string buffer(65536, '\0');
    const ssize_t n = read(ends_[0], buffer.data(), buffer.size());
    if (n > 0) {
      text.append(buffer, 0, static_cast<size_t>(n));
    }
    return text;
  }

 private:
  int ends_[2] = {};
};

TEST_CASE("each line is a JSON object with the event's fields") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  log.Write(EventLog::Level::kNormal, "sent",
            {{"request", "id\"1"}, {"attempt", int64_t{2}}, {"ok", true}},
            kStart);
  const auto line = nlohmann::json::parse(pipe.ReadAvailable());
  CHECK(line["event"] == "sent");
  CHECK(line["instance"] == "front-1");
  CHECK(line["request"] == "id\"1");
  CHECK(line["attempt"] == 2);
  CHECK(line["ok"] == true);
}

TEST_CASE("a full pipe drops lines without blocking") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  const std::string text(200, 'x');
  absl::Time now = kStart;
  for (int i = 0; i < 5000; ++i) {
    now += absl::Milliseconds(10);
    log.Write(EventLog::Level::kImportant, "failed",
              {{"why", absl::string_view(text)}}, now);
  }
  std::istringstream lines(pipe.ReadAvailable());
  std::string line;
  int complete_lines = 0;
  while (std::getline(lines, line) && !lines.eof()) {
    CHECK_NOTHROW(nlohmann::json::parse(line));
    ++complete_lines;
  }
  CHECK(complete_lines > 10);
  // The pipe has room again, and the next line has the number of dropped lines.
  log.Write(EventLog::Level::kImportant, "after", {}, now);
  CHECK_THAT(pipe.ReadAvailable(), Catch::Contains("lines_left_out"));
}

TEST_CASE("important lines are written after the budget for others is spent") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  const std::string text(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    log.Write(EventLog::Level::kNormal, "usual",
              {{"why", absl::string_view(text)}}, kStart);
    static_cast<void>(pipe.ReadAvailable());
  }
  log.Write(EventLog::Level::kNormal, "usual",
            {{"why", absl::string_view(text)}}, kStart);
  CHECK(pipe.ReadAvailable().empty());
  log.Write(EventLog::Level::kImportant, "failure", {}, kStart);
  CHECK_THAT(pipe.ReadAvailable(), Catch::Contains("failure"));
}

}  // namespace
}  // namespace umbertrail::front
