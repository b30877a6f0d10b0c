#include "umbertrail/net/shedding.h"

#include <algorithm>
#include <numeric>

#include "absl/container/flat_hash_map.h"

namespace umbertrail::net {
namespace {

std::vector<size_t> LongestStalledFirst(
    const std::vector<ShedCandidate>& candidates) {
  std::vector<size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return candidates[a].stalled > candidates[b].stalled;
  });
  return order;
}

}  // namespace

std::vector<size_t> ChooseToShed(const std::vector<ShedCandidate>& candidates,
                                 const ShedPolicy& policy) {
  absl::flat_hash_map<ClientAddress, size_t> held;
  for (const ShedCandidate& it : candidates) {
    held[it.address] += it.bytes;
  }
  std::vector<size_t> chosen;
  size_t released = 0;
  const std::vector<size_t> order = LongestStalledFirst(candidates);
  for (const bool only_stalled : {true, false}) {
    for (const size_t i : order) {
      const ShedCandidate& it = candidates[i];
      const bool is_stalled = it.stalled >= policy.min_stalled;
      const bool is_over_part = it.address != policy.demand.address &&
                                held[it.address] > policy.demand.address_part;
      if (released >= policy.demand.bytes ||
          !(only_stalled ? is_stalled : !is_stalled && is_over_part)) {
        continue;
      }
      chosen.push_back(i);
      released += it.bytes;
      held[it.address] -= it.bytes;
    }
  }
  return chosen;
}

}  // namespace umbertrail::net
