#ifndef UMBERTRAIL_CORE_OWNER_TARGET_OWNER_H_
#define UMBERTRAIL_CORE_OWNER_TARGET_OWNER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"
#include "umbertrail/core/owner/allocation_audit.h"
#include "umbertrail/core/owner/claim_gate.h"
#include "umbertrail/core/owner/holder_table.h"
#include "umbertrail/core/owner/ledger.h"
#include "umbertrail/core/owner/owner_config.h"
#include "umbertrail/core/owner/prefix_index.h"
#include "umbertrail/core/owner/rate_predictor.h"
#include "umbertrail/core/owner/target_queue.h"
#include "umbertrail/core/owner/warmup_budget.h"

namespace umbertrail::core {

// What the owner of a target works with; all pointers outlive it.
struct OwnerContext {
  const OwnerConfig* config = nullptr;
  InstanceRef self;
  const FleetView* fleet = nullptr;
  RandomSource* random = nullptr;
  const Mutations* mutations = nullptr;
  HolderTable* holders = nullptr;
};

// One target as its owner sees it: decides which requests may run on it and
// when, by the budget that its state and this instance's claim allow. Grants
// are given here and used by the receiving instance, so that a stream outlives
// its owner.
class TargetOwner {
 public:
  TargetOwner(const OwnerContext& context, TargetId target);

  // What OnAdmit() would answer, without taking a place. Cost: linear in what
  // runs on the target.
  ProbeReply OnProbe(absl::Time now, const ProbeRequest& probe) const;

  // Grants, queues or refuses. Asking again for the same attempt answers the
  // same as before and charges it once.
  AdmitReply OnAdmit(absl::Time now,
                     const InstanceRef& from,
                     const AdmitRequest& request);
  void OnAlive(absl::Time now,
               const InstanceRef& from,
               const AttemptsAlive::Entry& alive);
  void OnSettled(absl::Time now,
                 const InstanceRef& from,
                 const AttemptSettled& settled,
                 Actions* actions);
  void OnReport(absl::Time now, const TargetReport& report, Actions* actions);
  void OnUnreachable(absl::Time now, bool refused, Actions* actions);
  void OnHandover(absl::Time now, const OwnerHandover& handover);
  void OnHolderGone(absl::Time now,
                    const InstanceRef& holder,
                    Actions* actions);
  // Manifest or lists changed: the claim, the limits or the target's right to
  // new work may differ.
  void OnFleetChanged(absl::Time now, Actions* actions);
  // Hands the ledger to the next in the ranking, refuses what waits and grants
  // nothing from now on.
  void OnStop(absl::Time now, Actions* actions);
  void OnTick(absl::Time now, Actions* actions);

  absl::Time NextWakeup() const;
  // Whether nothing is charged and nothing waits.
  bool Idle() const { return ledger_.empty() && queue_.size() == 0; }
  // Whether this instance has not been the owner for so long that what is known
  // here may be dropped.
  bool Forgettable(absl::Time now) const;
  TargetStatus Status(absl::Time now) const;

 private:
  // Why no work is taken now, and when it may be again.
  struct Refusal {
    Reason reason = Reason::kOk;
    absl::Duration retry_after;
  };
  // What a request asks of the target, in the terms of both its messages.
  struct Demand {
    RequestKind kind = RequestKind::kCompletion;
    AdmitPurpose purpose = AdmitPurpose::kRun;
    const ModelId* model = nullptr;
    const AdapterId* adapter = nullptr;
    Tokens prompt;
    Tokens output;
    Tokens matched;
    absl::Duration time_left;
  };
  // What serving a demand would take.
  struct Estimate {
    LengthClass length = LengthClass::kShort;
    Tokens charge;
    Tokens prefill;
    Tokens prefill_with_ahead;
    absl::Duration wait;         // before it may start
    absl::Duration first_token;  // waiting included
    absl::Duration finish;       // waiting included
    absl::Duration run;          // alone, without waiting
  };

  Demand DemandOf(const ProbeRequest& probe) const;
  Demand DemandOf(const AdmitRequest& request) const;
  Estimate EstimateOf(absl::Time now, const Demand& demand) const;
  absl::Duration WaitForMemory(Tokens charge, LengthClass length) const;

  std::optional<Refusal> Closed(absl::Time now) const;
  std::optional<Refusal> BarredNow(absl::Time now) const;
  std::optional<Refusal> Unsuitable(const Demand& demand,
                                    const Estimate& estimate) const;

  // Takes back a waiting or offered place; a granted attempt stays.
  void DropPlace(const AttemptKey& key);
  AdmitReply Claim(absl::Time now, const AttemptKey& key, AdmitReply reply);
  AdmitReply Admit(absl::Time now,
                   const InstanceRef& from,
                   const AdmitRequest& request,
                   AdmitReply reply);
  AdmitReply Granted(absl::Time now, Charge* charge, AdmitReply reply);
  // Whether the target would hold more than it bears after a restart that
  // nobody would have noticed.
  bool NeedsBootRead(const Charge& charge, bool has_witness) const;
  static AdmitReply Refused(const Refusal& refusal, AdmitReply reply);
  void AddCharge(absl::Time now, const QueuedWork& work, ChargeState state);
  void Requeue(absl::Time now, const AttemptKey& key, Actions* actions);
  // Whether other content that a target died of is here.
  bool HoldsSuspect() const;
  bool UsedOnceToken(const std::string& token, const AttemptKey& key) const;
  void RememberOnceToken(const std::string& token, const AttemptKey& key);
  void ForgetOnceTokens(const AttemptKey& key);

  // Offers places to waiting requests for as long as some fits.
  void Dispatch(absl::Time now, Actions* actions);
  void SuspendForShort(absl::Time now,
                       const TargetRoom& room,
                       Actions* actions);
  void RefuseWork(const std::vector<QueuedWork>& works,
                  const Refusal& refusal,
                  Actions* actions) const;
  void RefuseAll(const Refusal& refusal, Actions* actions);
  void ExpireReservations(absl::Time now, Actions* actions);
  // Charges an attempt that a former owner granted.
  void Adopt(absl::Time now, const AttemptKey& key, Tokens held);
  bool CameFarTooLate(const Charge& charge, absl::Duration first_token) const;
  void Learn(const Charge& charge, const AttemptSettled& settled);
  void HandOver(Actions* actions) const;
  void RefreshClaim(absl::Time now, Actions* actions);
  void RefreshLimits();

  Tokens Allowed() const;
  Tokens PendingPrefill(absl::Time now, LengthClass length) const;
  TargetRoom RoomAt(absl::Time now) const;
  // When a missing report makes the target suspect.
  absl::Time ReportOverdueAt() const;
  bool IsService() const;
  LengthClass ClassOfPrompt(Tokens prompt) const;

  OwnerContext context_;
  TargetId target_;
  WarmupBudget budget_;
  ClaimGate gate_;
  Ledger ledger_;
  TargetQueue queue_;
  RatePredictor rates_;
  PrefixIndex prefixes_;
  AllocationAudit audit_;

  // Places offered, with the request to put back when it is not claimed.
  std::map<AttemptKey, QueuedWork> offered_;
  // Which attempt used a call's token, and the tokens oldest first.
  absl::flat_hash_map<std::string, AttemptKey> once_tokens_;
  std::deque<std::string> once_order_;
  // Suspensions by request.
  std::map<RequestId, int> suspensions_;

  TargetReport report_;  // the last one, without its lists
  absl::Time report_taken_at_ = absl::InfinitePast();
  Tokens foreign_;
  bool reachable_ = true;
  bool stopping_ = false;
  int failed_polls_ = 0;
  // When the last report came; never while none is awaited.
  absl::Time reported_at_ = absl::InfiniteFuture();
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time owned_at_ = absl::InfinitePast();
  absl::Time handed_over_at_ = absl::InfinitePast();
  absl::Time next_dispatch_ = absl::InfiniteFuture();
  absl::Time asked_holders_at_ = absl::InfinitePast();
  // Fading means over attempts that ended well: time on the target, and output
  // as a part of the longest allowed.
  absl::Duration residence_;
  double output_share_ = 1.0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_TARGET_OWNER_H_
