// Probes, admissions and claims: what a request takes and whether it may run.

#include <algorithm>
#include <utility>

#include "owner_limits.h"
#include "umbertrail/core/invariant.h"
#include "umbertrail/core/owner/target_owner.h"

namespace umbertrail::core {
namespace {

using detail::kDispatchInterval;
using detail::kLeastRetry;
using detail::RetryAfter;

// Wait that is predicted when nothing is known about when room comes: a target
// that must warm up first, or whose memory others hold.
constexpr absl::Duration kUnknownWait = absl::Seconds(10);

bool Has(const std::vector<AdapterId>& adapters, const AdapterId& adapter) {
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

}  // namespace

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
    // This is its final answer, so no place is left behind.
    DropPlace(key);
    return Refused(*refusal, std::move(reply));
  }
  Charge* charge = ledger_.Find(key);
  if (charge != nullptr && charge->state == ChargeState::kReserved) {
    return Claim(now, key, std::move(reply));
  }
  if (charge != nullptr) {
    return Granted(now, charge, std::move(reply));
  }
  if (queue_.Find(key) != nullptr) {
    reply.decision = AdmitDecision::kQueued;
    return reply;
  }
  return Admit(now, from, request, std::move(reply));
}

void TargetOwner::DropPlace(const AttemptKey& key) {
  queue_.Remove(key);
  if (offered_.erase(key) > 0) {
    ledger_.Withdraw(key);
  }
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
  return Granted(now, charge, std::move(reply));
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
  return Granted(now, ledger_.Find(work.key()), std::move(reply));
}

AdmitReply TargetOwner::Granted(absl::Time now,
                                Charge* charge,
                                AdmitReply reply) {
  reply.decision = AdmitDecision::kGranted;
  reply.boot = budget_.boot();
  const bool has_witness = ledger_.HasWitnessBeside(now, charge->key);
  charge->read_boot = charge->read_boot || NeedsBootRead(*charge, has_witness);
  charge->witness = charge->witness || has_witness || charge->read_boot;
  reply.read_boot = charge->read_boot;
  reply.first_token =
      std::max(charge->first_token_at - now, absl::ZeroDuration());
  return reply;
}

bool TargetOwner::NeedsBootRead(const Charge& charge, bool has_witness) const {
  return !IsService() && !charge.witness && !has_witness &&
         ledger_.charged() > budget_.cold_budget();
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

}  // namespace umbertrail::core
