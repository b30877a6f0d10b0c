#include "umbertrail/core/owner/warmup_budget.h"

#include <algorithm>

namespace umbertrail::core {

WarmupBudget::WarmupBudget(const Mutations* mutations)
    : mutations_(mutations) {}

void WarmupBudget::SetLimits(Tokens cold_budget, Tokens memory) {
  memory_ = memory;
  cold_budget_ = std::min(cold_budget, memory);
}

bool WarmupBudget::OnReport(absl::Time now,
                            absl::Time taken_at,
                            const BootId& boot,
                            TargetState state) {
  const bool first = !reported();
  const bool restarted = !first && boot != boot_;
  boot_ = boot;
  if (first && state != TargetState::kCold) {
    phase_ = WarmupPhase::kWarm;
    if (taken_at <= cold_since_) {
      OnSuspectedRestart(cold_since_);
    }
    return false;
  }
  if (restarted || state == TargetState::kCold) {
    TurnCold(now);
    return restarted;
  }
  const bool present = taken_at > cold_since_;
  if (phase_ == WarmupPhase::kCold && present) {
    TurnWarming();
  }
  return false;
}

void WarmupBudget::OnSuspectedRestart(absl::Time now) {
  if (mutations_->keep_warm_after_restart) {
    return;
  }
  if (phase_ != WarmupPhase::kCold) {
    unsuspected_phase_ = phase_;
    suspected_ = true;
  }
  phase_ = WarmupPhase::kCold;
  cold_since_ = std::max(cold_since_, now);
}

void WarmupBudget::OnCompleted(Tokens work) {
  if (phase_ != WarmupPhase::kWarming) {
    return;
  }
  raised_ += work;
  if (raised_ >= memory_) {
    phase_ = WarmupPhase::kWarm;
  }
}

void WarmupBudget::OnHandover(const BootId& boot, bool cold, Tokens budget) {
  if (suspected_ && boot == boot_ && !cold) {
    phase_ = unsuspected_phase_;
    suspected_ = false;
  }
  if (reported()) {
    return;
  }
  boot_ = boot;
  raised_ = budget;
  phase_ = cold ? WarmupPhase::kCold : WarmupPhase::kWarm;
}

Tokens WarmupBudget::budget() const {
  switch (phase_) {
    case WarmupPhase::kCold:
      return cold_budget_;
    case WarmupPhase::kWarming:
      return std::clamp(raised_, cold_budget_, memory_);
    case WarmupPhase::kWarm:
      break;
  }
  return memory_;
}

void WarmupBudget::TurnCold(absl::Time now) {
  if (mutations_->keep_warm_after_restart) {
    return;
  }
  phase_ = WarmupPhase::kCold;
  cold_since_ = now;
  suspected_ = false;
}

void WarmupBudget::TurnWarming() {
  if (suspected_) {
    // The same boot says that it is warm: nothing was lost.
    phase_ = unsuspected_phase_;
    suspected_ = false;
    return;
  }
  phase_ = WarmupPhase::kWarming;
  raised_ = cold_budget_;
}

}  // namespace umbertrail::core
