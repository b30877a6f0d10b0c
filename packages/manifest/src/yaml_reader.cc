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
  return absl::StrFormat("must be from %.15g to %.15g", range.least,
                         range.most);
}

bool InRange(const Range& range, double n) {
  return n >= range.least && n <= range.most;
}

// Whole numbers of any width.
template <typename Int>
bool ReadWhole(const Place& place,
               const Range& range,
               FaultLog* faults,
               Int* out) {
  Int n = 0;
  if (!IsPlainScalar(place.node) ||
      !absl::SimpleAtoi(place.node.Scalar(), &n)) {
    faults->Add(place, "must be a whole number");
    return false;
  }
  if (!InRange(range, static_cast<double>(n))) {
    faults->Add(place, RangeText(range));
    return false;
  }
  *out = n;
  return true;
}

}  // namespace

Place Child(const Place& parent, const std::string& key) {
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

Place Element(const Place& parent, size_t index) {
  const YAML::Node& node = parent.node;
  if (!node.IsSequence() || index >= node.size()) {
    return parent;
  }
  return {parent.part, absl::StrCat(parent.path, "[", index, "]"), node[index]};
}

void FaultLog::Add(const Place& place, std::string message) {
  const YAML::Mark mark =
      place.node.IsDefined() ? place.node.Mark() : YAML::Mark::null_mark();
  Add(Fault{place.part, mark.line + 1, place.path, std::move(message)});
}

void FaultLog::Add(Fault fault) {
  faults_.push_back(std::move(fault));
}

bool KeyOf(const Place& map,
           const YAML::Node& key,
           FaultLog* faults,
           std::string* out) {
  if (!key.IsScalar()) {
    faults->Add({map.part, map.path, key}, "key must be text");
    return false;
  }
  *out = key.Scalar();
  return true;
}

void ReadValue(const Place& place,
               const Range& /*range*/,
               FaultLog* faults,
               bool* out) {
  const bool plain = IsPlainScalar(place.node);
  if (plain && place.node.Scalar() == "true") {
    *out = true;
  } else if (plain && place.node.Scalar() == "false") {
    *out = false;
  } else {
    faults->Add(place, "must be true or false");
  }
}

void ReadValue(const Place& place,
               const Range& range,
               FaultLog* faults,
               int* out) {
  ReadWhole(place, range, faults, out);
}

void ReadValue(const Place& place,
               const Range& range,
               FaultLog* faults,
               uint64_t* out) {
  ReadWhole(place, range, faults, out);
}

void ReadValue(const Place& place,
               const Range& range,
               FaultLog* faults,
               Tokens* out) {
  int64_t n = 0;
  if (ReadWhole(place, range, faults, &n)) {
    *out = Tokens(n);
  }
}

void ReadValue(const Place& place,
               const Range& range,
               FaultLog* faults,
               double* out) {
  double n = 0;
  if (!IsPlainScalar(place.node) ||
      !absl::SimpleAtod(place.node.Scalar(), &n) || !std::isfinite(n)) {
    faults->Add(place, "must be a number");
  } else if (!InRange(range, n)) {
    faults->Add(place, RangeText(range));
  } else {
    *out = n;
  }
}

void ReadValue(const Place& place,
               const Range& /*range*/,
               FaultLog* faults,
               std::string* out) {
  if (!place.node.IsScalar()) {
    faults->Add(place, "must be text");
  } else if (place.node.Scalar().empty() ||
             place.node.Scalar().size() > kMaxTextLength) {
    faults->Add(place,
                absl::StrCat("must have 1 to ", kMaxTextLength, " characters"));
  } else {
    *out = place.node.Scalar();
  }
}

bool ReadId(const Place& place,
            IdAlphabet alphabet,
            FaultLog* faults,
            std::string* out) {
  if (!place.node.IsScalar()) {
    faults->Add(place, "must be text");
    return false;
  }
  const std::string& text = place.node.Scalar();
  if (text.empty() || text.size() > kMaxIdLength) {
    faults->Add(place,
                absl::StrCat("must have 1 to ", kMaxIdLength, " characters"));
    return false;
  }
  for (const char c : text) {
    if (!IsIdCharacter(c, alphabet)) {
      faults->Add(place, alphabet == IdAlphabet::kPlain
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
