#ifndef UMBERTRAIL_MANIFEST_SRC_YAML_READER_H_
#define UMBERTRAIL_MANIFEST_SRC_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "umbertrail/manifest/fault.h"
#include "umbertrail/manifest/schema.h"

// Table-driven reader of YAML nodes into typed members that reports every fault
// with its location.

namespace umbertrail::manifest::detail {

// A YAML node with its part name and key path.
struct Location {
  std::string part;
  std::string path;
  YAML::Node node;
};

// The value of `key`, or `parent` if the key is missing.
Location Child(const Location& parent, const std::string& key);

// An element of a list, or `parent` if `index` is out of range.
Location Element(const Location& parent, size_t index);

class FaultList {
 public:
  void Add(const Location& location, std::string message);
  void Add(Fault fault);
  bool empty() const { return faults_.empty(); }
  std::vector<Fault> Take() { return std::move(faults_); }

 private:
  std::vector<Fault> faults_;
};

// Inclusive bounds of a number.
struct Range {
  double min = std::numeric_limits<double>::lowest();
  double max = std::numeric_limits<double>::max();
};

enum class Presence { kRequired, kOptional };

// A map key and the function that reads its value.
template <typename T>
struct Field {
  const char* key;
  Presence presence;
  void (*read)(const Location&, const Range&, FaultList*, T*);
  Range range;
};

// Scalars. An invalid or out-of-range value is a fault and leaves `out`
// unchanged.
void ReadValue(const Location& location, const Range&, FaultList*, bool* out);
void ReadValue(const Location& location, const Range&, FaultList*, int* out);
void ReadValue(const Location& location,
               const Range&,
               FaultList*,
               uint64_t* out);
void ReadValue(const Location& location, const Range&, FaultList*, double* out);
void ReadValue(const Location& location, const Range&, FaultList*, Tokens* out);
void ReadValue(const Location& location,
               const Range&,
               FaultList*,
               std::string* out);

// Characters allowed in an id.
enum class IdAlphabet {
  kPlain,  // letters, digits, `.`, `_` and `-`
  kPath,   // also `/` and `:`
};
bool ReadId(const Location& location, IdAlphabet, FaultList*, std::string* out);

template <typename Tag>
void ReadValue(const Location& location,
               const Range& /*range*/,
               FaultList* faults,
               TextId<Tag>* out) {
  using Id = TextId<Tag>;
  constexpr bool path =
      std::is_same_v<Id, ModelId> || std::is_same_v<Id, AdapterId>;
  std::string text;
  if (ReadId(location, path ? IdAlphabet::kPath : IdAlphabet::kPlain, faults,
             &text)) {
    *out = Id(text);
  }
}

// Lists. An invalid element is a fault.
template <typename Tag>
void ReadValue(const Location& location,
               const Range& range,
               FaultList* faults,
               std::vector<TextId<Tag>>* out) {
  if (!location.node.IsSequence()) {
    faults->Add(location, "must be a list");
    return;
  }
  for (size_t i = 0; i < location.node.size(); ++i) {
    TextId<Tag> id;
    ReadValue(Element(location, i), range, faults, &id);
    out->push_back(id);
  }
}

// Reads into `out->*Member`.
template <auto Member, typename T>
void ReadMember(const Location& location,
                const Range& range,
                FaultList* faults,
                T* out) {
  ReadValue(location, range, faults, &(out->*Member));
}

// Reads the key of a map entry; returns false and adds a fault if not text.
bool ReadKey(const Location& map,
             const YAML::Node& key,
             FaultList* faults,
             std::string* out);

// Reads a map. Unknown, duplicate, non-text and missing required keys are
// faults.
template <typename T, size_t Size>
void ReadMap(const Location& location,
             const Field<T> (&fields)[Size],
             FaultList* faults,
             T* out) {
  if (!location.node.IsMap()) {
    faults->Add(location, "must be a map");
    return;
  }
  bool seen[Size] = {};
  for (const auto& it : location.node) {
    std::string key;
    if (!ReadKey(location, it.first, faults, &key)) {
      continue;
    }
    const std::string path =
        location.path.empty() ? key : absl::StrCat(location.path, ".", key);
    size_t i = 0;
    while (i < Size && key != fields[i].key) {
      ++i;
    }
    if (i == Size) {
      faults->Add({location.part, path, it.first}, "unknown key");
    } else if (seen[i]) {
      faults->Add({location.part, path, it.first}, "key given twice");
    } else {
      seen[i] = true;
      fields[i].read({location.part, path, it.second}, fields[i].range, faults,
                     out);
    }
  }
  for (size_t i = 0; i < Size; ++i) {
    if (!seen[i] && fields[i].presence == Presence::kRequired) {
      faults->Add(location,
                  absl::StrCat("lacks the key `", fields[i].key, "`"));
    }
  }
}

}  // namespace umbertrail::manifest::detail

#endif  // UMBERTRAIL_MANIFEST_SRC_YAML_READER_H_
