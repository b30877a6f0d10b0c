#include "umbertrail/dispatch/shards.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "umbertrail/base/hash.h"

namespace umbertrail::dispatch {
namespace {

// A service with at most this many targets is one shard, across data centres.
constexpr int kMaxUnshardedTargets = 32;
// Maximum targets of a shard. Where there are enough, a shard has at least half
// as many, as one prompt may need the memory of a dozen.
constexpr int kMaxShardTargets = 32;
// Up to this many instances load reports are broadcast: fewer messages than
// queries, and no round trip.
constexpr int kMaxBroadcastInstances = 16;
// A primary, and a backup with the same load reports if the primary fails.
constexpr int kHomesPerShard = 2;
// Assumed for an instance that doesn't report its CPU share, in cores.
constexpr double kDefaultCpuShare = 0.1;

int BucketOf(const TargetId& id, int buckets) {
  return static_cast<int>(StableHash(id.text()) %
                          static_cast<uint64_t>(buckets));
}

// A power of two, so that a resize splits or merges shards.
int BucketsFor(int targets) {
  int buckets = 1;
  while (targets > kMaxShardTargets * buckets) {
    buckets *= 2;
  }
  return buckets;
}

// Weighted rendezvous hashing: the smallest score is first. The weight is the
// square of the CPU share, as a home serves many instances and a slow one
// delays all of them.
double Score(uint64_t shard, const Member& member) {
  const double processor =
      member.cpu_cores > 0 ? member.cpu_cores : kDefaultCpuShare;
  const uint64_t hash = StableHash(member.id.text(), shard);
  const double uniform =
      (static_cast<double>(hash >> 11U) + 1) / 9007199254740993.0;
  return -std::log(uniform) / (processor * processor);
}

}  // namespace

bool Shard::Holds(const TargetEntry& target) const {
  return target.service == service &&
         (data_centre.empty() || target.data_centre == data_centre) &&
         (buckets <= 1 || BucketOf(target.id, buckets) == bucket);
}

std::string Shard::Name() const {
  return absl::StrCat(service.text(), "/", data_centre.text(), "/", buckets,
                      "/", bucket);
}

ShardTable::ShardTable(const std::map<TargetId, TargetEntry>& targets) {
  std::map<ServiceId, std::map<DataCentreId, int>> counts;
  for (const auto& [id, entry] : targets) {
    ++counts[entry.service][entry.data_centre];
  }
  for (const auto& [service, by_data_centre] : counts) {
    int total = 0;
    for (const auto& [data_centre, count] : by_data_centre) {
      total += count;
    }
    std::vector<Shard>& shards = shards_[service];
    if (total <= kMaxUnshardedTargets) {
      shards.push_back({service, DataCentreId(), 1, 0});
      continue;
    }
    for (const auto& [data_centre, count] : by_data_centre) {
      const int buckets = BucketsFor(count);
      for (int bucket = 0; bucket < buckets; ++bucket) {
        shards.push_back({service, data_centre, buckets, bucket});
      }
    }
  }
}

const std::vector<Shard>& ShardTable::Of(const ServiceId& service) const {
  static const std::vector<Shard> none;
  const auto found = shards_.find(service);
  return found == shards_.end() ? none : found->second;
}

const Shard* ShardTable::Of(const TargetEntry& target) const {
  const std::vector<Shard>& shards = Of(target.service);
  const auto found =
      std::find_if(shards.begin(), shards.end(),
                   [&](const Shard& shard) { return shard.Holds(target); });
  return found == shards.end() ? nullptr : &*found;
}

bool AllInstancesAreHomes(int live_instances) {
  return live_instances <= kMaxBroadcastInstances;
}

int HomeCount(int live_instances) {
  return AllInstancesAreHomes(live_instances) ? live_instances : kHomesPerShard;
}

std::vector<InstanceId> ChooseHomes(const Shard& shard,
                                    const std::vector<const Member*>& live) {
  const uint64_t seed = StableHash(shard.Name());
  struct Ranked {
    bool remote;
    double score;
    const Member* member;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(live.size());
  for (const Member* member : live) {
    const bool remote =
        !shard.data_centre.empty() && member->data_centre != shard.data_centre;
    ranked.push_back({remote, Score(seed, *member), member});
  }
  const size_t count =
      std::min(ranked.size(),
               static_cast<size_t>(HomeCount(static_cast<int>(live.size()))));
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const Ranked& a, const Ranked& b) {
                      return std::make_pair(a.remote, a.score) <
                             std::make_pair(b.remote, b.score);
                    });
  std::vector<InstanceId> homes;
  homes.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    homes.push_back(ranked[i].member->id);
  }
  return homes;
}

}  // namespace umbertrail::dispatch
