// Probing: asks the owners of a few candidates what they would answer, in the
// same round trip as the homes of its content (flow_screen.cc).

#include <algorithm>
#include <cmath>

#include "umbertrail/core/request/rendezvous.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

// First tokens sooner than this are as good as one another.
constexpr absl::Duration kFirstTokenAim = absl::Milliseconds(250);
// No request may take longer.
constexpr absl::Duration kLongestTime = absl::Hours(24);
// Long prompts gather on few targets while these finish them within this part
// of their time; a larger share of it makes reviews wait for one another.
constexpr int kGatherPart = 16;
// Predictions this close are equal: the choice among them is random, so that
// equal targets share the load and new ones get work to warm up on.
constexpr absl::Duration kNearMargin = absl::Milliseconds(10);
constexpr int kNearPart = 20;
constexpr absl::Duration kOverloadRetry = absl::Seconds(1);
constexpr absl::Duration kNoTargetRetry = absl::Seconds(2);
constexpr absl::Duration kUnfreshPause = absl::Milliseconds(50);
constexpr absl::Duration kSilentPause = absl::Milliseconds(100);
constexpr absl::Duration kGroupPause = absl::Milliseconds(400);
// Rounds of probes before a request that has not begun is refused.
constexpr int kMaxRounds = 8;
// Memory that a group's member leaves free for the engine's own overhead.
constexpr double kGroupFill = 0.9;

// Prompts of one model start alike only in what is hashed here.
uint64_t AffinityKey(const RequestSpec& spec) {
  const uint64_t model = StableHash(spec.model.text());
  if (spec.prefix.empty()) {
    return model;
  }
  return model ^ spec.prefix.front().hash.value();
}

bool AllReplied(const std::vector<ProbeState>& probes) {
  return std::all_of(probes.begin(), probes.end(),
                     [](const ProbeState& it) { return it.reply.has_value(); });
}

std::size_t CountServing(const std::vector<ProbeState>& probes) {
  return static_cast<std::size_t>(
      std::count_if(probes.begin(), probes.end(), [](const ProbeState& it) {
        return it.reply.has_value() && it.reply->can_serve;
      }));
}

}  // namespace

void RequestFlow::BeginProbing(absl::Time now,
                               ActiveRequest* r,
                               Actions* actions) {
  if (!parts_.fleet->MayDispatch(now)) {
    if (r->sends == 0 && now - r->arrived >= config_.hold_unfresh) {
      Refuse(now, r, Reason::kNotFresh, kNoTargetRetry,
             "this instance can't confirm what is in force", actions);
      return;
    }
    Hold(now, r, kUnfreshPause);
    return;
  }
  std::vector<TargetId> candidates =
      parts_.placement->CandidatesFor(r->spec, now);
  const std::size_t known = candidates.size();
  SizeGroup(candidates, r);
  if (known > 0 && known < r->group_size) {
    Refuse(now, r, Reason::kTooLong, {},
           "the prompt needs more targets than serve its model", actions);
    return;
  }
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const TargetId& it) {
                                    return r->excluded.count(it) != 0;
                                  }),
                   candidates.end());
  if (candidates.empty()) {
    OnNoCandidate(now, r, actions);
    return;
  }
  r->phase = Phase::kProbing;
  r->probing_since = now;
  r->probes.clear();
  ++r->probe_rounds;
  ForgetProbe(r);
  r->probe_id = next_probe_++;
  probes_[r->probe_id] = r->spec.id;
  ProbeRequest probe;
  probe.probe = r->probe_id;
  probe.kind = r->spec.kind;
  probe.model = r->spec.model;
  probe.adapter = r->spec.adapter;
  probe.prompt = r->group_size > 1 ? r->group_share : r->spec.prompt;
  probe.max_output = r->group_size > 1 ? Tokens(0) : r->spec.max_output;
  probe.prefix = r->spec.prefix;
  probe.time_left = r->TimeLeft(now);
  for (const TargetId& target : ChooseProbed(*r, std::move(candidates))) {
    const std::vector<InstanceId> ranking = parts_.fleet->Ranking(target);
    if (ranking.empty()) {
      continue;
    }
    r->probes.push_back({target, ranking.front(), std::nullopt});
    probe.target = target;
    actions->push_back(SendPeer{ranking.front(), probe});
  }
  if (r->probes.empty()) {
    OnNoCandidate(now, r, actions);
    return;
  }
  table_.WakeAt(r, now + config_.probe_patience);
  if (!r->screened && r->screen_homes.empty()) {
    BeginScreen(now, r, actions);
  }
}

void RequestFlow::SizeGroup(const std::vector<TargetId>& candidates,
                            ActiveRequest* r) const {
  Tokens memory;
  for (const TargetId& it : candidates) {
    memory = std::max(memory, parts_.placement->MemoryOf(it));
  }
  r->group_size = 1;
  if (memory <= Tokens(0) || r->Need() <= memory) {
    return;
  }
  const double room = static_cast<double>(memory.value()) * kGroupFill;
  const double need = static_cast<double>(r->Need().value());
  const double n = std::ceil(need / room);
  r->group_size = static_cast<std::size_t>(n);
  const double share =
      std::ceil(static_cast<double>(r->spec.prompt.value()) / n);
  r->group_share = Tokens(static_cast<int64_t>(share));
}

void RequestFlow::ForgetProbe(ActiveRequest* r) {
  probes_.erase(r->probe_id);
  r->probe_id = 0;
}

std::vector<TargetId> RequestFlow::ChooseProbed(
    const ActiveRequest& r,
    std::vector<TargetId> candidates) {
  if (candidates.size() <= config_.probe_all || r.group_size > 1) {
    return candidates;
  }
  // Half by affinity, so that a prompt meets its cached prefix again; half at
  // random, so that a popular prefix doesn't pile up on one target.
  const uint64_t key = AffinityKey(r.spec);
  std::sort(candidates.begin(), candidates.end(),
            [key](const TargetId& a, const TargetId& b) {
              return StableHash(a.text(), key) > StableHash(b.text(), key);
            });
  const std::size_t n = config_.probe_sample;
  for (std::size_t i = n / 2; i < n; ++i) {
    const std::size_t other = i + parts_.random->Below(candidates.size() - i);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.resize(n);
  return candidates;
}

void RequestFlow::OnProbeReply(absl::Time now,
                               const ProbeReply& reply,
                               Actions* actions) {
  const auto found = probes_.find(reply.probe);
  if (found == probes_.end()) {
    return;
  }
  ActiveRequest* r = table_.Find(found->second);
  if (r == nullptr || r->phase != Phase::kProbing) {
    return;
  }
  for (ProbeState& it : r->probes) {
    if (it.target == reply.target) {
      it.reply = reply;
    }
  }
  DecideProbes(now, r, actions);
}

void RequestFlow::DecideProbes(absl::Time now,
                               ActiveRequest* r,
                               Actions* actions) {
  const absl::Duration waited = now - r->probing_since;
  const bool over = waited >= config_.probe_wait;
  const bool enough = waited >= config_.probe_patience &&
                      CountServing(r->probes) >= r->group_size;
  if (!AllReplied(r->probes) && !enough && !over) {
    table_.WakeAt(r, r->probing_since + (waited < config_.probe_patience
                                             ? config_.probe_patience
                                             : config_.probe_wait));
    return;
  }
  if (!r->screened) {
    if (over) {
      r->probing_since = now;
      OnScreenSilent(now, r, actions);
    }
    if (r->phase != Phase::kProbing) {
      return;
    }
    if (!r->screened) {
      table_.WakeAt(r, r->probing_since + config_.probe_wait);
      return;
    }
  }
  const std::size_t serving = CountServing(r->probes);
  for (const ProbeState& it : r->probes) {
    if (!it.reply.has_value()) {
      continue;
    }
    if (!it.reply->can_serve) {
      ExcludeAfter(it.reply->reason, it.target, r);
    }
  }
  if (serving < r->group_size) {
    OnTooFewServing(now, r, serving, actions);
    return;
  }
  if (r->group_size > 1) {
    BeginGroup(now, r, actions);
    return;
  }
  const ProbeState* best = BestProbe(now, *r);
  if (best != nullptr) {
    BeginAdmission(now, r, *best, actions);
    return;
  }
  if (r->sends > 0) {
    Hold(now, r, config_.retry_pause);
    return;
  }
  Refuse(now, r, Reason::kDeadlineInfeasible, kOverloadRetry,
         "no target can finish it in its time", actions);
}

void RequestFlow::OnTooFewServing(absl::Time now,
                                  ActiveRequest* r,
                                  std::size_t serving,
                                  Actions* actions) {
  if (r->group_size > 1) {
    // Its targets come free one by one; it tries again for half of its time,
    // so that a refusal still leaves the caller some.
    const bool time_is_short = now - r->arrived > (r->deadline - now);
    if (time_is_short && r->sends == 0) {
      Refuse(now, r, Reason::kOverloaded, kOverloadRetry,
             "too few targets are free at once", actions);
      return;
    }
    r->excluded.clear();
    Hold(now, r, kGroupPause);
    return;
  }
  const bool silent = serving == 0 && !AllReplied(r->probes);
  // A stopping owner's targets pass to another within the lists' lag. What was
  // admitted before a planned stop is tried for as long as its time lasts.
  const bool moving = r->last_refusal == Reason::kStopping;
  if (moving || (silent && r->probe_rounds < kMaxRounds)) {
    Hold(now, r, kSilentPause);
    return;
  }
  for (const ProbeState& it : r->probes) {
    if (!it.reply.has_value() || !it.reply->can_serve) {
      r->excluded.insert(it.target);
    }
  }
  BeginProbing(now, r, actions);
}

void RequestFlow::ExcludeAfter(Reason refusal,
                               const TargetId& target,
                               ActiveRequest* r) const {
  r->last_refusal = refusal;
  // A stopping owner's target goes on under the next one.
  if (refusal != Reason::kStopping) {
    r->excluded.insert(target);
  }
}

// The least is best. Targets that meet the aim for the first token are ranked
// by their finish; the others come after them, by their first token.
absl::Duration RequestFlow::CostOf(const ProbeReply& reply, bool is_long) {
  if (is_long || reply.first_token <= kFirstTokenAim) {
    return reply.finish;
  }
  return kLongestTime + reply.first_token;
}

const ProbeState* RequestFlow::BestProbe(absl::Time now,
                                         const ActiveRequest& r) const {
  const absl::Duration left = r.TimeLeft(now);
  std::vector<const ProbeState*> able;
  for (const ProbeState& it : r.probes) {
    const bool serves = it.reply.has_value() && it.reply->can_serve;
    if (serves && it.reply->finish <= left) {
      able.push_back(&it);
    }
  }
  const bool is_long = ClassOf(r.spec.prompt) == LengthClass::kLong;
  if (is_long) {
    const ProbeState* gathered = GatheringTarget(r, left, able);
    if (gathered != nullptr) {
      return gathered;
    }
  }
  return NearBest(able, is_long);
}

const ProbeState* RequestFlow::GatheringTarget(
    const ActiveRequest& r,
    absl::Duration left,
    const std::vector<const ProbeState*>& able) {
  const uint64_t model = StableHash(r.spec.model.text());
  const ProbeState* gathered = nullptr;
  uint64_t gathered_rank = 0;
  for (const ProbeState* it : able) {
    const uint64_t rank = StableHash(it->target.text(), model);
    if (it->reply->finish <= left / kGatherPart && rank >= gathered_rank) {
      gathered_rank = rank;
      gathered = it;
    }
  }
  return gathered;
}

const ProbeState* RequestFlow::NearBest(
    const std::vector<const ProbeState*>& able,
    bool is_long) const {
  const auto costs_less = [is_long](const ProbeState* a, const ProbeState* b) {
    return CostOf(*a->reply, is_long) < CostOf(*b->reply, is_long);
  };
  const auto best = std::min_element(able.begin(), able.end(), costs_less);
  if (best == able.end()) {
    return nullptr;
  }
  // A part of a long prompt's time would be seconds.
  const absl::Duration margin =
      kNearMargin +
      (is_long ? absl::ZeroDuration() : (*best)->reply->finish / kNearPart);
  const absl::Duration most = CostOf(*(*best)->reply, is_long) + margin;
  std::vector<const ProbeState*> near;
  for (const ProbeState* it : able) {
    if (CostOf(*it->reply, is_long) <= most) {
      near.push_back(it);
    }
  }
  return near[parts_.random->Below(near.size())];
}

void RequestFlow::OnNoCandidate(absl::Time now,
                                ActiveRequest* r,
                                Actions* actions) {
  const bool moving = r->last_refusal == Reason::kStopping;
  if (r->sends > 0 || moving) {
    // It has begun, or its target's owner is leaving: it is not given up while
    // its time lasts.
    r->excluded.clear();
    Hold(now, r, config_.retry_pause);
    return;
  }
  const bool refused = !r->excluded.empty();
  const Reason reason = refused ? r->last_refusal : Reason::kNoTarget;
  const absl::Duration pause = refused ? kOverloadRetry : kNoTargetRetry;
  Refuse(now, r, reason, r->soonest_retry.value_or(pause),
         refused ? "every target refused it" : "no target serves it at present",
         actions);
}

void RequestFlow::Hold(absl::Time now, ActiveRequest* r, absl::Duration pause) {
  r->phase = Phase::kHeld;
  // Jitter keeps requests that were refused together from returning together.
  const double factor = 0.5 + parts_.random->Fraction();
  table_.WakeAt(r, now + pause * factor);
}

}  // namespace umbertrail::core
