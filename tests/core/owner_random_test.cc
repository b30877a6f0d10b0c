#include <catch2/catch.hpp>

#include <map>

#include "owner_fakes.h"

namespace umbertrail::core {
namespace {

constexpr int kSteps = 4000;
constexpr int kSeeds = 30;

// Throws at random what can happen to an owner at it, and keeps count of what
// became of each request. Broken invariants inside stop the process.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(MakeSeededRandom(seed)) {
    bench_.fleet.ranking = {InstanceId("next")};
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      Step();
      Carry();
    }
    Drain();
  }

 private:
  enum class State { kQueued, kGranted, kOver };

  void Step() {
    bench_.now += absl::Milliseconds(random_->Below(200));
    switch (random_->Below(16)) {
      case 0:
        bench_.fleet.claim = static_cast<OwnerClaim>(random_->Below(4));
        return;
      case 1:
        bench_.Report(RandomReport());
        return;
      case 2:
        bench_.table->OnUnreachable(bench_.now,
                                    {TargetId("e1"), random_->Below(2) == 0},
                                    &bench_.actions);
        return;
      case 3:
        bench_.fleet.barred = random_->Below(3) == 0
                                  ? std::optional<Reason>(Reason::kNoTarget)
                                  : std::nullopt;
        return;
      case 4:
      case 5:
      case 6:
        End(static_cast<AttemptResult>(random_->Below(6)));
        return;
      case 7:
        if (!states_.empty()) {
          bench_.Alive(states_.rbegin()->first);
        }
        return;
      case 8:
        Handover();
        return;
      case 9:
      case 10:
      case 11:
        Ask();
        return;
      default:
        bench_.Tick();
    }
  }

  TargetReport RandomReport() {
    TargetReport report;
    report.boot = BootId("b" + std::to_string(random_->Below(10) / 9));
    report.state = static_cast<TargetState>(random_->Below(2));
    report.age = absl::Milliseconds(random_->Below(3000));
    report.tokens_in_flight =
        Tokens(static_cast<int64_t>(random_->Below(9000)));
    for (const auto& [id, state] : states_) {
      if (state == State::kGranted && random_->Below(2) == 0) {
        report.allocations.push_back(
            {OwnerBench::Peer("r1"), RequestId(id), Tokens(100)});
      }
    }
    return report;
  }

  void Handover() {
    OwnerHandover handover;
    handover.target = TargetId("e1");
    handover.boot = BootId("b0");
    handover.cold = random_->Below(2) == 0;
    handover.entries.push_back({OwnerBench::Peer("r9"), RequestId("foreign"),
                                AttemptNumber(1), Tokens(700)});
    bench_.table->OnHandover(bench_.now, OwnerBench::Peer("old"), handover);
  }

  void Ask() {
    const std::string id = "q" + std::to_string(states_.size());
    AdmitRequest request =
        bench_.Request(id, 200 + static_cast<int64_t>(random_->Below(12000)));
    request.time_left = absl::Seconds(5 + random_->Below(60));
    Note(id, bench_.Admit(request));
  }

  void Note(const std::string& id, const AdmitReply& reply) {
    switch (reply.decision) {
      case AdmitDecision::kGranted:
        states_[id] = State::kGranted;
        return;
      case AdmitDecision::kQueued:
        states_[id] = State::kQueued;
        return;
      case AdmitDecision::kRefused:
        states_[id] = State::kOver;
    }
  }

  void End(AttemptResult result) {
    for (auto& [id, state] : states_) {
      if (state == State::kGranted && random_->Below(3) == 0) {
        bench_.Settle(id, result);
        state = State::kOver;
        return;
      }
    }
  }

  // Acts on what the owner sent; a third of the offers is lost.
  void Carry() {
    const auto refused = bench_.Sent<AdmitReply>();
    const auto ready = bench_.Sent<AdmitReady>();
    bench_.actions.clear();
    for (const AdmitReply& reply : refused) {
      const std::string id = reply.request.text();
      // Only a waiting request is refused unasked, and only once.
      CHECK(states_.at(id) == State::kQueued);
      states_[id] = State::kOver;
    }
    for (const AdmitReady& it : ready) {
      const std::string id = it.request.text();
      if (states_.at(id) != State::kQueued || random_->Below(3) == 0) {
        continue;
      }
      AdmitRequest claim = bench_.Request(id, 100);
      claim.claim = true;
      Note(id, bench_.Admit(claim));
    }
  }

  // Whatever waited is answered by its deadline, and nothing stays charged.
  void Drain() {
    for (int i = 0; i < 100; ++i) {
      bench_.Pass(absl::Seconds(1));
      Carry();
    }
    for (auto& [id, state] : states_) {
      CHECK(state != State::kQueued);
      if (state == State::kGranted) {
        bench_.Settle(id);
      }
    }
    bench_.fleet.claim = OwnerClaim::kFull;
    bench_.Pass(absl::Seconds(10));
    bench_.Report(TargetState::kWarm);
    CHECK(bench_.table->Idle());
  }

  OwnerBench bench_;
  std::unique_ptr<RandomSource> random_;
  std::map<std::string, State> states_;
};

TEST_CASE("random events never break an owner") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RandomRun(seed).Run();
  }
}

}  // namespace
}  // namespace umbertrail::core
