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

// Reads YAML nodes into typed members by tables of fields, and notes every
// fault with its place.

namespace umbertrail::manifest::detail {

// A node of a part, with the keys that lead to it.
struct Place {
  std::string part;
  std::string path;
  YAML::Node node;
};

// The value under `key`; `parent` itself where that key is missing.
Place Child(const Place& parent, const std::string& key);

// One element of a list; `parent` itself where the list is shorter.
Place Element(const Place& parent, size_t index);

// Collects faults.
class FaultLog {
 public:
  void Add(const Place& place, std::string message);
  void Add(Fault fault);
  bool empty() const { return faults_.empty(); }
  std::vector<Fault> Take() { return std::move(faults_); }

 private:
  std::vector<Fault> faults_;
};

// Bounds of a number, both included.
struct Range {
  double least = std::numeric_limits<double>::lowest();
  double most = std::numeric_limits<double>::max();
};

enum class Presence { kRequired, kOptional };

// One key of a map and the member that it fills.
template <typename T>
struct Field {
  const char* key;
  Presence presence;
  void (*read)(const Place&, const Range&, FaultLog*, T*);
  Range range;
};

// Scalars. A value that can't be read or is out of range is a fault and leaves
// `out` as it was.
void ReadValue(const Place& place, const Range&, FaultLog*, bool* out);
void ReadValue(const Place& place, const Range&, FaultLog*, int* out);
void ReadValue(const Place& place, const Range&, FaultLog*, uint64_t* out);
void ReadValue(const Place& place, const Range&, FaultLog*, double* out);
void ReadValue(const Place& place, const Range&, FaultLog*, Tokens* out);
void ReadValue(const Place& place, const Range&, FaultLog*, std::string* out);

// Letters that an id may have.
enum class IdAlphabet {
  kPlain,  // letters, digits, `.`, `_` and `-`
  kPath,   // also `/` and `:`
};
bool ReadId(const Place& place, IdAlphabet, FaultLog*, std::string* out);

template <typename Tag>
void ReadValue(const Place& place,
               const Range& /*range*/,
               FaultLog* faults,
               TextId<Tag>* out) {
  using Id = TextId<Tag>;
  constexpr bool path =
      std::is_same_v<Id, ModelId> || std::is_same_v<Id, AdapterId>;
  std::string text;
  if (ReadId(place, path ? IdAlphabet::kPath : IdAlphabet::kPlain, faults,
             &text)) {
    *out = Id(text);
  }
}

// Lists. Elements that can't be read are left out.
template <typename Tag>
void ReadValue(const Place& place,
               const Range& range,
               FaultLog* faults,
               std::vector<TextId<Tag>>* out) {
  if (!place.node.IsSequence()) {
    faults->Add(place, "must be a list");
    return;
  }
  for (size_t i = 0; i < place.node.size(); ++i) {
    TextId<Tag> id;
    ReadValue(Element(place, i), range, faults, &id);
    out->push_back(id);
  }
}

// Reads the member `Member` of a field's owner.
template <auto Member, typename T>
void ReadMember(const Place& place,
                const Range& range,
                FaultLog* faults,
                T* out) {
  ReadValue(place, range, faults, &(out->*Member));
}

// The key of a map's entry, or nothing (with a fault) where it isn't text.
bool KeyOf(const Place& map,
           const YAML::Node& key,
           FaultLog* faults,
           std::string* out);

// Reads a map whose keys are text, all known, each there once, and the
// required ones there.
template <typename T, size_t Size>
void ReadMap(const Place& place,
             const Field<T> (&fields)[Size],
             FaultLog* faults,
             T* out) {
  if (!place.node.IsMap()) {
    faults->Add(place, "must be a map");
    return;
  }
  bool seen[Size] = {};
  for (const auto& it : place.node) {
    std::string key;
    if (!KeyOf(place, it.first, faults, &key)) {
      continue;
    }
    const std::string path =
        place.path.empty() ? key : absl::StrCat(place.path, ".", key);
    size_t i = 0;
    while (i < Size && key != fields[i].key) {
      ++i;
    }
    if (i == Size) {
      faults->Add({place.part, path, it.first}, "unknown key");
    } else if (seen[i]) {
      faults->Add({place.part, path, it.first}, "key given twice");
    } else {
      seen[i] = true;
      fields[i].read({place.part, path, it.second}, fields[i].range, faults,
                     out);
    }
  }
  for (size_t i = 0; i < Size; ++i) {
    if (!seen[i] && fields[i].presence == Presence::kRequired) {
      faults->Add(place, absl::StrCat("lacks the key `", fields[i].key, "`"));
    }
  }
}

}  // namespace umbertrail::manifest::detail

#endif  // UMBERTRAIL_MANIFEST_SRC_YAML_READER_H_
