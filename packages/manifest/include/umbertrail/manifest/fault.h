#ifndef UMBERTRAIL_MANIFEST_FAULT_H_
#define UMBERTRAIL_MANIFEST_FAULT_H_

#include <string>
#include <vector>

namespace umbertrail::manifest {

// A validation error and its location.
struct Fault {
  // Name of the part or of the file.
  std::string part;
  // Line in that part, starting at 1; 0 if the fault has no line.
  int line = 0;
  // Key path from the root, such as `accounts[2].weight`; empty for the whole
  // part.
  std::string path;
  // Human-readable message without a full stop.
  std::string message;
};

// `PART:LINE: PATH: MESSAGE`, omitting empty fields.
std::string ToText(const Fault& fault);

// One fault per line, at most `limit`, followed by a count of the rest.
std::string ToText(const std::vector<Fault>& faults, size_t limit);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_FAULT_H_
