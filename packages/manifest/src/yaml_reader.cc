#include "yaml_reader.h"

#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace umbertrail::manifest::detail {
namespace {

constexpr size_t kMaxIdLength = 128;
constexpr size_t kMaxTextLength = 1024;
// yaml-cpp marks quoted scalars with this tag.
constexpr char kQuotedTag[] = "!";

bool IsIdCharacter(char c, IdAlphabet alphabet) {
  if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
      c == '_' || c == '-') {
    return true;
  }
  return alphabet == IdAlphabet::kPath && (c == '/' || c == ':');
}

bool IsPlainScalar(const YAML::Node& node) {
  return node.IsScalar() && node.Tag() != kQuotedTag;
}

std::string RangeText(const Range& range) {
  return absl::StrFormat("must be from %.15g to %.15g", range.min, range.max);
}

bool InRange(const Range& range, double n) {
  return n >= range.min && n <= range.max;
}

// Integers of any width.
template <typename Int>
bool ReadInteger(const Location& location,
                 const Range& range,
                 FaultList* faults,
                 Int* out) {
  Int n = 0;
  if (!IsPlainScalar(location.node) ||
      !absl::SimpleAtoi(location.node.Scalar(), &n)) {
    faults->Add(location, "must be a whole number");
    return false;
  }
  if (!InRange(range, static_cast<double>(n))) {
    faults->Add(location, RangeText(range));
    return false;
  }
  *out = n;
  return true;
}

}  // namespace

Location Child(const Location& parent, const std::string& key) {
  const YAML::Node& node = parent.node;
  if (!node.IsMap()) {
    return parent;
  }
  const YAML::Node child = node[key];
  if (!child.IsDefined()) {
    return parent;
  }
  return {parent.part,
          parent.path.empty() ? key : absl::StrCat(parent.path, ".", key),
          child};
}

Location Element(const Location& parent, size_t index) {
  const YAML::Node& node = parent.node;
  if (!node.IsSequence() || index >= node.size()) {
    return parent;
  }
  return {parent.part, absl::StrCat(parent.path, "[", index, "]"), node[index]};
}

void FaultList::Add(const Location& location, std::string message) {
  const YAML::Mark mark = location.node.IsDefined() ? location.node.Mark()
                                                    : YAML::Mark::null_mark();
  Add(Fault{location.part, mark.line + 1, location.path, std::move(message)});
}

void FaultList::Add(Fault fault) {
  faults_.push_back(std::move(fault));
}

bool ReadKey(const Location& map,
             const YAML::Node& key,
             FaultList* faults,
             std::string* out) {
  if (!key.IsScalar()) {
    faults->Add({map.part, map.path, key}, "key must be text");
    return false;
  }
  *out = key.Scalar();
  return true;
}

void ReadValue(const Location& location,
               const Range& /*range*/,
               FaultList* faults,
               bool* out) {
  const bool plain = IsPlainScalar(location.node);
  if (plain && location.node.Scalar() == "true") {
    *out = true;
  } else if (plain && location.node.Scalar() == "false") {
    *out = false;
  } else {
    faults->Add(location, "must be true or false");
  }
}

void ReadValue(const Location& location,
               const Range& range,
               FaultList* faults,
               int* out) {
  ReadInteger(location, range, faults, out);
}

void ReadValue(const Location& location,
               const Range& range,
               FaultList* faults,
               uint64_t* out) {
  ReadInteger(location, range, faults, out);
}

void ReadValue(const Location& location,
               const Range& range,
               FaultList* faults,
               Tokens* out) {
  int64_t n = 0;
  if (ReadInteger(location, range, faults, &n)) {
    *out = Tokens(n);
  }
}

void ReadValue(const Location& location,
               const Range& range,
               FaultList* faults,
               double* out) {
  double n = 0;
  if (!IsPlainScalar(location.node) ||
      !absl::SimpleAtod(location.node.Scalar(), &n) || !std::isfinite(n)) {
    faults->Add(location, "must be a number");
  } else if (!InRange(range, n)) {
    faults->Add(location, RangeText(range));
  } else {
    *out = n;
  }
}

void ReadValue(const Location& location,
               const Range& /*range*/,
               FaultList* faults,
               std::string* out) {
  if (!location.node.IsScalar()) {
    faults->Add(location, "must be text");
  } else if (location.node.Scalar().empty() ||
             location.node.Scalar().size() > kMaxTextLength) {
    faults->Add(location,
                absl::StrCat("must have 1 to ", kMaxTextLength, " characters"));
  } else {
    *out = location.node.Scalar();
  }
}

bool ReadId(const Location& location,
            IdAlphabet alphabet,
            FaultList* faults,
            std::string* out) {
  if (!location.node.IsScalar()) {
    faults->Add(location, "must be text");
    return false;
  }
  const std::string& text = location.node.Scalar();
  if (text.empty() || text.size() > kMaxIdLength) {
    faults->Add(location,
                absl::StrCat("must have 1 to ", kMaxIdLength, " characters"));
    return false;
  }
  for (const char c : text) {
    if (!IsIdCharacter(c, alphabet)) {
      faults->Add(location,
                  alphabet == IdAlphabet::kPlain
                      ? "may have letters, digits, `.`, `_` and `-` only"
                      : "may have letters, digits, `.`, `_`, `-`, `/` "
                        "and `:` only");
      return false;
    }
  }
  *out = text;
  return true;
}

}  // namespace umbertrail::manifest::detail
