#include <catch2/catch.hpp>

#include "umbertrail/core/request/rendezvous.h"

namespace umbertrail::core {
namespace {

std::vector<InstanceInfo> Instances(int n) {
  std::vector<InstanceInfo> list;
  for (int i = 0; i < n; ++i) {
    list.push_back({InstanceId("10.0.0." + std::to_string(i) + ":7000"),
                    DataCentreId("a"), false});
  }
  return list;
}

TEST_CASE("a key's first homes change little when an instance goes") {
  const auto all = Instances(20);
  int kept = 0;
  for (uint64_t key = 0; key < 500; ++key) {
    const auto before = RankInstances(key, all, 3);
    auto fewer = all;
    fewer.erase(fewer.begin() + 7);
    const auto after = RankInstances(key, fewer, 3);
    for (const InstanceId& it : before) {
      const bool gone = it == all[7].id;
      const bool stays =
          std::find(after.begin(), after.end(), it) != after.end();
      CHECK((gone || stays));
      kept += stays ? 1 : 0;
    }
  }
  CHECK(kept < 1500);
}

TEST_CASE("leaving instances rank last") {
  auto list = Instances(4);
  list[2].leaving = true;
  for (uint64_t key = 0; key < 50; ++key) {
    CHECK(RankInstances(key, list, 4).back() == list[2].id);
  }
}

}  // namespace
}  // namespace umbertrail::core
