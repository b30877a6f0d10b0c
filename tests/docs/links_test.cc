#include <catch2/catch.hpp>
#include <filesystem>
#include <regex>

#include "pages.h"

namespace umbertrail::docs {
namespace {

TEST_CASE("every link between pages leads to a file") {
  const std::regex link(R"(\]\(([^):#]+)(#[^)]*)?\))");
  for (const Page& page : ReadPages()) {
    const auto folder = std::filesystem::path(page.path).parent_path();
    for (const std::string& line : page.lines) {
      for (std::sregex_iterator it(line.begin(), line.end(), link), end;
           it != end; ++it) {
        const auto path = (folder / (*it)[1].str()).lexically_normal();
        INFO(page.path << ": " << line);
        CHECK(HasFile(path.string()));
      }
    }
  }
}

TEST_CASE("every design note is listed among the decisions") {
  const std::string decisions = ReadFileOf("docs/DECISIONS.md");
  for (const Page& page : ReadPages()) {
    if (page.path.rfind("docs/design/", 0) == 0) {
      INFO(page.path);
      const std::string link = "(" + page.path.substr(5) + ")";
      CHECK(decisions.find(link) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace umbertrail::docs
