#include "umbertrail/dispatch/shard_directory.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace umbertrail::dispatch {
namespace {

// A report's weight falls to 1/e in this time: about the time in which demand
// that alternates every ten seconds changes a shard's load by a tenth.
constexpr absl::Duration kReportAge = absl::Seconds(1);
// By then a report has no weight left. Shards that no longer exist, as targets
// were added or lost, are dropped with it.
constexpr absl::Duration kRetention = absl::Seconds(30);
// A target with so much prefill before a new prompt has no capacity for one
// with a common latency objective.
constexpr absl::Duration kFullBacklog = absl::Seconds(1);
// A shard has 32 targets on average at most. A broken report of far more would
// outweigh all others until the next.
constexpr double kMaxCapacity = 64;
// Weight of a shard without capacity in the random order.
constexpr double kMinWeight = 0.01;

double TargetCapacity(const Candidate& candidate, absl::Time now) {
  if (candidate.rate_wait > absl::ZeroDuration() || candidate.slots <= 0) {
    return 0;
  }
  const auto occupied =
      std::count_if(candidate.work.begin(), candidate.work.end(),
                    [](const WorkItem& item) { return !item.is_helper; });
  const double free =
      1 - static_cast<double>(occupied) / static_cast<double>(candidate.slots);
  const double backlog = absl::FDivDuration(
      PrefillBacklog(candidate.work, candidate.slowdown, now), kFullBacklog);
  return std::max(0.0, free) * std::max(0.0, 1 - backlog) *
         (1 - std::clamp(candidate.failure_rate, 0.0, 1.0));
}

struct Key {
  int group = 0;
  // Exponentially distributed with the capacity as its rate, so that a shard is
  // first in its group with a probability in proportion to its capacity.
  double order = 0;
  size_t index = 0;
};

}  // namespace

double ShardCapacity(const std::vector<Candidate>& candidates, absl::Time now) {
  double capacity = 0;
  for (const Candidate& candidate : candidates) {
    capacity += TargetCapacity(candidate, now);
  }
  return capacity;
}

void ShardDirectory::Record(const Shard& shard,
                            double capacity,
                            absl::Time now) {
  if (!std::isfinite(capacity)) {
    return;
  }
  reports_[shard.Name()] = {std::clamp(capacity, 0.0, kMaxCapacity), now};
  if (now - pruned_at_ < kRetention) {
    return;
  }
  pruned_at_ = now;
  for (auto it = reports_.begin(); it != reports_.end();) {
    it = now - it->second.at > kRetention ? reports_.erase(it) : std::next(it);
  }
}

double ShardDirectory::ExpectedCapacity(const Shard& shard,
                                        absl::Time now) const {
  const auto found = reports_.find(shard.Name());
  if (found == reports_.end()) {
    return kUnknownCapacity;
  }
  const double age = absl::FDivDuration(
      std::max(absl::ZeroDuration(), now - found->second.at), kReportAge);
  return kUnknownCapacity +
         (found->second.capacity - kUnknownCapacity) * std::exp(-age);
}

std::vector<RankedShard> ShardDirectory::Rank(
    const std::vector<Shard>& shards,
    const DataCentreId& near,
    absl::Time now,
    const std::function<double()>& random) const {
  std::vector<RankedShard> all;
  std::vector<Key> keys;
  const size_t count = std::min(shards.size(), kMaxRanked);
  all.reserve(count);
  keys.reserve(count);
  const size_t start =
      count < shards.size()
          ? static_cast<size_t>(random() * static_cast<double>(shards.size()))
          : 0;
  for (size_t i = 0; i < count; ++i) {
    const Shard& shard = shards[(start + i) % shards.size()];
    const double expected = ExpectedCapacity(shard, now);
    const bool is_near = shard.data_centre == near;
    const bool has_capacity = expected >= kMinCapacity;
    const int group = has_capacity ? (is_near ? 0 : 1) : (is_near ? 2 : 3);
    keys.push_back({group,
                    -std::log(1 - random()) / std::max(expected, kMinWeight),
                    all.size()});
    all.push_back({shard, expected});
  }
  std::sort(keys.begin(), keys.end(), [](const Key& a, const Key& b) {
    return std::tie(a.group, a.order, a.index) <
           std::tie(b.group, b.order, b.index);
  });
  std::vector<RankedShard> ranked;
  ranked.reserve(keys.size());
  for (const Key& key : keys) {
    ranked.push_back(std::move(all[key.index]));
  }
  return ranked;
}

}  // namespace umbertrail::dispatch
