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

// A named part and its YAML content.
struct Part {
  std::string name;
  std::string bytes;
};

// A valid manifest, or a non-empty list of all faults.
using ParsedManifest = std::variant<Manifest, std::vector<Fault>>;

// Maximum size of a part or document, in bytes; the configuration service does
// not store larger values.
inline constexpr size_t kMaxPartBytes = 1 << 20;

// Parses and validates a published manifest. `parts` are those listed in
// `head`, in any order; a missing part or a hash mismatch is a fault. All
// faults are reported: syntactic (unknown, duplicate or missing keys, wrong
// types, values out of range) and semantic (dangling references, duplicates,
// empty sets). Semantic checks run on whatever could be parsed, so that one bad
// key doesn't hide others.
//
// Cost: linear in the size of the parts. Stateless.
ParsedManifest ParseManifest(const Head& head, const std::vector<Part>& parts);

// Parses a single-file manifest, which contains `revision` and all sections.
// `file` is the name used in faults.
ParsedManifest ParseManifestFile(std::string_view yaml, std::string_view file);

// Fuzzing entry point: runs both parsers on arbitrary bytes. Returns 0.
int FuzzManifest(const uint8_t* data, size_t size);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_PARSE_H_
