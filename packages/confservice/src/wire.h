#ifndef UMBERTRAIL_CONFSERVICE_SRC_WIRE_H_
#define UMBERTRAIL_CONFSERVICE_SRC_WIRE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "umbertrail/core/types.h"
#include "umbertrail/manifest/schema.h"

// The configuration service's protocol as JSON; see docs/PROTOCOLS.md.

namespace umbertrail::confservice::detail {

// One answer of a watch. A list is left out when the caller named its version.
struct WatchAnswer {
  uint64_t version = 0;
  manifest::Head head;
  uint64_t instances_version = 0;
  std::optional<std::vector<core::InstanceInfo>> instances;
  uint64_t targets_version = 0;
  std::optional<std::vector<core::TargetInfo>> targets;
};

// Nothing when the answer is malformed in any part.
std::optional<WatchAnswer> ParseWatch(std::string_view body);

}  // namespace umbertrail::confservice::detail

#endif  // UMBERTRAIL_CONFSERVICE_SRC_WIRE_H_
