#ifndef UMBERTRAIL_CORE_REQUEST_RENDEZVOUS_H_
#define UMBERTRAIL_CORE_REQUEST_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "umbertrail/core/types.h"

namespace umbertrail::core {

// The first `count` of `instances` for `key` by rendezvous hashing: each
// instance keeps its rank for a key when others come and go. Leaving instances
// rank last. Cost: one hash an instance.
std::vector<InstanceId> RankInstances(
    uint64_t key,
    const std::vector<InstanceInfo>& instances,
    std::size_t count);

// As above for a text key.
std::vector<InstanceId> RankInstances(
    std::string_view key,
    const std::vector<InstanceInfo>& instances,
    std::size_t count);

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_RENDEZVOUS_H_
