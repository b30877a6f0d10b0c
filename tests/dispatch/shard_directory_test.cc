#include "umbertrail/dispatch/shard_directory.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <set>
#include <string>

namespace umbertrail::dispatch {
namespace {

const DataCentreId kEast("east");
const DataCentreId kWest("west");
const absl::Time kStart = absl::UnixEpoch();

Shard ShardOf(const DataCentreId& data_centre, int bucket) {
  return {ServiceId("llm"), data_centre, 8, bucket};
}

// Numbers in [0, 1) from a fixed seed.
std::function<double()> Numbers(uint64_t seed = 7) {
  return [engine = std::mt19937_64(seed)]() mutable {
    return static_cast<double>(engine() >> 11U) / 9007199254740992.0;
  };
}

Candidate Target(int slots, int occupied) {
  Candidate candidate;
  candidate.slots = slots;
  candidate.work.resize(static_cast<size_t>(occupied));
  for (WorkItem& item : candidate.work) {
    item.prefilling = false;
  }
  return candidate;
}

TEST_CASE("a shard's capacity counts idle targets") {
  CHECK(ShardCapacity({}, kStart) == 0);
  CHECK(ShardCapacity({Target(12, 0), Target(12, 6), Target(12, 12)}, kStart) ==
        Approx(1.5));
  // More requests than slots are queued at the target.
  CHECK(ShardCapacity({Target(12, 20)}, kStart) == 0);
}

TEST_CASE("a target that can't be sent to or reads long prompts counts less") {
  Candidate limited = Target(12, 0);
  limited.rate_wait = absl::Milliseconds(10);
  CHECK(ShardCapacity({limited}, kStart) == 0);
  Candidate failing = Target(12, 0);
  failing.failure_rate = 0.75;
  CHECK(ShardCapacity({failing}, kStart) == Approx(0.25));
  Candidate reading = Target(10, 1);
  reading.work[0].prefilling = true;
  reading.work[0].sent_at = kStart;
  reading.work[0].prefill_time = absl::Milliseconds(500);
  CHECK(ShardCapacity({reading}, kStart) == Approx(0.45));
  reading.work[0].prefill_time = absl::Seconds(20);
  CHECK(ShardCapacity({reading}, kStart) == 0);
}

// Without the age, a shard that was busy once would never be asked again, and
// one that was idle once would be asked for ever.
TEST_CASE("a report loses its weight with its age") {
  ShardDirectory directory;
  const Shard busy = ShardOf(kEast, 0);
  const Shard idle = ShardOf(kEast, 1);
  CHECK(directory.ExpectedCapacity(busy, kStart) ==
        ShardDirectory::kUnknownCapacity);
  directory.Record(busy, 0, kStart);
  directory.Record(idle, 20, kStart);
  CHECK(directory.ExpectedCapacity(busy, kStart) == 0);
  CHECK(directory.ExpectedCapacity(idle, kStart) == 20);
  const absl::Time later = kStart + absl::Seconds(1);
  CHECK(directory.ExpectedCapacity(busy, later) > ShardDirectory::kMinCapacity);
  CHECK(directory.ExpectedCapacity(idle, later) < 10);
  const absl::Time much_later = kStart + absl::Seconds(25);
  CHECK(directory.ExpectedCapacity(busy, much_later) == Approx(1));
  CHECK(directory.ExpectedCapacity(idle, much_later) == Approx(1));
}

TEST_CASE("the latest report of a shard replaces the former one") {
  ShardDirectory directory;
  directory.Record(ShardOf(kEast, 0), 5, kStart);
  directory.Record(ShardOf(kEast, 0), 0, kStart);
  CHECK(directory.ExpectedCapacity(ShardOf(kEast, 0), kStart) == 0);
  CHECK(directory.size() == 1);
}

TEST_CASE("a forged or broken report changes nothing beyond its shard") {
  ShardDirectory directory;
  directory.Record(ShardOf(kEast, 0), std::nan(""), kStart);
  directory.Record(ShardOf(kEast, 1), std::numeric_limits<double>::infinity(),
                   kStart);
  CHECK(directory.size() == 0);
  directory.Record(ShardOf(kEast, 3), 1e30, kStart);
  CHECK(directory.ExpectedCapacity(ShardOf(kEast, 3), kStart) < 100);
  directory.Record(ShardOf(kEast, 2), -7, kStart);
  CHECK(directory.ExpectedCapacity(ShardOf(kEast, 2), kStart) == 0);
}

TEST_CASE("the own data centre is asked first while it has capacity") {
  ShardDirectory directory;
  const std::vector<Shard> shards = {ShardOf(kWest, 0), ShardOf(kEast, 0),
                                     ShardOf(kEast, 1)};
  directory.Record(shards[0], 30, kStart);
  directory.Record(shards[1], 1, kStart);
  directory.Record(shards[2], 0, kStart);
  auto ranked = directory.Rank(shards, kEast, kStart, Numbers());
  REQUIRE(ranked.size() == 3);
  CHECK(ranked[0].shard.Name() == shards[1].Name());
  CHECK(ranked[1].shard.Name() == shards[0].Name());
  CHECK(ranked[2].shard.Name() == shards[2].Name());
  CHECK(ranked[2].expected_capacity < ShardDirectory::kMinCapacity);
  // A request is sent to another data centre when the near shards have none.
  directory.Record(shards[1], 0, kStart);
  ranked = directory.Rank(shards, kEast, kStart, Numbers());
  CHECK(ranked[0].shard.Name() == shards[0].Name());
  // It goes back when the reports are too old to say so.
  ranked = directory.Rank(shards, kEast, kStart + absl::Seconds(2), Numbers());
  CHECK(ranked[0].shard.data_centre.text() == "east");
}

TEST_CASE("an unknown shard is asked before one that is known to be busy") {
  ShardDirectory directory;
  std::vector<Shard> shards;
  for (int bucket = 0; bucket < 8; ++bucket) {
    shards.push_back(ShardOf(kEast, bucket));
    if (bucket != 5) {
      directory.Record(shards.back(), 0.1, kStart);
    }
  }
  for (uint64_t seed = 0; seed < 50; ++seed) {
    const auto ranked = directory.Rank(shards, kEast, kStart, Numbers(seed));
    CHECK(ranked[0].shard.bucket == 5);
  }
}

// Instances with the same reports would all ask the one with the most, and it
// would be full before the next report.
TEST_CASE("shards are asked first in proportion to their capacity") {
  ShardDirectory directory;
  const std::vector<Shard> shards = {ShardOf(kEast, 0), ShardOf(kEast, 1),
                                     ShardOf(kEast, 2)};
  directory.Record(shards[0], 10, kStart);
  directory.Record(shards[1], 30, kStart);
  directory.Record(shards[2], 0, kStart);
  constexpr int kRequests = 4000;
  int first[3] = {};
  const auto random = Numbers();
  for (int i = 0; i < kRequests; ++i) {
    ++first[directory.Rank(shards, kEast, kStart, random)[0].shard.bucket];
  }
  CHECK(first[0] == Approx(kRequests * 0.25).epsilon(0.1));
  CHECK(first[1] == Approx(kRequests * 0.75).epsilon(0.1));
  CHECK(first[2] == 0);
}

TEST_CASE("a bounded number of shards is ranked, and each at some time") {
  std::vector<Shard> shards;
  constexpr int kShards = 500;
  for (int bucket = 0; bucket < kShards; ++bucket) {
    shards.push_back(ShardOf(kEast, bucket));
  }
  const ShardDirectory directory;
  const auto random = Numbers();
  std::set<int> ranked;
  constexpr int kSearches = 300;
  for (int i = 0; i < kSearches; ++i) {
    const auto some = directory.Rank(shards, kEast, kStart, random);
    REQUIRE(some.size() == ShardDirectory::kMaxRanked);
    for (const RankedShard& one : some) {
      ranked.insert(one.shard.bucket);
    }
  }
  CHECK(ranked.size() == kShards);
  CHECK(directory.Rank({}, kEast, kStart, random).empty());
}

TEST_CASE("shards that exist no more are forgotten") {
  ShardDirectory directory;
  for (int bucket = 0; bucket < 100; ++bucket) {
    directory.Record(ShardOf(kEast, bucket), 1, kStart);
  }
  CHECK(directory.size() == 100);
  directory.Record(ShardOf(kWest, 0), 1, kStart + absl::Seconds(60));
  CHECK(directory.size() == 1);
}

}  // namespace
}  // namespace umbertrail::dispatch
