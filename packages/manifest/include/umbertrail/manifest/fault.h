#ifndef UMBERTRAIL_MANIFEST_FAULT_H_
#define UMBERTRAIL_MANIFEST_FAULT_H_

#include <string>
#include <vector>

namespace umbertrail::manifest {

// One reason why a manifest is refused, and where it stands.
struct Fault {
  // Name of the part or of the file.
  std::string part;
  // Line in that part, from 1; 0 when the fault has no place in the text.
  int line = 0;
  // Keys from the top, such as `accounts[2].weight`; empty for the whole part.
  std::string path;
  // A sentence for people, without a full stop.
  std::string message;
};

// `PART:LINE: PATH: MESSAGE`, without the pieces that are absent.
std::string ToText(const Fault& fault);

// All faults, one a line, at most `limit` of them and a count of the rest.
std::string ToText(const std::vector<Fault>& faults, size_t limit);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_FAULT_H_
