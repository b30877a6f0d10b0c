#include "umbertrail/logbook/logbook.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace umbertrail::logbook {
namespace {

LogLine Line(double at_s,
             const std::string& instance,
             const std::string& event) {
  LogLine line;
  line.at_s = at_s;
  line.instance = instance;
  line.event = event;
  return line;
}

std::vector<std::string> EventsOf(const MergedLog& log) {
  std::vector<std::string> events;
  for (const LogLine& it : log.lines()) {
    events.push_back(it.event);
  }
  return events;
}

TEST_CASE("lines of several instances are ordered by time") {
  MergedLog log;
  log.Add(Line(1, "a", "a1"));
  log.Add(Line(3, "a", "a3"));
  log.Add(Line(2, "b", "b2"));
  log.Sort();
  CHECK(EventsOf(log) == std::vector<std::string>{"a1", "b2", "a3"});
}

TEST_CASE("an instance's lines keep their order when its clock steps back") {
  MergedLog log;
  log.Add(Line(10, "a", "first"));
  log.Add(Line(4, "a", "second"));
  log.Add(Line(7, "b", "other"));
  log.Sort();
  CHECK(EventsOf(log) == std::vector<std::string>{"other", "first", "second"});
}

TEST_CASE("lines that are no log lines are counted") {
  std::istringstream in(
      "built in 3 s\n"
      "{\"t_ms\":1,\"instance\":\"a\",\"event\":\"start\"}\n\n"
      "{\"t_ms\":2,\"instance\":\"a\",\"event\":");
  MergedLog log;
  log.Read(in);
  CHECK(log.lines().size() == 1);
  CHECK(log.unreadable() == 2);
}

}  // namespace
}  // namespace umbertrail::logbook
