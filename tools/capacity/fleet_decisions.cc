#include <chrono>

#include "fleet_measures.h"
#include "umbertrail/core/fleet/fleet.h"
#include "umbertrail/core/orders/wanted_state.h"

namespace umbertrail::capacity {
namespace {

// Mean processor time of `n` calls, in microseconds.
template <typename Call>
double MeanMicroseconds(int n, Call call) {
  using Clock = std::chrono::steady_clock;
  const Clock::time_point begin = Clock::now();
  for (int i = 0; i < n; ++i) {
    call(i);
  }
  const std::chrono::duration<double, std::micro> spent = Clock::now() - begin;
  return spent.count() / n;
}

// A fleet that holds manifest and lists.
class LoadedFleet {
 public:
  explicit LoadedFleet(const FleetSize& size) : size_(size) {
    const manifest::PublishedManifest out =
        manifest::SplitManifest(MakeManifest(size, 1));
    core::Actions actions;
    fleet.OnHeadRead(now, {out.head}, &actions);
    for (const manifest::Part& it : out.parts) {
      fleet.OnPartRead(now, {manifest::ContentHash(it.bytes), it.bytes},
                       &actions);
    }
    fleet.OnInstanceList(now, MakeInstances(size, 1), &actions);
    fleet.OnTargetList(now, MakeTargets(size, 1), &actions);
  }

  const TargetId& TargetAt(int i) const {
    return fleet.targets()[i % fleet.targets().size()].id;
  }

 private:
  const FleetSize size_;
  const core::Mutations mutations_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);

 public:
  absl::Time now = absl::FromUnixSeconds(1000000);
  core::Fleet fleet{core::FleetConfig(),
                    {MakeInstances(size_, 1).instances[0].id, Incarnation(1)},
                    DataCentreId("data-centre-0"),
                    random_.get(),
                    &mutations_};
};

}  // namespace

DecisionCosts MeasureDecisions(const FleetSize& size) {
  constexpr int lists = 20;
  constexpr int calls = 20000;
  LoadedFleet loaded(size);
  core::Fleet& fleet = loaded.fleet;
  core::Actions actions;
  DecisionCosts costs;
  std::vector<core::InstanceListRead> instances;
  std::vector<core::TargetListRead> targets;
  for (int i = 0; i < lists; ++i) {
    instances.push_back(MakeInstances(size, 2 + i));
    targets.push_back(MakeTargets(size, 2 + i));
  }
  costs.instance_list_us = MeanMicroseconds(lists, [&](int i) {
    fleet.OnInstanceList(loaded.now, instances[i], &actions);
  });
  costs.target_list_us = MeanMicroseconds(lists, [&](int i) {
    fleet.OnTargetList(loaded.now, targets[i], &actions);
  });
  size_t sink = 0;
  costs.ranking_us = MeanMicroseconds(
      calls, [&](int i) { sink += fleet.Ranking(loaded.TargetAt(i)).size(); });
  costs.claim_us = MeanMicroseconds(calls, [&](int i) {
    sink += static_cast<size_t>(fleet.ClaimOf(loaded.TargetAt(i), loaded.now));
  });
  costs.barred_us = MeanMicroseconds(calls, [&](int i) {
    sink += fleet.Barred(loaded.TargetAt(i), loaded.now).has_value() ? 1 : 0;
  });

  costs.wanted_state_us = MeanMicroseconds(lists, [&](int) {
    sink += core::WantedState(*fleet.manifest(), fleet.targets()).size();
  });
  const manifest::PublishedManifest out =
      manifest::SplitManifest(MakeManifest(size, 1));
  costs.parse_us = MeanMicroseconds(lists, [&](int) {
    sink += manifest::ParseManifest(out.head, out.parts).index();
  });
  return sink == 0 ? DecisionCosts() : costs;
}

}  // namespace umbertrail::capacity
