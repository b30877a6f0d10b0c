#ifndef UMBERTRAIL_CORE_OWNER_WARMUP_BUDGET_H_
#define UMBERTRAIL_CORE_OWNER_WARMUP_BUDGET_H_

#include "absl/time/time.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// Where a target stands between its start and full load.
enum class WarmupPhase {
  kCold,     // reported cold, not reported yet, or believed to have restarted
  kWarming,  // reports warm after a restart; work raises its budget
  kWarm,
};

// How many tokens one target may hold in flight. A cold target has the declared
// cold budget for as long as it reports itself cold or its restart is
// suspected. Once a report taken after that says warm, completed work raises
// the budget token by token up to the target's memory; time never does.
class WarmupBudget {
 public:
  // `mutations` must outlive the budget.
  explicit WarmupBudget(const Mutations* mutations);

  // What the manifest and the target say; a change takes effect at once.
  void SetLimits(Tokens cold_budget, Tokens memory);

  // Takes in a report that was taken at `taken_at`. Returns true when it shows
  // a restart: another boot than the last report's.
  bool OnReport(absl::Time now,
                absl::Time taken_at,
                const BootId& boot,
                TargetState state);

  // The target refused a connection, broke a stream or gave a first token far
  // too late, or nobody here watched it before `now`: it is cold until a report
  // taken after `now` says otherwise.
  void OnSuspectedRestart(absl::Time now);

  // An attempt ended well after computing `work` tokens.
  void OnCompleted(Tokens work);

  // The view of a former owner who watched the target until now; it clears a
  // suspicion about the same boot.
  void OnHandover(const BootId& boot, bool cold, Tokens budget);

  Tokens budget() const;
  Tokens cold_budget() const { return cold_budget_; }
  bool cold() const { return phase_ != WarmupPhase::kWarm; }
  WarmupPhase phase() const { return phase_; }
  bool reported() const { return !boot_.empty(); }
  const BootId& boot() const { return boot_; }

 private:
  void TurnCold(absl::Time now);
  void TurnWarming();

  const Mutations* mutations_;
  Tokens cold_budget_;
  Tokens memory_;
  BootId boot_;
  WarmupPhase phase_ = WarmupPhase::kCold;
  // Budget while warming.
  Tokens raised_;
  // A report counts as one of the present state when taken after this.
  absl::Time cold_since_ = absl::InfinitePast();
  // Set while the phase is cold on suspicion alone; the phase before it.
  bool suspected_ = false;
  WarmupPhase unsuspected_phase_ = WarmupPhase::kCold;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_WARMUP_BUDGET_H_
