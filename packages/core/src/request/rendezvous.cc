#include "umbertrail/core/request/rendezvous.h"

#include <algorithm>

namespace umbertrail::core {
namespace {

struct Scored {
  bool leaving = false;
  uint64_t score = 0;
  const InstanceInfo* instance = nullptr;
};

bool RanksBefore(const Scored& a, const Scored& b) {
  if (a.leaving != b.leaving) {
    return b.leaving;
  }
  if (a.score != b.score) {
    return a.score > b.score;
  }
  return a.instance->id < b.instance->id;
}

}  // namespace

std::vector<InstanceId> RankInstances(
    uint64_t key,
    const std::vector<InstanceInfo>& instances,
    std::size_t count) {
  std::vector<Scored> scored;
  scored.reserve(instances.size());
  for (const InstanceInfo& it : instances) {
    scored.push_back({it.leaving, StableHash(it.id.text(), key), &it});
  }
  const std::size_t n = std::min(count, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(scored.begin(), middle, scored.end(), RanksBefore);
  std::vector<InstanceId> ranked;
  ranked.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    ranked.push_back(scored[i].instance->id);
  }
  return ranked;
}

std::vector<InstanceId> RankInstances(
    std::string_view key,
    const std::vector<InstanceInfo>& instances,
    std::size_t count) {
  return RankInstances(StableHash(key), instances, count);
}

}  // namespace umbertrail::core
