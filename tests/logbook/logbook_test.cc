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

std::vector<std::string> EventsOf(const MergedLog& book) {
  std::vector<std::string> events;
  for (const LogLine& it : book.lines()) {
    events.push_back(it.event);
  }
  return events;
}

TEST_CASE("lines of several instances are ordered by time") {
  MergedLog book;
  book.Add(Line(1, "a", "a1"));
  book.Add(Line(3, "a", "a3"));
  book.Add(Line(2, "b", "b2"));
  book.Sort();
  CHECK(EventsOf(book) == std::vector<std::string>{"a1", "b2", "a3"});
}

TEST_CASE("a clock that steps back doesn't reorder an instance's lines") {
  MergedLog book;
  book.Add(Line(10, "a", "first"));
  book.Add(Line(4, "a", "second"));
  book.Add(Line(7, "b", "other"));
  book.Sort();
  CHECK(EventsOf(book) == std::vector<std::string>{"other", "first", "second"});
}

TEST_CASE("lines that are no log lines are counted") {
  std::istringstream in(
      "built in 3 s\n"
      "{\"t_ms\":1,\"instance\":\"a\",\"event\":\"start\"}\n\n"
      "{\"t_ms\":2,\"instance\":\"a\",\"event\":");
  MergedLog book;
  book.Read(in);
  CHECK(book.lines().size() == 1);
  CHECK(book.unreadable() == 2);
}

}  // namespace
}  // namespace umbertrail::logbook
