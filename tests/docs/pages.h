#ifndef UMBERTRAIL_TESTS_DOCS_PAGES_H_
#define UMBERTRAIL_TESTS_DOCS_PAGES_H_

#include <string>
#include <vector>

namespace umbertrail::docs {

// One documentation page, by its path from the root.
struct Page {
  std::string path;
  std::vector<std::string> lines;
};

// README.md and all pages under docs.
std::vector<Page> ReadPages();

// A file of the project, by its path from the root; empty when absent.
std::string ReadFileOf(const std::string& path);

// Whether the project has a file of this path from the root.
bool HasFile(const std::string& path);

// Lines of the page's code blocks that are marked with `language`.
std::vector<std::string> BlockLines(const Page& page,
                                    const std::string& language);

}  // namespace umbertrail::docs

#endif  // UMBERTRAIL_TESTS_DOCS_PAGES_H_
