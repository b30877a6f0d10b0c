// One target as its owner sees it: attempts, reports, the fleet and time.

#include <algorithm>
#include <utility>

#include "owner_limits.h"
#include "umbertrail/core/owner/target_owner.h"

namespace umbertrail::core {
namespace {

using detail::kLeastRetry;
using detail::RetryAfter;

// Residence assumed before the first attempt ends.
constexpr absl::Duration kPriorResidence = absl::Seconds(5);

// Part of the newest attempt in the fading means.
constexpr double kMeanGain = 0.05;

// What is known of a target is kept this long after the claim is lost.
constexpr absl::Duration kKeepAfterClaim = absl::Minutes(1);

// Holders of unknown life are asked at most this often.
constexpr absl::Duration kAskHolders = absl::Seconds(10);

// A ledger is handed over while reports are at most this old: an older one
// means that this process slept.
constexpr absl::Duration kHandoverReportAge = absl::Seconds(15);

// A former owner's view of a target is as good as an own one this long.
constexpr absl::Duration kHandoverHolds = absl::Seconds(2);

// Requests whose suspensions are counted.
constexpr size_t kMaxSuspensionCounts = 4096;

// Time that an attempt of a former owner is assumed to have.
constexpr absl::Duration kAdoptedTime = absl::Hours(1);

constexpr LengthClass kClasses[] = {LengthClass::kShort, LengthClass::kMedium,
                                    LengthClass::kLong};

absl::flat_hash_set<RequestId> RequestsIn(const TargetReport& report) {
  absl::flat_hash_set<RequestId> requests;
  for (const Allocation& allocation : report.allocations) {
    requests.insert(allocation.request);
  }
  return requests;
}

}  // namespace

TargetOwner::TargetOwner(const OwnerContext& context, TargetId target)
    : context_(context),
      target_(std::move(target)),
      budget_(context.mutations),
      gate_(context.mutations),
      ledger_(context.config),
      queue_(context.config),
      prefixes_(context.config->max_prefixes),
      audit_(context.config, context.mutations),
      residence_(kPriorResidence) {
  RefreshLimits();
}

// -- Running attempts

void TargetOwner::OnAlive(absl::Time now,
                          const InstanceRef& from,
                          const AttemptsAlive::Entry& alive) {
  const AttemptKey key{alive.request, alive.attempt, from};
  if (!ledger_.OnAlive(now, key, alive.generated)) {
    Adopt(now, key, alive.held);
  }
  if (queue_.size() > 0) {
    next_dispatch_ = std::min(next_dispatch_, now);
  }
}

void TargetOwner::Adopt(absl::Time now, const AttemptKey& key, Tokens held) {
  if (held <= Tokens(0)) {
    return;
  }
  // What runs by a former owner's word need not wait for this one's.
  queue_.Remove(key);
  Charge charge;
  charge.key = key;
  charge.length = ClassOfPrompt(held);
  charge.state = ChargeState::kRunning;
  charge.tokens = held;
  charge.granted_at = now;
  charge.first_token_at = now;
  charge.decoding = true;
  charge.heard_at = now;
  charge.deadline = now + kAdoptedTime;
  ledger_.Add(charge);
}

void TargetOwner::OnSettled(absl::Time now,
                            const InstanceRef& from,
                            const AttemptSettled& settled,
                            Actions* actions) {
  const AttemptKey key{settled.request, settled.attempt, from};
  offered_.erase(key);
  if (settled.result == AttemptResult::kNotStarted) {
    ForgetOnceTokens(key);
  }
  Charge* charge = ledger_.Find(key);
  if (charge == nullptr) {
    queue_.Remove(key);
    return;
  }
  Learn(*charge, settled);
  // A stream breaks before any report can tell that its target restarted; a
  // report taken later clears the suspicion.
  const bool broken = settled.result == AttemptResult::kBroken && !IsService();
  if (broken || CameFarTooLate(*charge, settled.first_token)) {
    budget_.OnSuspectedRestart(now);
  }
  const bool exported = settled.result == AttemptResult::kSuspended;
  audit_.OnSettled(now, key, exported);
  if (exported && suspensions_.size() < kMaxSuspensionCounts) {
    ++suspensions_[settled.request];
  } else if (!exported) {
    suspensions_.erase(settled.request);
  }
  // A broken stream may still run on the engine, which a cold one can't bear.
  if (broken) {
    charge->state = ChargeState::kSilent;
    charge->heard_at = now;
  } else {
    ledger_.Settle(now, key);
  }
  Dispatch(now, actions);
}

bool TargetOwner::CameFarTooLate(const Charge& charge,
                                 absl::Duration first_token) const {
  if (charge.prefill_with_ahead == Tokens(0)) {
    return false;  // nothing was predicted
  }
  // A report taken since then knows better.
  if (charge.granted_at + first_token <= report_taken_at_) {
    return false;
  }
  const absl::Duration predicted = charge.first_token_at - charge.granted_at;
  return RatePredictor::FarOver(predicted, first_token);
}

void TargetOwner::Learn(const Charge& charge, const AttemptSettled& settled) {
  if (settled.result != AttemptResult::kDone) {
    return;
  }
  residence_ += (settled.total - residence_) * kMeanGain;
  if (IsService()) {
    budget_.OnCompleted(Tokens(1));
    return;
  }
  budget_.OnCompleted(charge.prefill + settled.generated);
  if (charge.prefill_with_ahead == Tokens(0)) {
    return;
  }
  if (charge.output > Tokens(0)) {
    const double share = static_cast<double>(settled.generated.value()) /
                         static_cast<double>(charge.output.value());
    output_share_ += (share - output_share_) * kMeanGain;
  }
  RateSample sample;
  sample.prefill = charge.prefill_with_ahead;
  sample.batch = ledger_.running();
  sample.beside_long = charge.beside_long;
  sample.first_token = settled.first_token;
  sample.total = settled.total;
  sample.generated = settled.generated;
  rates_.Learn(sample);
}

// -- Reports

void TargetOwner::OnReport(absl::Time now,
                           const TargetReport& report,
                           Actions* actions) {
  const absl::Time taken_at = now - report.age;
  failed_polls_ = 0;
  reported_at_ = now;
  if (taken_at < report_taken_at_) {
    return;
  }
  report_taken_at_ = taken_at;
  reachable_ = true;
  const absl::flat_hash_set<RequestId> present = RequestsIn(report);
  prefixes_.OnEvents(report.boot, report.cache_events);
  if (budget_.OnReport(now, taken_at, report.boot, report.state)) {
    ledger_.OnRestart(taken_at, present);
  }
  ledger_.MarkWitnesses(taken_at, present);
  ledger_.MarkSilent(now);
  if (IsService()) {
    ledger_.DropSilentBefore(now - context_.config->service_silence);
  } else {
    ledger_.OnReport(taken_at, present);
  }
  foreign_ = IsService() ? Tokens(0) : ledger_.ForeignWork(taken_at, report);
  gate_.OnReport(taken_at);

  const AuditFindings findings =
      audit_.OnReport(now, taken_at, target_, report.allocations, ledger_,
                      gate_.whole(), context_.holders);
  actions->insert(actions->end(), findings.to_free.begin(),
                  findings.to_free.end());
  if (!findings.to_ask.empty() && now - asked_holders_at_ >= kAskHolders) {
    asked_holders_at_ = now;
    for (const InstanceId& holder : findings.to_ask) {
      actions->push_back(SendPeer{holder, HeadQuery{context_.random->Next()}});
    }
  }
  report_ = report;
  report_.allocations.clear();
  report_.cache_events.clear();
  RefreshLimits();
  RefreshClaim(now, actions);
  Dispatch(now, actions);
}

void TargetOwner::OnUnreachable(absl::Time now,
                                bool refused,
                                Actions* actions) {
  ++failed_polls_;
  if (refused) {
    budget_.OnSuspectedRestart(now);
  }
  if (refused || failed_polls_ >= context_.config->unreachable_after) {
    reachable_ = false;
    RefuseAll({Reason::kNoTarget, RetryAfter(context_.config->poll_interval)},
              actions);
  }
}

void TargetOwner::OnHandover(absl::Time now, const OwnerHandover& handover) {
  owned_at_ = now;
  handed_over_at_ = now;
  budget_.OnHandover(handover.boot, handover.cold, handover.budget);
  if (budget_.boot() != handover.boot) {
    return;
  }
  gate_.OnHandover(now);
  for (const OwnerHandover::Entry& entry : handover.entries) {
    const AttemptKey key{entry.request, entry.attempt, entry.holder};
    if (ledger_.Find(key) != nullptr) {
      continue;
    }
    Adopt(now, key, entry.tokens);
  }
}

void TargetOwner::OnHolderGone(absl::Time now,
                               const InstanceRef& holder,
                               Actions* actions) {
  queue_.RemoveHolder(holder);
  for (auto it = offered_.begin(); it != offered_.end();) {
    if (it->first.holder != holder) {
      ++it;
      continue;
    }
    ledger_.Withdraw(it->first);
    it = offered_.erase(it);
  }
  ledger_.OnHolderGone(now, holder);
  Dispatch(now, actions);
}

// -- The fleet

void TargetOwner::OnFleetChanged(absl::Time now, Actions* actions) {
  RefreshLimits();
  RefreshClaim(now, actions);
}

void TargetOwner::OnStop(absl::Time now, Actions* actions) {
  if (stopping_) {
    return;
  }
  if (context_.fleet->ClaimOf(target_, now) != OwnerClaim::kNone) {
    // Nobody else is there to own it: it serves on until one is.
    return;
  }
  RefuseAll({Reason::kStopping, kLeastRetry}, actions);
  if (gate_.whole()) {
    HandOver(actions);
  }
  stopping_ = true;
  RefreshClaim(now, actions);
}

void TargetOwner::RefreshClaim(absl::Time now, Actions* actions) {
  const bool whole = gate_.whole();
  const OwnerClaim former = gate_.claim();
  gate_.OnClaim(now, context_.fleet->ClaimOf(target_, now));
  const bool gained =
      former == OwnerClaim::kNone && gate_.claim() != OwnerClaim::kNone;
  if (gained && now - handed_over_at_ > kHandoverHolds) {
    // It may have restarted while nobody here watched it.
    budget_.OnSuspectedRestart(now);
  }
  if (gate_.claim() != OwnerClaim::kNone) {
    owned_at_ = now;
  }
  if (actions == nullptr) {
    // Whatever waits is looked at by the next tick.
    if (queue_.size() > 0) {
      next_dispatch_ = std::min(next_dispatch_, now);
    }
    return;
  }
  const bool lost = whole && gate_.claim() == OwnerClaim::kNone;
  const bool awake = now - report_taken_at_ <= kHandoverReportAge;
  if (const std::optional<Refusal> closed = Closed(now)) {
    RefuseAll(*closed, actions);
  }
  if (lost && awake && !stopping_ && context_.fleet->MayDispatch(now)) {
    HandOver(actions);
  }
}

void TargetOwner::HandOver(Actions* actions) const {
  OwnerHandover handover;
  handover.target = target_;
  handover.boot = budget_.boot();
  handover.cold = budget_.cold();
  handover.budget = budget_.budget();
  for (const auto& [key, charge] : ledger_.charges()) {
    handover.entries.push_back(
        {key.holder, key.request, key.attempt, charge.tokens});
  }
  for (const InstanceId& next : context_.fleet->Ranking(target_)) {
    if (next != context_.self.id) {
      actions->push_back(SendPeer{next, handover});
      return;
    }
  }
}

void TargetOwner::RefreshLimits() {
  const OwnerConfig& config = *context_.config;
  if (IsService()) {
    budget_.SetLimits(config.service_cold_concurrency,
                      config.service_concurrency);
    return;
  }
  const manifest::Manifest* manifest = context_.fleet->manifest();
  const TargetInfo* info = context_.fleet->FindTarget(target_);
  if (manifest == nullptr || info == nullptr) {
    return;
  }
  for (const manifest::EngineClass& it : manifest->engine_classes) {
    if (it.name != info->engine_class) {
      continue;
    }
    const bool said = report_.memory_total > Tokens(0);
    const Tokens memory =
        said ? std::min(it.memory, report_.memory_total) : it.memory;
    budget_.SetLimits(it.cold_budget, memory);
  }
}

// -- Time

void TargetOwner::OnTick(absl::Time now, Actions* actions) {
  RefreshClaim(now, actions);
  ExpireReservations(now, actions);
  if (now >= ReportOverdueAt()) {
    budget_.OnSuspectedRestart(reported_at_);
    reported_at_ = absl::InfiniteFuture();
  }
  if (gate_.claim() != OwnerClaim::kNone && now >= next_poll_) {
    next_poll_ = now + context_.config->poll_interval;
    actions->push_back(PollTarget{target_});
  }
  Dispatch(now, actions);
}

absl::Time TargetOwner::ReportOverdueAt() const {
  return reported_at_ + context_.config->report_overdue;
}

absl::Time TargetOwner::NextWakeup() const {
  absl::Time next = std::min(next_dispatch_, queue_.NextExpiry());
  next = std::min(next, ReportOverdueAt());
  for (const auto& [key, work] : offered_) {
    const Charge* charge = ledger_.Find(key);
    next = std::min(next, charge->granted_at + context_.config->claim_window);
  }
  if (gate_.claim() != OwnerClaim::kNone) {
    next = std::min(next, next_poll_);
  }
  return next;
}

bool TargetOwner::Forgettable(absl::Time now) const {
  return gate_.claim() == OwnerClaim::kNone &&
         now - owned_at_ > kKeepAfterClaim;
}

TargetStatus TargetOwner::Status(absl::Time now) const {
  TargetStatus status;
  status.id = target_;
  const TargetInfo* info = context_.fleet->FindTarget(target_);
  if (info != nullptr) {
    status.data_centre = info->data_centre;
  }
  status.claim = context_.fleet->ClaimOf(target_, now);
  status.reachable = reachable_ && budget_.reported();
  status.state = budget_.cold() ? TargetState::kCold : TargetState::kWarm;
  if (report_.state == TargetState::kLeaving) {
    status.state = TargetState::kLeaving;
  }
  status.model = report_.model;
  status.version = report_.version;
  status.budget = Allowed();
  status.in_flight = ledger_.charged();
  status.queued_short = queue_.count(LengthClass::kShort);
  status.queued_medium = queue_.count(LengthClass::kMedium);
  status.queued_long = queue_.count(LengthClass::kLong);
  return status;
}

// -- Room

Tokens TargetOwner::Allowed() const {
  return gate_.Allowed(budget_.budget(), budget_.cold(), budget_.reported(),
                       foreign_);
}

Tokens TargetOwner::PendingPrefill(absl::Time now, LengthClass length) const {
  return ledger_.PendingPrefill(now, length, rates_.Prefill(Tokens(1)));
}

TargetRoom TargetOwner::RoomAt(absl::Time now) const {
  TargetRoom room;
  room.now = now;
  room.allowed = Allowed();
  room.charged = ledger_.charged();
  room.running = ledger_.running();
  for (const LengthClass length : kClasses) {
    const auto i = static_cast<size_t>(length);
    room.charged_by_class[i] = ledger_.charged(length);
    room.prefilling[i] = ledger_.Prefilling(length);
  }
  room.short_backlog = rates_.Prefill(PendingPrefill(now, LengthClass::kShort));
  return room;
}

bool TargetOwner::IsService() const {
  const TargetInfo* info = context_.fleet->FindTarget(target_);
  return info != nullptr && info->kind == TargetKind::kService;
}

LengthClass TargetOwner::ClassOfPrompt(Tokens prompt) const {
  return context_.config->length_classes ? ClassOf(prompt)
                                         : LengthClass::kShort;
}

}  // namespace umbertrail::core
