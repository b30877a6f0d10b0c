#include <catch2/catch.hpp>

#include <map>

#include "fleet_support.h"
#include "seeded_check.h"
#include "umbertrail/core/orders/wanted_state.h"

namespace umbertrail::core {
namespace {

// `models` models, each wanted on `each` engines of every data centre.
manifest::Manifest ManyModels(int models, int each) {
  manifest::Manifest m = MakeManifest(1);
  m.models.clear();
  m.deployments.clear();
  for (int i = 0; i < models; ++i) {
    const ModelId id(absl::StrCat("model-", i));
    m.models.push_back({id, "v1", {}, Tokens(1000), 1});
    for (int k = 0; k < 3; ++k) {
      m.deployments.push_back({id, DataCentreOf(k), each});
    }
  }
  return m;
}

std::map<TargetId, ModelId> ByTarget(const std::vector<WantedTarget>& wanted) {
  std::map<TargetId, ModelId> map;
  for (const WantedTarget& it : wanted) {
    map[it.target] = it.model;
  }
  return map;
}

// Engines wanted in both whose model differs.
int Moved(const std::vector<WantedTarget>& a,
          const std::vector<WantedTarget>& b) {
  int n = 0;
  const auto before = ByTarget(a);
  for (const auto& [target, model] : ByTarget(b)) {
    const auto it = before.find(target);
    n += it != before.end() && it->second != model ? 1 : 0;
  }
  return n;
}

TEST_CASE("each model gets its engines in each data centre") {
  const auto wanted = WantedState(ManyModels(4, 2), MakeTargets(1, 30).targets);
  std::map<std::pair<ModelId, DataCentreId>, int> counts;
  for (const WantedTarget& it : wanted) {
    ++counts[{it.model, it.data_centre}];
  }
  REQUIRE(counts.size() == 12);
  for (const auto& [key, n] : counts) {
    CHECK(n == 2);
  }
}

TEST_CASE("where engines are short no model goes empty first") {
  const auto wanted = WantedState(ManyModels(4, 3), MakeTargets(1, 15).targets);
  CHECK(wanted.size() == 15);
  std::map<std::pair<ModelId, DataCentreId>, int> counts;
  for (const WantedTarget& it : wanted) {
    ++counts[{it.model, it.data_centre}];
  }
  CHECK(counts.size() == 12);
}

TEST_CASE("leaving engines and services are wanted for nothing") {
  std::vector<TargetInfo> targets = MakeTargets(1, 6).targets;
  targets[0].leaving = true;
  targets[1].kind = TargetKind::kService;
  const auto wanted = ByTarget(WantedState(ManyModels(1, 2), targets));
  CHECK(wanted.size() == 4);
  CHECK(wanted.count(targets[0].id) == 0);
  CHECK(wanted.count(targets[1].id) == 0);
}

TEST_CASE("an engine that goes moves few others, whatever the order of lists") {
  const auto property = [] {
    const int models = *rc::gen::inRange(1, 8);
    const int engines = *rc::gen::inRange(9, 60);
    const manifest::Manifest m = ManyModels(models, 2);
    std::vector<TargetInfo> targets = MakeTargets(1, engines).targets;
    const auto before = WantedState(m, targets);
    std::vector<TargetInfo> reversed(targets.rbegin(), targets.rend());
    RC_ASSERT(ByTarget(before) == ByTarget(WantedState(m, reversed)));
    targets.erase(targets.begin() + *rc::gen::inRange(0, engines));
    // One chain of replacements: at most one engine of each other model.
    RC_ASSERT(Moved(before, WantedState(m, targets)) <= models);
  };
  CHECK_THAT(RunSeeded(7, 300, property), Catch::Equals(""));
}

}  // namespace
}  // namespace umbertrail::core
