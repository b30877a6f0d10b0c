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
  // Whatever is in the pipe now; nothing when it is empty.
  std::string ReadAll() {
    std::string all;
    std::string some(65536, '\0');
    const ssize_t n = read(ends_[0], some.data(), some.size());
    if (n > 0) {
      all.append(some, 0, static_cast<size_t>(n));
    }
    return all;
  }

 private:
  int ends_[2] = {};
};

TEST_CASE("a line is one JSON object with its fields") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  log.Write(EventLog::Level::kNormal, "sent",
            {{"request", "id\"1"}, {"attempt", int64_t{2}}, {"ok", true}},
            kStart);
  const auto line = nlohmann::json::parse(pipe.ReadAll());
  CHECK(line["event"] == "sent");
  CHECK(line["instance"] == "front-1");
  CHECK(line["request"] == "id\"1");
  CHECK(line["attempt"] == 2);
  CHECK(line["ok"] == true);
}

TEST_CASE("a pipe that nobody reads costs lines, never time") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  const std::string text(200, 'x');
  absl::Time now = kStart;
  for (int i = 0; i < 5000; ++i) {
    now += absl::Milliseconds(10);
    log.Write(EventLog::Level::kImportant, "failed",
              {{"why", absl::string_view(text)}}, now);
  }
  std::istringstream lines(pipe.ReadAll());
  std::string line;
  int whole = 0;
  while (std::getline(lines, line) && !lines.eof()) {
    CHECK_NOTHROW(nlohmann::json::parse(line));
    ++whole;
  }
  CHECK(whole > 10);
  // The pipe has room again: the next lines tell how many were left out.
  log.Write(EventLog::Level::kImportant, "after", {}, now);
  CHECK_THAT(pipe.ReadAll(), Catch::Contains("lines_left_out"));
}

TEST_CASE("a spent budget still lets failures through") {
  Pipe pipe;
  EventLog log(pipe.writer(), "front-1");
  const std::string text(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    log.Write(EventLog::Level::kNormal, "usual",
              {{"why", absl::string_view(text)}}, kStart);
    static_cast<void>(pipe.ReadAll());
  }
  log.Write(EventLog::Level::kNormal, "usual",
            {{"why", absl::string_view(text)}}, kStart);
  CHECK(pipe.ReadAll().empty());
  log.Write(EventLog::Level::kImportant, "failure", {}, kStart);
  CHECK_THAT(pipe.ReadAll(), Catch::Contains("failure"));
}

}  // namespace
}  // namespace umbertrail::front
