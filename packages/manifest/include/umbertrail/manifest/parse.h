#ifndef UMBERTRAIL_MANIFEST_PARSE_H_
#define UMBERTRAIL_MANIFEST_PARSE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "umbertrail/manifest/fault.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

// One part with its content, in YAML.
struct Part {
  std::string name;
  std::string bytes;
};

// A valid manifest, or every fault that was found (never an empty list).
using ParsedManifest = std::variant<Manifest, std::vector<Fault>>;

// Largest part or document that is read, in bytes: the configuration service
// holds no larger value.
inline constexpr size_t kMaxPartBytes = 1 << 20;

// Reads and checks a published manifest. `parts` are those named by `head`, in
// any order; a part that is missing, or whose bytes don't have the hash that
// the head gives, is a fault. All faults are named: those of the text (unknown,
// repeated or missing keys, wrong types, values out of range) and those of the
// whole (dangling references, duplicates, empty sets). Checks of the whole run
// on what could be read, so one bad key doesn't hide the others.
//
// Cost: linear in the bytes of the parts; no state is kept between calls.
ParsedManifest ParseManifest(const Head& head, const std::vector<Part>& parts);

// The same for one whole document in the operators' form, which holds
// `revision` and all sections. `file` names the document in faults.
ParsedManifest ParseManifestFile(std::string_view yaml, std::string_view file);

// Feeds arbitrary bytes to both parsers; for fuzzers. Returns 0.
int FuzzManifest(const uint8_t* data, size_t size);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_PARSE_H_
