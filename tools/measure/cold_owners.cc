#include "cold_owners.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "engine_fake.h"
#include "plain_routing.h"
#include "static_fleet.h"
#include "umbertrail/core/owner/owner_table.h"

namespace umbertrail::measure {
namespace {

constexpr absl::Duration kLength = absl::Minutes(30);
// How far a list may lag, and so how long a new owner settles.
constexpr absl::Duration kListLag = absl::Seconds(10);
constexpr absl::Duration kOwnerChange = absl::Seconds(40);
constexpr absl::Duration kRestart = absl::Seconds(70);
constexpr absl::Duration kDown = absl::Seconds(3);
constexpr absl::Duration kArrival = absl::Milliseconds(60);
constexpr absl::Duration kHeartbeat = absl::Seconds(1);

// One owner's list: who ranks first, as of some while ago.
class LaggingFleet : public StaticFleet {
 public:
  LaggingFleet(const EngineSpec& spec, int owners, int self, bool confirmed)
      : StaticFleet(spec, 1),
        owners_(owners),
        self_(self),
        confirmed_(confirmed) {}

  void SetFirst(absl::Time now, int first) {
    const bool had = Claims();
    first_ = first;
    if (!had && Claims()) {
      since_ = now;
    }
  }

  std::vector<InstanceId> Ranking(const TargetId&) const override {
    return {InstanceId(std::to_string(first_))};
  }
  core::OwnerClaim ClaimOf(const TargetId&, absl::Time now) const override {
    if (!Claims()) {
      return core::OwnerClaim::kNone;
    }
    if (now - since_ <= kListLag) {
      return core::OwnerClaim::kSettling;
    }
    return confirmed_ ? core::OwnerClaim::kFull : core::OwnerClaim::kHalf;
  }

 private:
  bool Claims() const {
    // With unconfirmed lists the next instance takes itself for first too.
    return first_ == self_ || (!confirmed_ && (first_ + 1) % owners_ == self_);
  }

  int owners_;
  int self_;
  bool confirmed_;
  int first_ = 0;
  absl::Time since_ = absl::InfinitePast();
};

class ColdRun {
 public:
  ColdRun(int owners,
          bool confirmed,
          const core::Mutations& mutations,
          uint64_t seed)
      : mutations_(mutations),
        random_(MakeSeededRandom(seed)),
        engine_(Spec(), "e0", true, &loop_) {
    for (int i = 0; i < owners; ++i) {
      fleets_.push_back(
          std::make_unique<LaggingFleet>(Spec(), owners, i, confirmed));
      tables_.push_back(std::make_unique<core::OwnerTable>(
          core::OwnerConfig(), Self(i), fleets_.back().get(), random_.get(),
          &mutations_));
    }
  }

  ColdOwnersResult Run() {
    for (size_t i = 0; i < tables_.size(); ++i) {
      Tick(i);
    }
    Arrive();
    Beat();
    ChangeOwner();
    loop_.After(kRestart, [this] { Restart(); });
    loop_.RunUntil(loop_.now() + kLength);
    results_.overloads = engine_.cold_overloads();
    return results_;
  }

 private:
  struct Flight {
    std::string id;
    size_t owner;
    int64_t prompt;
  };

  static EngineSpec Spec() {
    EngineSpec spec;
    spec.warm_after = 400000;
    return spec;
  }
  static InstanceRef Self(size_t i) {
    return {InstanceId(std::to_string(i)), Incarnation(1)};
  }
  absl::Duration Around(absl::Duration mean) {
    return mean * (0.5 + random_->Fraction());
  }

  void ChangeOwner() {
    const auto first = static_cast<int>(random_->Below(tables_.size()));
    ++results_.owner_changes;
    for (size_t i = 0; i < tables_.size(); ++i) {
      loop_.After(kListLag * random_->Fraction(), [this, i, first] {
        fleets_[i]->SetFirst(loop_.now(), first);
        core::Actions actions;
        tables_[i]->OnFleetChanged(loop_.now(), &actions);
        Carry(i, actions);
      });
    }
    loop_.After(Around(kOwnerChange), [this] { ChangeOwner(); });
  }

  void Restart() {
    ++results_.restarts;
    engine_.Restart(kDown);
    loop_.After(Around(kRestart), [this] { Restart(); });
  }

  // A request for every owner: each asks as if it were the only one.
  void Arrive() {
    for (size_t i = 0; i < tables_.size(); ++i) {
      const std::string id = std::to_string(flights_.size());
      const auto prompt = 1000 + static_cast<int64_t>(random_->Below(5000));
      flights_.push_back({id, i, prompt});
      Admit(flights_.size() - 1);
    }
    loop_.After(Around(kArrival), [this] { Arrive(); });
  }

  void Admit(size_t n) {
    const Flight& flight = flights_[n];
    core::AdmitRequest request;
    request.request = RequestId(flight.id);
    request.attempt = AttemptNumber(1);
    request.target = TargetId("e0");
    request.account = ClientAccountId("a");
    request.model = ModelId("m");
    request.prompt = Tokens(flight.prompt);
    request.max_output = Tokens(64);
    request.time_left = absl::Seconds(30);
    request.time_total = absl::Seconds(30);
    const auto reply = tables_[flight.owner]->OnAdmit(
        loop_.now(), Self(flight.owner), request);
    if (reply.decision == core::AdmitDecision::kGranted) {
      ++results_.granted;
      loop_.After(kHop * random_->Below(100), [this, n] { Start(n); });
    }
  }

  void Start(size_t n) {
    Flight& flight = flights_[n];
    running_.push_back(n);
    EngineRun run;
    run.holder = Self(flight.owner);
    run.request = RequestId(flight.id);
    run.prompt = flight.prompt;
    run.output = 32;
    run.max_output = 64;
    run.on_first_token = [] {};
    run.on_done = [this, n] {
      ++results_.finished;
      Settle(n, core::AttemptResult::kDone);
    };
    run.on_broken = [this, n] { Settle(n, core::AttemptResult::kBroken); };
    engine_.Submit(run);
  }

  void Settle(size_t n, core::AttemptResult result) {
    running_.erase(std::find(running_.begin(), running_.end(), n));
    const Flight& flight = flights_[n];
    core::AttemptSettled settled;
    settled.request = RequestId(flight.id);
    settled.attempt = AttemptNumber(1);
    settled.target = TargetId("e0");
    settled.result = result;
    settled.generated = Tokens(32);
    core::Actions actions;
    tables_[flight.owner]->OnSettled(loop_.now(), Self(flight.owner), settled,
                                     &actions);
    Carry(flight.owner, actions);
  }

  void Beat() {
    for (const size_t n : running_) {
      const Flight& flight = flights_[n];
      core::AttemptsAlive alive;
      alive.attempts.push_back({RequestId(flight.id), AttemptNumber(1),
                                TargetId("e0"), Tokens(flight.prompt + 64),
                                Tokens(1)});
      tables_[flight.owner]->OnAlive(loop_.now(), Self(flight.owner), alive);
    }
    loop_.After(kHeartbeat, [this] { Beat(); });
  }

  void Carry(size_t owner, const core::Actions& actions) {
    for (const core::Action& action : actions) {
      if (std::holds_alternative<core::PollTarget>(action)) {
        loop_.After(2 * kHop, [this, owner] { Poll(owner); });
      }
      const auto* send = std::get_if<core::SendPeer>(&action);
      if (send == nullptr) {
        continue;
      }
      if (const auto* it = std::get_if<core::AdmitReady>(&send->payload)) {
        const size_t n = std::stoul(it->request.text());
        loop_.After(2 * kHop, [this, n] { Admit(n); });
      }
      if (const auto* it = std::get_if<core::OwnerHandover>(&send->payload)) {
        const size_t to = std::stoul(send->to.text());
        loop_.After(kHop, [this, owner, to, handover = *it] {
          tables_[to]->OnHandover(loop_.now(), Self(owner), handover);
        });
      }
    }
  }

  void Poll(size_t owner) {
    core::Actions actions;
    if (engine_.up()) {
      tables_[owner]->OnReport(loop_.now(), TargetId("e0"), engine_.Report(),
                               &actions);
    } else {
      tables_[owner]->OnUnreachable(loop_.now(), {TargetId("e0"), true},
                                    &actions);
    }
    Carry(owner, actions);
  }

  void Tick(size_t owner) {
    core::Actions actions;
    tables_[owner]->OnTick(loop_.now(), &actions);
    Carry(owner, actions);
    loop_.After(absl::Milliseconds(20), [this, owner] { Tick(owner); });
  }

  core::Mutations mutations_;
  EventLoop loop_;
  std::unique_ptr<RandomSource> random_;
  EngineFake engine_;
  std::vector<std::unique_ptr<LaggingFleet>> fleets_;
  std::vector<std::unique_ptr<core::OwnerTable>> tables_;
  std::vector<Flight> flights_;
  std::vector<size_t> running_;
  ColdOwnersResult results_;
};

}  // namespace

ColdOwnersResult RunColdOwners(int owners,
                               bool confirmed,
                               const core::Mutations& mutations,
                               uint64_t seed) {
  return ColdRun(owners, confirmed, mutations, seed).Run();
}

}  // namespace umbertrail::measure
