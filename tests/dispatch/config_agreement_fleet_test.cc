#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"
#include "umbertrail/dispatch/config_agreement.h"
#include "umbertrail/dispatch/members.h"
#include "umbertrail/dispatch/shards.h"

namespace umbertrail::dispatch {
namespace {

using Standing = ConfigAgreement::Standing;
using Start = ConfigAgreement::Start;

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr uint64_t kOld = 5;
constexpr uint64_t kLost = 9;
constexpr KnownStore kBefore{1, 40};
constexpr KnownStore kRestored{2, 12};
constexpr ConfigEntry kKeptKey(7);
constexpr ConfigEntry kTakenKey(9);
constexpr int kSeeds = 3;
constexpr uint64_t kRandomSeed = 20261207;

// Instances that gossip in rounds with random others, as PeerLink does; a round
// takes kGossipInterval. Questions are answered within the round.
class Fleet {
 public:
  explicit Fleet(int size) : random_(kRandomSeed), now_(kStart) {
    for (int i = 0; i < size; ++i) {
      agreements_.push_back(
          std::make_unique<ConfigAgreement>(Start::kFirst, now_));
      versions_.push_back(kOld);
      Read(i, kOld, kBefore, false);
    }
    for (int i = 0; i < 10; ++i) {
      GossipRound();
    }
  }

  int size() const { return static_cast<int>(agreements_.size()); }
  void Read(int instance, uint64_t version, KnownStore store, bool was_away) {
    versions_[instance] = version;
    agreements_[instance]->RecordOwn({version, store}, was_away, now_);
  }
  void Restart(int instance) {
    agreements_[instance] =
        std::make_unique<ConfigAgreement>(Start::kLater, now_);
    versions_[instance] = 0;
  }
  // The instance asks its seeds, as at a start.
  void AskSeeds(int instance) {
    for (int seed = 0; seed < kSeeds; ++seed) {
      Tell(seed, instance);
    }
    AnswerQuestions(instance);
  }
  void GossipRound() {
    now_ += Members::kGossipInterval;
    const size_t fanout = AllInstancesAreHomes(size()) ? agreements_.size()
                                                       : Members::kGossipFanout;
    for (int from = 0; from < size(); ++from) {
      for (size_t i = 0; i < fanout; ++i) {
        const int to =
            std::uniform_int_distribution<int>(0, size() - 1)(random_);
        Tell(from, to);
        AnswerQuestions(to);
      }
    }
  }
  bool Accepts(int instance, ConfigEntry key) const {
    const bool has_key = key == kKeptKey || versions_[instance] == kOld;
    return has_key && agreements_[instance]->TrustAt(now_).Includes(key);
  }
  int CountAccepting(ConfigEntry key) const {
    int count = 0;
    for (int i = 0; i < size(); ++i) {
      count += Accepts(i, key) ? 1 : 0;
    }
    return count;
  }
  // Gossips until no instance accepts the key, at most for `most` rounds.
  void GossipUntilRefused(ConfigEntry key, int most) {
    for (int i = 0; i < most && CountAccepting(key) > 0; ++i) {
      GossipRound();
    }
  }

 private:
  static InstanceId IdOf(int instance) {
    return InstanceId(std::to_string(instance));
  }
  void Tell(int from, int to) {
    if (from == to) {
      return;
    }
    const auto claim = agreements_[from]->LatestClaim(IdOf(from), now_);
    if (claim && claim->holder != IdOf(to)) {
      agreements_[to]->MergeClaim(*claim, now_);
    }
    agreements_[to]->RecordPeer(agreements_[from]->settled(), now_);
  }
  void AnswerQuestions(int instance) {
    while (const auto question = agreements_[instance]->TakeQuestion(now_)) {
      const int holder = std::stoi(question->holder.text());
      ConfigEntriesPage page;
      page.version = versions_[holder];
      page.entries = {kKeptKey};
      if (page.version == kOld) {
        page.entries.push_back(kTakenKey);
      }
      page.is_last = true;
      agreements_[instance]->RecordEntries(question->holder, page, now_);
    }
  }

  std::mt19937_64 random_;
  absl::Time now_;
  std::vector<std::unique_ptr<ConfigAgreement>> agreements_;
  std::vector<uint64_t> versions_;
};

// With the seeds alive, the first messages tell.
TEST_CASE("a restarted instance never accepts a key that all others refuse") {
  const int size = GENERATE(7, 60, 300);
  Fleet fleet(size);
  for (int i = 0; i < size; ++i) {
    fleet.Read(i, kLost, kBefore, false);
  }
  const int restarted = size - 1;
  fleet.Restart(restarted);
  CHECK_FALSE(fleet.Accepts(restarted, kTakenKey));
  fleet.Read(restarted, kOld, kRestored, true);
  CHECK_FALSE(fleet.Accepts(restarted, kTakenKey));
  fleet.AskSeeds(restarted);
  CHECK_FALSE(fleet.Accepts(restarted, kTakenKey));
  CHECK(fleet.Accepts(restarted, kKeptKey));
  fleet.GossipRound();
  CHECK_FALSE(fleet.Accepts(restarted, kTakenKey));
}

// The seeds restarted too, with most others; few are left that know.
TEST_CASE("few instances that remember tell all that restarted") {
  const int size = GENERATE(7, 60, 300);
  Fleet fleet(size);
  for (int i = 0; i < size; ++i) {
    fleet.Read(i, kLost, kBefore, false);
  }
  const int remembering = 1;
  for (int i = 0; i < size - remembering; ++i) {
    fleet.Restart(i);
  }
  for (int i = 0; i < size - remembering; ++i) {
    fleet.Read(i, kOld, kRestored, true);
  }
  // Less than kRewriteTime.
  const int rounds = 6;
  for (int i = 0; i < rounds; ++i) {
    CHECK(fleet.CountAccepting(kTakenKey) == 0);
    fleet.GossipRound();
  }
  fleet.GossipRound();
  CHECK(fleet.CountAccepting(kTakenKey) == 0);
  CHECK(fleet.CountAccepting(kKeptKey) == size);
}

// The store went away just after it acknowledged the configuration: one
// instance had it, the others hold an older one and run on.
TEST_CASE("a configuration that one instance holds binds all within rounds") {
  const int size = GENERATE(7, 60, 300);
  Fleet fleet(size);
  fleet.Read(size - 1, kLost, kBefore, false);
  for (int i = 0; i < size; ++i) {
    fleet.Read(i, i == size - 1 ? kLost : kOld, kRestored, false);
  }
  // Less than the five seconds after which a key may no longer be used.
  const int most_rounds = 7;
  fleet.GossipUntilRefused(kTakenKey, most_rounds);
  CHECK(fleet.CountAccepting(kTakenKey) == 0);
  CHECK(fleet.CountAccepting(kKeptKey) == size);
}

}  // namespace
}  // namespace umbertrail::dispatch
