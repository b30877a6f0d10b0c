#include "umbertrail/core/owner/target_owner.h"

#include <algorithm>
#include <utility>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

// While requests wait, room is looked for at this interval: predicted prefills
// end without an event.
constexpr absl::Duration kDispatchInterval = absl::Milliseconds(10);
// Wait that is predicted when nothing is known about when room comes: a target
// that must warm up first, or whose memory others hold.
constexpr absl::Duration kUnknownWait = absl::Seconds(10);
// Bounds of the advice when to come back.
constexpr absl::Duration kLeastRetry = absl::Milliseconds(200);
constexpr absl::Duration kLongestRetry = absl::Seconds(30);
// Residence assumed before the first attempt ends.
constexpr absl::Duration kPriorResidence = absl::Seconds(5);
// Part of the newest attempt in the fading means.
constexpr double kMeanGain = 0.05;
// Offers of a place that a request may leave unclaimed.
constexpr int kMaxMissedClaims = 2;
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
// A long prompt with less time than this left is not suspended.
constexpr absl::Duration kSuspendSlack = absl::Seconds(10);
// Time that an attempt of a former owner is assumed to have.
constexpr absl::Duration kAdoptedTime = absl::Hours(1);

constexpr LengthClass kClasses[] = {LengthClass::kShort, LengthClass::kMedium,
                                    LengthClass::kLong};

absl::Duration RetryAfter(absl::Duration wait) {
  return std::clamp(wait, kLeastRetry, kLongestRetry);
}

absl::flat_hash_set<RequestId> RequestsIn(const TargetReport& report) {
  absl::flat_hash_set<RequestId> requests;
  for (const Allocation& allocation : report.allocations) {
    requests.insert(allocation.request);
  }
  return requests;
}

bool Has(const std::vector<AdapterId>& adapters, const AdapterId& adapter) {
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
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

// -- Probes and admissions

ProbeReply TargetOwner::OnProbe(absl::Time now,
                                const ProbeRequest& probe) const {
  ProbeReply reply;
  reply.probe = probe.probe;
  reply.target = target_;
  const Demand demand = DemandOf(probe);
  const Estimate estimate = EstimateOf(now, demand);
  std::optional<Refusal> refusal = Closed(now);
  if (!refusal) {
    refusal = Unsuitable(demand, estimate);
  }
  reply.can_serve = !refusal.has_value();
  reply.reason = refusal ? refusal->reason : Reason::kOk;
  reply.first_token = estimate.first_token;
  reply.finish = estimate.finish;
  reply.matched_prefix = demand.matched;
  return reply;
}

AdmitReply TargetOwner::OnAdmit(absl::Time now,
                                const InstanceRef& from,
                                const AdmitRequest& request) {
  AdmitReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.target = target_;
  reply.sequence = request.sequence;
  RefreshClaim(now, nullptr);
  const AttemptKey key{request.request, request.attempt, from};
  if (const std::optional<Refusal> refusal = Closed(now)) {
    return Refused(*refusal, std::move(reply));
  }
  const Charge* charge = ledger_.Find(key);
  if (charge != nullptr && charge->state == ChargeState::kReserved) {
    return Claim(now, key, std::move(reply));
  }
  if (charge != nullptr) {
    return Granted(now, *charge, std::move(reply));
  }
  if (queue_.Find(key) != nullptr) {
    reply.decision = AdmitDecision::kQueued;
    return reply;
  }
  return Admit(now, from, request, std::move(reply));
}

AdmitReply TargetOwner::Claim(absl::Time now,
                              const AttemptKey& key,
                              AdmitReply reply) {
  const QueuedWork work = offered_.at(key);
  offered_.erase(key);
  if (UsedOnceToken(work.request.once_token, key)) {
    ledger_.Withdraw(key);
    return Refused({Reason::kTicketUsed, absl::ZeroDuration()},
                   std::move(reply));
  }
  // The budget may have fallen since the place was offered.
  if (ledger_.charged() > Allowed()) {
    ledger_.Withdraw(key);
    if (queue_.Full()) {
      return Refused({Reason::kOverloaded, kLeastRetry}, std::move(reply));
    }
    queue_.Push(work);
    next_dispatch_ = now;
    reply.decision = AdmitDecision::kQueued;
    return reply;
  }
  Charge* charge = ledger_.Find(key);
  charge->state = ChargeState::kGranted;
  charge->first_token_at += now - charge->granted_at;
  charge->granted_at = now;
  charge->heard_at = now;
  RememberOnceToken(work.request.once_token, key);
  return Granted(now, *charge, std::move(reply));
}

AdmitReply TargetOwner::Admit(absl::Time now,
                              const InstanceRef& from,
                              const AdmitRequest& request,
                              AdmitReply reply) {
  QueuedWork work;
  work.holder = from;
  work.request = request;
  if (UsedOnceToken(request.once_token, work.key())) {
    return Refused({Reason::kTicketUsed, absl::ZeroDuration()},
                   std::move(reply));
  }
  const Demand demand = DemandOf(request);
  const Estimate estimate = EstimateOf(now, demand);
  if (const std::optional<Refusal> refusal = Unsuitable(demand, estimate)) {
    return Refused(*refusal, std::move(reply));
  }
  if (request.suspect && HoldsSuspect()) {
    return Refused({Reason::kOverloaded, kLeastRetry}, std::move(reply));
  }
  if (queue_.Full()) {
    return Refused({Reason::kOverloaded, RetryAfter(estimate.wait)},
                   std::move(reply));
  }
  prefixes_.Use(request.prefix);
  work.length = estimate.length;
  work.charge = estimate.charge;
  work.prefill = estimate.prefill;
  work.arrived = now;
  work.deadline = now + request.time_left;
  work.latest_start = work.deadline - estimate.run;
  queue_.Push(work);

  const QueuedWork* next = queue_.Next(RoomAt(now));
  if (next == nullptr || !(next->key() == work.key())) {
    next_dispatch_ = std::min(next_dispatch_, now + kDispatchInterval);
    reply.decision = AdmitDecision::kQueued;
    reply.first_token = estimate.first_token;
    return reply;
  }
  queue_.Take(work.key());
  AddCharge(now, work, ChargeState::kGranted);
  RememberOnceToken(request.once_token, work.key());
  return Granted(now, *ledger_.Find(work.key()), std::move(reply));
}

AdmitReply TargetOwner::Granted(absl::Time now,
                                const Charge& charge,
                                AdmitReply reply) {
  reply.decision = AdmitDecision::kGranted;
  reply.boot = budget_.boot();
  reply.first_token =
      std::max(charge.first_token_at - now, absl::ZeroDuration());
  return reply;
}

AdmitReply TargetOwner::Refused(const Refusal& refusal, AdmitReply reply) {
  reply.decision = AdmitDecision::kRefused;
  reply.reason = refusal.reason;
  reply.retry_after = refusal.retry_after;
  return reply;
}

void TargetOwner::AddCharge(absl::Time now,
                            const QueuedWork& work,
                            ChargeState state) {
  Charge charge;
  charge.key = work.key();
  charge.length = work.length;
  charge.state = state;
  charge.tokens = work.charge;
  charge.output = work.request.max_output;
  charge.suspect = work.request.suspect;
  charge.prefill = work.prefill;
  charge.prefill_with_ahead = PendingPrefill(now, work.length) + work.prefill;
  charge.beside_long = ledger_.Prefilling(LengthClass::kLong) > 0;
  charge.granted_at = now;
  charge.first_token_at = now + rates_.FirstToken(charge.prefill_with_ahead);
  charge.heard_at = now;
  charge.deadline = work.deadline;
  ledger_.Add(charge);
  // The bound that keeps a target alive while it starts.
  UMBERTRAIL_INVARIANT(ledger_.charged() <= Allowed());
}

// -- What a request takes

TargetOwner::Demand TargetOwner::DemandOf(const ProbeRequest& probe) const {
  Demand demand;
  demand.kind = probe.kind;
  demand.model = &probe.model;
  demand.adapter = &probe.adapter;
  demand.prompt = probe.prompt;
  demand.output = probe.max_output;
  demand.matched = prefixes_.Matched(probe.prefix);
  demand.time_left = probe.time_left;
  return demand;
}

TargetOwner::Demand TargetOwner::DemandOf(const AdmitRequest& request) const {
  Demand demand;
  demand.kind = request.kind;
  demand.purpose = request.purpose;
  demand.model = &request.model;
  demand.adapter = &request.adapter;
  demand.prompt = request.prompt;
  demand.output = request.max_output;
  demand.matched = prefixes_.Matched(request.prefix);
  demand.time_left = request.time_left;
  return demand;
}

TargetOwner::Estimate TargetOwner::EstimateOf(absl::Time now,
                                              const Demand& demand) const {
  Estimate estimate;
  if (demand.kind == RequestKind::kServiceCall) {
    estimate.charge = Tokens(1);
    estimate.wait = WaitForMemory(estimate.charge, estimate.length);
    estimate.run = residence_;
    estimate.first_token = estimate.wait + residence_;
    estimate.finish = estimate.first_token;
    return estimate;
  }
  estimate.length = ClassOfPrompt(demand.prompt);
  estimate.charge = demand.prompt + demand.output;
  estimate.prefill = std::max(demand.prompt - demand.matched, Tokens(0));
  estimate.prefill_with_ahead = estimate.prefill +
                                PendingPrefill(now, estimate.length) +
                                queue_.WaitingPrefill(estimate.length);
  estimate.wait = WaitForMemory(estimate.charge, estimate.length);
  const Tokens output(static_cast<int64_t>(
      output_share_ * static_cast<double>(demand.output.value())));
  const absl::Duration decode =
      rates_.Decode(output, ledger_.running() + 1,
                    ledger_.Prefilling(LengthClass::kLong) > 0);
  estimate.first_token =
      estimate.wait + rates_.FirstToken(estimate.prefill_with_ahead);
  estimate.finish = estimate.first_token + decode;
  estimate.run = rates_.FirstToken(estimate.prefill) + decode;
  return estimate;
}

absl::Duration TargetOwner::WaitForMemory(Tokens charge,
                                          LengthClass length) const {
  const Tokens allowed = Allowed();
  const Tokens wanted =
      ledger_.charged() + queue_.WaitingCharge(length) + charge;
  const int over_running =
      ledger_.running() + queue_.count(length) - context_.config->max_running;
  absl::Duration wait;
  if (over_running >= 0 && ledger_.running() > 0) {
    wait = residence_ * (over_running + 1) / ledger_.running();
  }
  if (wanted <= allowed) {
    return wait;
  }
  if (charge > allowed || ledger_.charged() == Tokens(0)) {
    return std::max(wait, kUnknownWait);
  }
  // What is charged now leaves over one mean residence.
  const double part = static_cast<double>((wanted - allowed).value()) /
                      static_cast<double>(ledger_.charged().value());
  return std::max(wait, residence_ * part);
}

std::optional<TargetOwner::Refusal> TargetOwner::Closed(absl::Time now) const {
  if (stopping_) {
    return Refusal{Reason::kStopping, kLeastRetry};
  }
  if (!context_.fleet->MayDispatch(now)) {
    return Refusal{Reason::kNotFresh, kLeastRetry};
  }
  if (gate_.claim() == OwnerClaim::kNone) {
    return Refusal{Reason::kNoTarget, kLeastRetry};
  }
  if (const std::optional<Refusal> barred = BarredNow(now)) {
    return barred;
  }
  if (!reachable_) {
    return Refusal{Reason::kNoTarget,
                   RetryAfter(context_.config->poll_interval)};
  }
  return std::nullopt;
}

std::optional<TargetOwner::Refusal> TargetOwner::BarredNow(
    absl::Time now) const {
  const Mutations& mutations = *context_.mutations;
  const bool reported_leaving =
      budget_.reported() && report_.state == TargetState::kLeaving;
  if (reported_leaving && !mutations.ignore_leaving_target) {
    return Refusal{Reason::kNoTarget, kLeastRetry};
  }
  const std::optional<Reason> reason = context_.fleet->Barred(target_, now);
  if (!reason) {
    return std::nullopt;
  }
  const TargetInfo* info = context_.fleet->FindTarget(target_);
  const bool leaving = info != nullptr && info->leaving;
  if (leaving && mutations.ignore_leaving_target) {
    return std::nullopt;
  }
  if (info != nullptr && !leaving && mutations.ignore_closed_data_centre) {
    return std::nullopt;
  }
  return Refusal{*reason, kLeastRetry};
}

std::optional<TargetOwner::Refusal> TargetOwner::Unsuitable(
    const Demand& demand,
    const Estimate& estimate) const {
  const bool service = demand.kind == RequestKind::kServiceCall;
  if (service != IsService()) {
    return Refusal{Reason::kNoTarget, absl::ZeroDuration()};
  }
  const bool reported = report_taken_at_ > absl::InfinitePast();
  if (!service && reported) {
    const bool serves = report_.model == *demand.model;
    const bool adapted =
        demand.adapter->empty() || Has(report_.adapters, *demand.adapter);
    if (!serves || !adapted) {
      return Refusal{Reason::kNoTarget, kLeastRetry};
    }
    const Tokens memory = report_.memory_total;
    if (memory > Tokens(0) && estimate.charge > memory) {
      return Refusal{Reason::kTooLong, absl::ZeroDuration()};
    }
  }
  if (estimate.run > demand.time_left) {
    return Refusal{Reason::kDeadlineInfeasible, absl::ZeroDuration()};
  }
  if (estimate.finish > demand.time_left) {
    return Refusal{Reason::kOverloaded, RetryAfter(estimate.wait)};
  }
  return std::nullopt;
}

bool TargetOwner::HoldsSuspect() const {
  const auto& charges = ledger_.charges();
  const bool running =
      std::any_of(charges.begin(), charges.end(),
                  [](const auto& it) { return it.second.suspect; });
  return running || queue_.HoldsSuspect();
}

bool TargetOwner::UsedOnceToken(const std::string& token,
                                const AttemptKey& key) const {
  if (token.empty()) {
    return false;
  }
  const auto it = once_tokens_.find(token);
  if (it == once_tokens_.end()) {
    return false;
  }
  const AttemptKey& user = it->second;
  return user.request != key.request || user.holder != key.holder;
}

void TargetOwner::RememberOnceToken(const std::string& token,
                                    const AttemptKey& key) {
  if (token.empty() || !once_tokens_.insert_or_assign(token, key).second) {
    return;
  }
  once_order_.push_back(token);
  if (once_order_.size() > context_.config->max_once_tokens) {
    once_tokens_.erase(once_order_.front());
    once_order_.pop_front();
  }
}

void TargetOwner::ForgetOnceTokens(const AttemptKey& key) {
  const auto used = [&](const std::string& token) {
    return once_tokens_.at(token) == key;
  };
  // The newest are the likeliest.
  const auto it = std::find_if(once_order_.rbegin(), once_order_.rend(), used);
  if (it == once_order_.rend()) {
    return;
  }
  once_tokens_.erase(*it);
  once_order_.erase(std::next(it).base());
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
  RefreshClaim(now, actions);
  RefuseAll({Reason::kStopping, kLeastRetry}, actions);
  if (gate_.whole()) {
    HandOver(actions);
  }
  stopping_ = true;
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
  if (gate_.claim() != OwnerClaim::kNone && now >= next_poll_) {
    next_poll_ = now + context_.config->poll_interval;
    actions->push_back(PollTarget{target_});
  }
  Dispatch(now, actions);
}

absl::Time TargetOwner::NextWakeup() const {
  absl::Time next = std::min(next_dispatch_, queue_.NextExpiry());
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

// -- Turns

void TargetOwner::Dispatch(absl::Time now, Actions* actions) {
  RefuseWork(queue_.RemoveExpired(now),
             {Reason::kDeadlineInfeasible, absl::ZeroDuration()}, actions);
  next_dispatch_ = absl::InfiniteFuture();
  if (queue_.size() == 0 || Closed(now)) {
    return;
  }
  TargetRoom room = RoomAt(now);
  while (const QueuedWork* next = queue_.Next(room)) {
    const QueuedWork work = queue_.Take(next->key());
    AddCharge(now, work, ChargeState::kReserved);
    offered_.emplace(work.key(), work);
    actions->push_back(SendPeer{
        work.holder.id,
        AdmitReady{work.request.request, work.request.attempt, target_}});
    room = RoomAt(now);
  }
  SuspendForShort(now, room, actions);
  if (queue_.size() > 0) {
    next_dispatch_ = now + kDispatchInterval;
  }
}

void TargetOwner::SuspendForShort(absl::Time now,
                                  const TargetRoom& room,
                                  Actions* actions) {
  if (IsService() || queue_.PressedShort(room) == nullptr) {
    return;
  }
  const Charge* best = nullptr;
  for (const auto& [key, charge] : ledger_.charges()) {
    if (charge.suspending) {
      return;
    }
    const auto it = suspensions_.find(key.request);
    const int n = it == suspensions_.end() ? 0 : it->second;
    const bool can = charge.length == LengthClass::kLong &&
                     charge.state == ChargeState::kRunning &&
                     n < context_.config->max_suspensions &&
                     charge.deadline - now > kSuspendSlack;
    if (can && (best == nullptr || charge.deadline > best->deadline)) {
      best = &charge;
    }
  }
  if (best == nullptr) {
    return;
  }
  ledger_.Find(best->key)->suspending = true;
  actions->push_back(
      SendPeer{best->key.holder.id,
               SuspendAttempt{best->key.request, best->key.attempt, target_}});
}

void TargetOwner::ExpireReservations(absl::Time now, Actions* actions) {
  std::vector<AttemptKey> expired;
  for (const auto& [key, work] : offered_) {
    const Charge* charge = ledger_.Find(key);
    if (now >= charge->granted_at + context_.config->claim_window) {
      expired.push_back(key);
    }
  }
  for (const AttemptKey& key : expired) {
    Requeue(now, key, actions);
  }
}

void TargetOwner::Requeue(absl::Time now,
                          const AttemptKey& key,
                          Actions* actions) {
  QueuedWork work = std::move(offered_.at(key));
  offered_.erase(key);
  ledger_.Withdraw(key);
  ++work.missed_claims;
  if (work.missed_claims >= kMaxMissedClaims || queue_.Full()) {
    RefuseWork({work}, {Reason::kOverloaded, kLeastRetry}, actions);
    return;
  }
  // Behind those of its account that kept their turn.
  work.arrived = now;
  queue_.Push(std::move(work));
}

void TargetOwner::RefuseWork(const std::vector<QueuedWork>& works,
                             const Refusal& refusal,
                             Actions* actions) const {
  for (const QueuedWork& work : works) {
    AdmitReply reply;
    reply.request = work.request.request;
    reply.attempt = work.request.attempt;
    reply.target = target_;
    actions->push_back(
        SendPeer{work.holder.id, Refused(refusal, std::move(reply))});
  }
}

void TargetOwner::RefuseAll(const Refusal& refusal, Actions* actions) {
  RefuseWork(queue_.RemoveAll(), refusal, actions);
  std::vector<QueuedWork> offered;
  for (auto& [key, work] : offered_) {
    ledger_.Withdraw(key);
    offered.push_back(std::move(work));
  }
  offered_.clear();
  RefuseWork(offered, refusal, actions);
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
