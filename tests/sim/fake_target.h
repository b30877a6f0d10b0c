#ifndef UMBERTRAIL_TESTS_SIM_FAKE_TARGET_H_
#define UMBERTRAIL_TESTS_SIM_FAKE_TARGET_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "reference.h"
#include "scheduler.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"

namespace umbertrail::sim {

// One target behind its interface: runs attempts at fixed rates, dies on
// poison, forgets at a restart, reports late.
class FakeTarget {
 public:
  // Carries an event back to the instance that a stream belongs to.
  using Reply = std::function<void(core::Event)>;

  struct Traits {
    core::TargetInfo info;
    bool checks_fencing = true;
    Tokens memory{400000};
    Tokens cold_budget{16000};
    // Completed work after which it has warmed up.
    Tokens warm_after{40000};
    bool starts_warm = true;
    double prefill_rate = 40000;  // tokens a second
    double decode_rate = 50;
  };

  FakeTarget(Traits traits,
             Scheduler* scheduler,
             Reference* reference,
             RandomSource* random);

  // -- Interface of a target
  void Start(const core::StartAttempt& start,
             const InstanceRef& holder,
             Reply reply);
  void Cancel(const InstanceRef& holder,
              const RequestId& request,
              AttemptNumber attempt);
  core::TargetReport Report();
  core::OrderAnswered TakeOrder(const core::Order& order);
  void Free(const InstanceRef& holder, const RequestId& request);

  // -- Faults
  // The holder's connections closed: its runs end, its memory stays held.
  void Disconnect(const InstanceRef& holder);
  void Die(absl::Duration down_for);
  void TurnCold();
  void GoSilent(absl::Duration silent_for);
  void Leave();

  bool up() const { return scheduler_->now() >= down_until_; }
  bool silent() const { return scheduler_->now() < silent_until_; }
  bool leaving() const { return leaving_; }
  uint64_t boot() const { return boot_; }
  const Traits& traits() const { return traits_; }
  // Deaths by what the target was running.
  struct Death {
    Fingerprint fingerprint;
    absl::Time at;
    // Who ran it there.
    InstanceRef witness;
  };
  const std::vector<Death>& deaths() const { return deaths_; }
  const std::vector<core::Allocation>& allocations() const {
    return allocations_;
  }
  int overloads() const { return overloads_; }
  int cold_starts() const { return cold_starts_; }
  Tokens InFlight() const;

 private:
  struct Run {
    core::StartAttempt start;
    InstanceRef holder;
    Reply reply;
    uint64_t life = 0;
    int64_t sent = 0;
    int64_t total = 0;
  };

  void Boot();
  void Began(uint64_t run);
  void Emit(uint64_t run);
  void End(uint64_t run, bool whole);
  void RunService(uint64_t run);
  bool Alive(uint64_t run) const { return runs_.count(run) != 0; }

  Traits traits_;
  Scheduler* scheduler_;
  Reference* reference_;
  RandomSource* random_;
  uint64_t boot_ = 0;
  bool cold_ = true;
  bool leaving_ = false;
  Tokens done_;
  absl::Time down_until_ = absl::InfinitePast();
  absl::Time silent_until_ = absl::InfinitePast();
  uint64_t next_run_ = 1;
  std::map<uint64_t, Run> runs_;
  std::vector<core::Allocation> allocations_;
  std::vector<Death> deaths_;
  core::Order order_;
  core::TargetReport lagged_;
  absl::Time lagged_at_ = absl::InfinitePast();
  int overloads_ = 0;
  int cold_starts_ = 0;
};

// Requests with such a fingerprint kill each target that runs them.
inline constexpr uint64_t kPoisonBit = 1ULL << 63;

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_FAKE_TARGET_H_
