#include "umbertrail/dispatch/shards.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace umbertrail::dispatch {
namespace {

const ServiceId kService("llm");

using Targets = std::map<TargetId, TargetEntry>;

void AddTargets(const std::string& data_centre, int count, Targets* targets) {
  for (int i = 0; i < count; ++i) {
    TargetEntry entry;
    entry.id = TargetId("t-" + data_centre + "-" + std::to_string(i));
    entry.service = kService;
    entry.data_centre = DataCentreId(data_centre);
    (*targets)[entry.id] = entry;
  }
}

std::vector<Member> MembersOf(const std::string& data_centre,
                              int count,
                              double processor) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) {
    Member member;
    member.id = InstanceId(data_centre + "-" + std::to_string(processor) + "-" +
                           std::to_string(i));
    member.data_centre = DataCentreId(data_centre);
    member.cpu_cores = processor;
    members.push_back(member);
  }
  return members;
}

std::vector<const Member*> Pointers(const std::vector<Member>& members) {
  std::vector<const Member*> pointers;
  for (const Member& member : members) {
    pointers.push_back(&member);
  }
  return pointers;
}

TEST_CASE("few targets are one shard across data centres") {
  Targets targets;
  AddTargets("east", 8, &targets);
  AddTargets("west", 8, &targets);
  const ShardTable table(targets);
  REQUIRE(table.Of(kService).size() == 1);
  CHECK(table.Of(kService)[0].data_centre.empty());
  CHECK(table.Of(ServiceId("other")).empty());
}

TEST_CASE("every target is in one shard, of its data centre") {
  Targets targets;
  for (const char* data_centre : {"a", "b", "c", "d", "e"}) {
    AddTargets(data_centre, 39, &targets);
  }
  const ShardTable table(targets);
  CHECK(table.Of(kService).size() == 10);
  std::map<std::string, int> sizes;
  for (const auto& [id, entry] : targets) {
    const auto& shards = table.Of(kService);
    CHECK(std::count_if(shards.begin(), shards.end(),
                        [&, &target = entry](const Shard& shard) {
                          return shard.Holds(target);
                        }) == 1);
    const Shard* shard = table.Of(entry);
    REQUIRE(shard != nullptr);
    CHECK(shard->data_centre == entry.data_centre);
    ++sizes[shard->Name()];
  }
  // Enough targets for the longest prompt's helpers, few enough to evaluate.
  for (const auto& [name, size] : sizes) {
    CHECK(size >= 12);
    CHECK(size <= 32);
  }
}

TEST_CASE("all instances of a small fleet are homes of every shard") {
  const auto members = MembersOf("east", 7, 0.25);
  Shard shard;
  shard.service = kService;
  CHECK(ChooseHomes(shard, Pointers(members)).size() == 7);
  CHECK(AllInstancesAreHomes(7));
  CHECK_FALSE(AllInstancesAreHomes(59));
}

TEST_CASE("homes are in their targets' data centre if it has instances") {
  auto members = MembersOf("east", 20, 0.12);
  const auto west = MembersOf("west", 20, 0.12);
  members.insert(members.end(), west.begin(), west.end());
  for (int bucket = 0; bucket < 8; ++bucket) {
    const Shard shard{kService, DataCentreId("west"), 8, bucket};
    for (const InstanceId& home : ChooseHomes(shard, Pointers(members))) {
      CHECK(home.text().substr(0, 4) == "west");
    }
  }
  const Shard lost{kService, DataCentreId("south"), 1, 0};
  CHECK(ChooseHomes(lost, Pointers(members)).size() == 2);
}

TEST_CASE("a failed member changes the homes of its own shards only") {
  const auto members = MembersOf("east", 40, 0.12);
  for (int bucket = 0; bucket < 64; ++bucket) {
    const Shard shard{kService, DataCentreId("east"), 64, bucket};
    const auto before = ChooseHomes(shard, Pointers(members));
    for (size_t gone = 0; gone < members.size(); ++gone) {
      auto rest = Pointers(members);
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(gone));
      const auto after = ChooseHomes(shard, rest);
      if (members[gone].id == before[0]) {
        // The backup becomes the primary.
        CHECK(after[0] == before[1]);
      } else {
        CHECK(after[0] == before[0]);
      }
    }
  }
}

TEST_CASE("instances with a larger CPU share are homes more often") {
  auto members = MembersOf("east", 53, 0.12);
  const auto large = MembersOf("east", 3, 0.5);
  members.insert(members.end(), large.begin(), large.end());
  const std::set<InstanceId> ids = {large[0].id, large[1].id, large[2].id};
  int at_large = 0;
  constexpr int kShards = 400;
  for (int bucket = 0; bucket < kShards; ++bucket) {
    const Shard shard{kService, DataCentreId("east"), kShards, bucket};
    at_large += static_cast<int>(
        ids.count(ChooseHomes(shard, Pointers(members)).front()));
  }
  // Expected by the squared CPU shares: 0.75 of 1.51.
  CHECK(at_large > kShards * 2 / 5);
  CHECK(at_large < kShards * 3 / 5);
}

}  // namespace
}  // namespace umbertrail::dispatch
