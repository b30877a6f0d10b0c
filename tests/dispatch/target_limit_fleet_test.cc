#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "umbertrail/dispatch/shards.h"
#include "umbertrail/dispatch/target_limits.h"

namespace umbertrail::dispatch {
namespace {

const TargetId kTarget("t0");
constexpr int64_t kBorn = 1;
const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Duration kWindow = absl::Seconds(4);
// How long an instance may take to learn that another ended or started.
constexpr int kMaxLagMs = 2000;

// Instances that all know a target's limit and send to it whenever they may.
// Each learns of kills and restarts of others with a delay of its own.
class LimitedFleet {
 public:
  LimitedFleet(int size, double rate, unsigned seed)
      : rate_(rate), random_(seed) {
    for (int i = 0; i < size; ++i) {
      Instance it;
      it.member.id = InstanceId("10.0.0." + std::to_string(i));
      it.limits.Merge({kTarget, kBorn, rate, kStart});
      instances_.push_back(it);
    }
  }

  // Largest number of arrivals in a window, with kills or without.
  int Run(bool kills) {
    std::vector<Instance*> possible = PossibleSenders();
    absl::Time next_kill = kStart + absl::Seconds(3);
    for (absl::Time now = kStart; now < kStart + absl::Seconds(40);
         now += absl::Milliseconds(1 + Below(60))) {
      if (kills && now >= next_kill) {
        Kill(now);
        next_kill = now + absl::Seconds(3 + Below(4));
      }
      for (Instance* it : possible) {
        if (now >= it->up_at) {
          SendAll(it, now);
        }
      }
    }
    return Busiest();
  }

  int sent() const { return static_cast<int>(sends_.size()); }

 private:
  struct Instance {
    Member member;
    TargetLimits limits;
    // It runs from then on.
    absl::Time up_at = absl::InfinitePast();
    // Others believe that it runs, but for between these moments.
    absl::Time missed_from = absl::InfinitePast();
    absl::Time missed_until = absl::InfinitePast();
    // What this instance's view of the others is late by.
    absl::Duration lag;
  };

  int Below(int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(random_);
  }

  // The others are never senders, as fewer are down at once than are added
  // here.
  std::vector<Instance*> PossibleSenders() {
    constexpr int kMostDown = 6;
    std::vector<const Member*> all;
    for (const Instance& it : instances_) {
      all.push_back(&it.member);
    }
    const int count = SenderCount(rate_, 16, absl::ZeroDuration()) + kMostDown;
    std::vector<Instance*> possible;
    for (Instance& it : instances_) {
      if (IsSender(kTarget, it.member.id, all, count)) {
        possible.push_back(&it);
      }
    }
    return possible;
  }

  // One instance is killed and is back some time later.
  void Kill(absl::Time now) {
    Instance& it = instances_[Below(static_cast<int>(instances_.size()))];
    it.missed_from = now;
    it.missed_until = now + absl::Milliseconds(500 + Below(5000));
    it.up_at = it.missed_until;
    it.limits = TargetLimits();
    it.limits.Merge({kTarget, kBorn, rate_, it.up_at});
    for (Instance& other : instances_) {
      other.lag = absl::Milliseconds(Below(kMaxLagMs));
    }
  }

  std::vector<const Member*> LiveIn(const Instance& viewer,
                                    absl::Time now) const {
    const absl::Time seen = now - viewer.lag;
    std::vector<const Member*> live;
    for (const Instance& it : instances_) {
      if (&it == &viewer || seen < it.missed_from || seen >= it.missed_until) {
        live.push_back(&it.member);
      }
    }
    return live;
  }

  void SendAll(Instance* it, absl::Time now) {
    const TargetLimit* limit = it->limits.Find(kTarget, kBorn);
    const auto live = LiveIn(*it, now);
    // In large fleets two homes place all requests.
    const int senders = AllInstancesAreHomes(static_cast<int>(live.size()))
                            ? SenderCount(rate_, static_cast<int>(live.size()),
                                          absl::ZeroDuration())
                            : HomeCount(static_cast<int>(live.size()));
    if (!IsSender(kTarget, it->member.id, live, senders)) {
      return;
    }
    while (it->limits.TimeToSend(*limit, senders, now) ==
           absl::ZeroDuration()) {
      REQUIRE(it->limits.Take(*limit, senders, now));
      sends_.push_back(now);
    }
  }

  int Busiest() const {
    std::ptrdiff_t busiest = 0;
    for (auto from = sends_.begin(); from != sends_.end(); ++from) {
      const auto end = std::lower_bound(from, sends_.end(), *from + kWindow);
      busiest = std::max(busiest, end - from);
    }
    return static_cast<int>(busiest);
  }

  double rate_;
  std::vector<Instance> instances_;
  std::vector<absl::Time> sends_;
  std::mt19937 random_;
};

// What the contract bears in one window.
double Bound(double rate) {
  return 1.5 * rate * absl::ToDoubleSeconds(kWindow) + 5;
}

TEST_CASE("all instances together keep a target's limit") {
  const int size = GENERATE(1, 7, 16, 59, 300);
  const double rate = GENERATE(0.0, 0.3, 1.0, 2.1, 2.5, 10.0, 40.0);
  INFO(size << " instances, " << rate << " a second");
  LimitedFleet fleet(size, rate, 1);
  CHECK(fleet.Run(false) <= Bound(rate));
  // Most of the rate is used where instances have requests.
  CHECK(fleet.sent() >= 0.7 * rate * 40);
  CHECK(fleet.sent() > 0);
}

TEST_CASE("a target's limit is kept while instances are killed and return") {
  const int size = GENERATE(7, 16, 59, 300);
  const double rate = GENERATE(0.3, 1.0, 2.1, 2.5, 10.0, 40.0);
  const unsigned seed = GENERATE(range(1u, 11u));
  INFO(size << " instances, " << rate << " a second, seed " << seed);
  LimitedFleet fleet(size, rate, seed);
  CHECK(fleet.Run(true) <= Bound(rate));
}

TEST_CASE("the interval between the fleet's turns follows the rate") {
  CHECK(absl::ToDoubleSeconds(TurnInterval({kTarget, kBorn, 2.0, kStart})) ==
        Approx(1 / 1.8));
  // A target that takes nothing is asked now and then.
  CHECK(TurnInterval({kTarget, kBorn, 0.0, kStart}) == absl::Seconds(10));
}

TEST_CASE("a target of which nothing is heard gets more senders") {
  const int first = SenderCount(1, 16, absl::ZeroDuration());
  CHECK(SenderCount(1, 16, absl::Seconds(10)) == first + 1);
  CHECK(SenderCount(1, 16, absl::Hours(10)) == 16);
  CHECK(SenderCount(1e300, 16, absl::ZeroDuration()) == 16);
  CHECK(SenderCount(1, 1, absl::ZeroDuration()) == 1);
}

}  // namespace
}  // namespace umbertrail::dispatch
