#include "umbertrail/manifest/fault.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace umbertrail::manifest {

std::string ToText(const Fault& fault) {
  std::string text = fault.part;
  if (fault.line > 0) {
    absl::StrAppend(&text, ":", fault.line);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!fault.path.empty()) {
    absl::StrAppend(&text, fault.path, ": ");
  }
  return text + fault.message;
}

std::string ToText(const std::vector<Fault>& faults, size_t limit) {
  std::string text;
  const size_t n = std::min(limit, faults.size());
  for (size_t i = 0; i < n; ++i) {
    absl::StrAppend(&text, i == 0 ? "" : "\n", ToText(faults[i]));
  }
  if (n < faults.size()) {
    absl::StrAppend(&text, "\nand ", faults.size() - n, " more");
  }
  return text;
}

}  // namespace umbertrail::manifest
