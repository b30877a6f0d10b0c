#include <catch2/catch.hpp>

#include "absl/strings/str_split.h"
#include "command_line.h"
#include "pages.h"

namespace umbertrail::docs {
namespace {

TEST_CASE("every client command in the pages parses") {
  int commands = 0;
  for (const Page& page : ReadPages()) {
    for (const std::string& line : BlockLines(page, "console")) {
      INFO(page.path << ": " << line);
      std::vector<std::string> words = absl::StrSplit(line, ' ');
      REQUIRE(words.front() == "umbertrail");
      words.erase(words.begin());
      CHECK(IsOk(cli::ParseCommandLine(words)));
      ++commands;
    }
  }
  CHECK(commands >= 10);
}

TEST_CASE("every make target in the pages exists") {
  const std::string makefile = "\n" + ReadFileOf("Makefile");
  int targets = 0;
  for (const Page& page : ReadPages()) {
    for (const std::string& line : BlockLines(page, "")) {
      if (line.rfind("make ", 0) != 0) {
        continue;
      }
      const std::vector<std::string> words = absl::StrSplit(line, ' ');
      for (size_t i = 1; i < words.size(); ++i) {
        INFO(page.path << ": " << line);
        CHECK(makefile.find("\n" + words[i] + ":") != std::string::npos);
        ++targets;
      }
    }
  }
  CHECK(targets >= 2);
}

}  // namespace
}  // namespace umbertrail::docs
