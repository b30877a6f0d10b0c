#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <random>
#include <utility>
#include <vector>

#include "umbertrail/dispatch/budgets.h"
#include "umbertrail/dispatch/fleet_size.h"

namespace umbertrail::dispatch {
namespace {

constexpr double kRatio = 0.2;
const absl::Duration kWindow = absl::Seconds(10);
const absl::Time kStart = absl::FromUnixSeconds(1000);

// What clients and targets see of a fleet's retries of one service.
class Observer {
 public:
  explicit Observer(double slack) : slack_(slack) {}
  void NoteRequest(absl::Time now) { requests_.push_back(now); }
  void NoteRetry(absl::Time now) { retries_.push_back(now); }

  // How far the retries of the window that ends at `now` are beyond the bound.
  // The requests are those of this window, of the one before it or of the one
  // half a window before it, whichever has most.
  double Excess(absl::Time now) const {
    const int requests =
        std::max({Count(requests_, now), Count(requests_, now - kWindow),
                  Count(requests_, now - kWindow / 2)});
    return Count(retries_, now) - (kRatio * requests + slack_);
  }

 private:
  // Events in the window that ends at `end`; `events` is sorted.
  static int Count(const std::vector<absl::Time>& events, absl::Time end) {
    return static_cast<int>(
        std::upper_bound(events.begin(), events.end(), end) -
        std::upper_bound(events.begin(), events.end(), end - kWindow));
  }

  double slack_;
  std::vector<absl::Time> requests_;
  std::vector<absl::Time> retries_;
};

// Instances that retry as much as they may.
class Fleet {
 public:
  Fleet(int size, double slack) : slack_(slack), observer_(slack) {
    for (int i = 0; i < size; ++i) {
      instances_.push_back(
          {NewBudget(RetryBudget::InitialCredit::kFull, kStart),
           FleetSize(FleetSize::Start::kWithFleet, kStart), kStart, 0});
    }
  }

  int size() const { return static_cast<int>(instances_.size()); }

  void Request(int instance, absl::Time now) {
    Instance& it = instances_[instance];
    it.budget.NoteRequest(now, it.size.Divisor(now));
    observer_.NoteRequest(now);
  }

  void RetryAll(int instance, absl::Time now) {
    Instance& it = instances_[instance];
    while (it.budget.Take(now, it.size.Divisor(now))) {
      observer_.NoteRetry(now);
    }
  }

  void Restart(int instance, absl::Time now) {
    Instance& it = instances_[instance];
    it = {NewBudget(RetryBudget::InitialCredit::kNone, now),
          FleetSize(FleetSize::Start::kLater, now), now, it.part};
  }

  // Instances of different parts don't hear each other.
  void SetPart(int instance, int part) { instances_[instance].part = part; }

  // Each instance learns of those of its part that have run for a while, and
  // hears from some of them how large the fleet is.
  void Gossip(absl::Time now, std::mt19937& random) {
    for (Instance& it : instances_) {
      std::vector<const Instance*> heard;
      for (const Instance& other : instances_) {
        if (&other != &it && other.part == it.part &&
            now - it.born >= kHearingDelay &&
            now - other.born >= kHearingDelay) {
          heard.push_back(&other);
        }
      }
      it.size.NoteLive(1 + static_cast<int>(heard.size()), now);
      std::vector<const Instance*> partners;
      std::sample(heard.begin(), heard.end(), std::back_inserter(partners), 3,
                  random);
      for (const Instance* partner : partners) {
        if (const auto report = partner->size.Report(now)) {
          it.size.Merge(*report, now);
        }
      }
    }
  }

  double Excess(absl::Time now) const { return observer_.Excess(now); }

 private:
  struct Instance {
    RetryBudget budget;
    FleetSize size;
    absl::Time born;
    int part;
  };

  static constexpr absl::Duration kHearingDelay = absl::Milliseconds(500);

  RetryBudget NewBudget(RetryBudget::InitialCredit credit,
                        absl::Time now) const {
    return RetryBudget(kRatio, slack_, kWindow, credit, now);
  }

  double slack_;
  std::vector<Instance> instances_;
  Observer observer_;
};

struct Troubles {
  bool kills = false;
  bool partitions = false;
};

// Plays half a minute of requests, bursts of retries and troubles, after some
// seconds without traffic; returns the largest excess over the bound.
class Play {
 public:
  Play(int size, double slack, unsigned seed)
      : fleet_(size, slack), random_(seed) {}

  double Run(const Troubles& troubles) {
    const int most_requests = 1 + Below(20);
    absl::Time now = kStart;
    absl::Time next_gossip = kStart;
    const absl::Time traffic_start = kStart + absl::Seconds(2);
    double excess = -std::numeric_limits<double>::infinity();
    while (now < traffic_start + absl::Seconds(30)) {
      now += absl::Milliseconds(Below(50));
      if (now >= next_gossip) {
        fleet_.Gossip(now, random_);
        next_gossip = now + absl::Milliseconds(400);
      }
      if (now < traffic_start) {
        continue;
      }
      Traffic(most_requests, now);
      excess = std::max(excess, fleet_.Excess(now));
      if (troubles.partitions && Below(60) == 0) {
        Partition();
      }
      if (troubles.kills && Below(25) == 0) {
        Kill(Below(101), now);
      }
    }
    return excess;
  }

 private:
  int Below(int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(random_);
  }

  void Traffic(int most_requests, absl::Time now) {
    for (int i = Below(most_requests); i > 0; --i) {
      fleet_.Request(Below(fleet_.size()), now);
    }
    const bool all_retry = Below(20) == 0;
    for (int i = 0; i < fleet_.size(); ++i) {
      if (all_retry || Below(10) == 0) {
        fleet_.RetryAll(i, now);
      }
    }
  }

  void Kill(int percent, absl::Time now) {
    for (int i = 0; i < fleet_.size(); ++i) {
      if (Below(100) < percent) {
        fleet_.Restart(i, now);
      }
    }
  }

  // Heals all links, cuts single instances off, or splits the fleet.
  void Partition() {
    const int kind = Below(3);
    for (int i = 0; i < fleet_.size(); ++i) {
      const bool alone = kind == 1 && Below(5) == 0;
      fleet_.SetPart(i, alone ? i + 2 : kind == 2 ? Below(2) : 0);
    }
  }

  Fleet fleet_;
  std::mt19937 random_;
};

// Instances in a fleet, and its allowance of retries.
using SizeAndSlack = std::pair<int, double>;

void CheckPlays(const Troubles& troubles) {
  const auto [size, slack] = GENERATE(
      SizeAndSlack(7, 102), SizeAndSlack(59, 194), SizeAndSlack(300, 660));
  const unsigned seed = GENERATE(range(1u, 41u));
  INFO(size << " instances, seed " << seed);
  CHECK(Play(size, slack, seed).Run(troubles) <= 0);
}

TEST_CASE("instances that never restart stay within the retry budget") {
  CheckPlays({false, false});
}

TEST_CASE("restarted instances together stay within the retry budget") {
  CheckPlays({true, false});
}

TEST_CASE("instances cut off after a restart stay within the retry budget") {
  CheckPlays({true, true});
}

}  // namespace
}  // namespace umbertrail::dispatch
