#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

#include "fleet_support.h"
#include "seeded_check.h"

namespace umbertrail::core {
namespace {

// New work follows a revision this long after any instance in reach has it.
constexpr absl::Duration kBound = absl::Seconds(5);

// A fleet under faults, and what was seen of it.
class Watched {
 public:
  Watched(int n, uint32_t seed, const Mutations& mutations)
      : fleet(n, seed, mutations),
        undisturbed_since_(n, kStart),
        lives_(n),
        seen_(n) {}

  // One random fault, or the end of one.
  void Disturb() {
    const int n = static_cast<int>(fleet.members.size());
    const int i = *rc::gen::inRange(0, n);
    Member& it = fleet.members[i];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        fleet.Publish(Next());
        break;
      case 1:  // the service goes back
        fleet.Publish(published_[*rc::gen::inRange<size_t>(0, newest_)]);
        break;
      case 2: {  // a manifest that must be refused
        manifest::Manifest bad = Next();
        bad.deployments[0].targets = 0;
        bad.models[0].min_serving = 99;
        published_.back() = bad;
        fleet.Publish(bad);
        break;
      }
      case 3:
        it.side = 1 - it.side;
        undisturbed_since_.assign(n, fleet.now);
        break;
      case 4:
        it.reaches_service = !it.reaches_service;
        break;
      case 5:
        Pause(i);
        break;
      case 6:
        fleet.Restart(i);
        undisturbed_since_[i] = fleet.now;
        break;
      default:
        for (Member& member : fleet.members) {
          member.side = 0;
          member.reaches_service = true;
        }
        undisturbed_since_.assign(n, fleet.now);
    }
  }

  void Run(absl::Duration time) {
    for (const absl::Time end = fleet.now + time; fleet.now < end;) {
      fleet.Run(absl::Milliseconds(100));
      Look();
    }
  }

  TestFleet fleet;

 private:
  manifest::Manifest Next() {
    manifest::Manifest m = MakeManifest(++newest_);
    m.data_centres[newest_ % 3].open = false;
    published_.push_back(m);
    return m;
  }

  void Pause(int i) {
    Member& it = fleet.members[i];
    it.running = false;
    it.paused = true;
    Run(absl::Seconds(*rc::gen::inRange(1, 60)));
    const absl::Duration late = fleet.now - it.fleet->NextWakeup();
    if (late > FleetConfig().pause_threshold + FleetConfig().tick_interval) {
      RC_ASSERT(!it.fleet->MayDispatch(fleet.now));
    }
    it.running = true;
    it.paused = false;
    undisturbed_since_[i] = fleet.now;
  }

  void Look() {
    for (size_t i = 0; i < fleet.members.size(); ++i) {
      CheckRevision(i);
      const Member& it = fleet.members[i];
      if (it.running && it.fleet->MayDispatch(fleet.now)) {
        CheckFollows(i);
      }
    }
  }

  // Within one life the revision never falls.
  void CheckRevision(size_t i) {
    const ManifestRevision now_held = fleet.members[i].fleet->revision();
    std::deque<std::pair<absl::Time, ManifestRevision>>& seen = seen_[i];
    if (lives_[i] != fleet.members[i].self.incarnation) {
      lives_[i] = fleet.members[i].self.incarnation;
      seen.clear();
    }
    const bool kept = seen.empty() || now_held >= seen.back().second;
    RC_ASSERT(kept);
    seen.emplace_back(fleet.now, now_held);
    while (seen.front().first < fleet.now - kBound) {
      seen.pop_front();
    }
  }

  // One that dispatches holds what those in reach held a bound ago.
  void CheckFollows(size_t i) {
    for (size_t k = 0; k < fleet.members.size(); ++k) {
      const Member& other = fleet.members[k];
      const bool reach = other.running && other.side == fleet.members[i].side;
      const absl::Time since =
          std::max(undisturbed_since_[i], undisturbed_since_[k]);
      const bool long_enough = fleet.now - since > kBound;
      if (reach && long_enough && !seen_[k].empty()) {
        RC_ASSERT(fleet.members[i].fleet->revision() >=
                  seen_[k].front().second);
      }
    }
  }

  uint64_t newest_ = 1;
  std::vector<manifest::Manifest> published_ = {MakeManifest(1)};
  std::vector<absl::Time> undisturbed_since_;
  std::vector<Incarnation> lives_;
  std::vector<std::deque<std::pair<absl::Time, ManifestRevision>>> seen_;
};

std::string RunFaults(int runs, const Mutations& mutations) {
  return RunSeeded(3, runs, [&] {
    const int n = *rc::gen::inRange(2, 9);
    Watched watched(n, *rc::gen::arbitrary<uint32_t>(), mutations);
    watched.Run(absl::Seconds(8));
    for (int k = 0; k < 15; ++k) {
      watched.Disturb();
      watched.Run(absl::Milliseconds(*rc::gen::inRange(100, 12000)));
    }
  });
}

TEST_CASE("revisions never fall and new work follows them under faults") {
  CHECK_THAT(RunFaults(200, Mutations()), Catch::Equals(""));
}

TEST_CASE("the run finds an instance that takes an older revision") {
  Mutations mutations;
  mutations.accept_older_revision = true;
  CHECK_FALSE(RunFaults(200, mutations).empty());
}

TEST_CASE("the run finds an instance that dispatches after a pause") {
  Mutations mutations;
  mutations.dispatch_unfresh_after_pause = true;
  CHECK_FALSE(RunFaults(200, mutations).empty());
}

TEST_CASE("the mutations of barred targets show") {
  Mutations mutations;
  mutations.ignore_closed_data_centre = true;
  mutations.ignore_leaving_target = true;
  TestFleet fleet(1, 1, mutations);
  manifest::Manifest closed = MakeManifest(2);
  closed.data_centres[0].open = false;
  fleet.Publish(closed);
  fleet.targets.targets[1].leaving = true;
  fleet.Run(absl::Seconds(8));
  CHECK_FALSE(fleet.At(0).Barred(TargetId("engine-0"), fleet.now));
  CHECK_FALSE(fleet.At(0).Barred(TargetId("engine-1"), fleet.now));
}

}  // namespace
}  // namespace umbertrail::core
