#include "pages.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_split.h"

namespace umbertrail::docs {
namespace {

const std::filesystem::path& Root() {
  static const std::filesystem::path root(UMBERTRAIL_SOURCE_DIR);
  return root;
}

}  // namespace

std::string ReadFileOf(const std::string& path) {
  std::ifstream in(Root() / path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

bool HasFile(const std::string& path) {
  return std::filesystem::exists(Root() / path);
}

std::vector<Page> ReadPages() {
  std::vector<std::string> paths = {"README.md"};
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(Root() / "docs")) {
    if (it.path().extension() == ".md") {
      paths.push_back(std::filesystem::relative(it.path(), Root()).string());
    }
  }
  std::vector<Page> out;
  for (const std::string& it : paths) {
    out.push_back({it, absl::StrSplit(ReadFileOf(it), '\n')});
  }
  return out;
}

std::vector<std::string> BlockLines(const Page& page,
                                    const std::string& language) {
  std::vector<std::string> out;
  bool inside = false;
  for (const std::string& it : page.lines) {
    if (it.rfind("```", 0) == 0) {
      inside = !inside && it == "```" + language;
    } else if (inside) {
      out.push_back(it);
    }
  }
  return out;
}

}  // namespace umbertrail::docs
