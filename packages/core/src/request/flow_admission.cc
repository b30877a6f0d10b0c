// Admission: asks a target's owner for a grant and uses it at once. A prompt
// that spans several targets takes them one by one in id order, all or none.

#include <algorithm>
#include <cmath>

#include "umbertrail/core/invariant.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kBusyRetry = absl::Seconds(1);
// Engines serve higher numbers first.
constexpr int kPriorityShort = 2;
constexpr int kPriorityMedium = 1;
constexpr int kPriorityLong = 0;
// A first token this many times later than predicted means a dead stream.
constexpr double kProgressSlack = 4.0;

int PriorityOf(const RequestSpec& spec) {
  switch (ClassOf(spec.prompt)) {
    case LengthClass::kShort:
      return kPriorityShort;
    case LengthClass::kMedium:
      return kPriorityMedium;
    case LengthClass::kLong:
      return kPriorityLong;
  }
  return kPriorityShort;
}

// Tells an owner that a place it gave or keeps is not used.
SendPeer GiveBack(const InstanceId& owner,
                  const RequestId& request,
                  AttemptNumber attempt,
                  const TargetId& target) {
  AttemptSettled settled;
  settled.request = request;
  settled.attempt = attempt;
  settled.target = target;
  settled.result = AttemptResult::kNotStarted;
  return SendPeer{owner, settled};
}

}  // namespace

void RequestFlow::BeginAdmission(absl::Time now,
                                 ActiveRequest* r,
                                 const ProbeState& probe,
                                 Actions* actions) {
  r->attempt = AttemptNumber(r->attempt.value() + 1);
  r->group_left = {probe.target};
  Ask(now, r, false, actions);
}

void RequestFlow::BeginGroup(absl::Time now,
                             ActiveRequest* r,
                             Actions* actions) {
  std::vector<const ProbeState*> serving;
  for (const ProbeState& it : r->probes) {
    if (it.reply.has_value() && it.reply->can_serve) {
      serving.push_back(&it);
    }
  }
  std::stable_sort(serving.begin(), serving.end(),
                   [](const ProbeState* a, const ProbeState* b) {
                     return a->reply->first_token < b->reply->first_token;
                   });
  serving.resize(std::min(serving.size(), r->group_size));
  r->attempt = AttemptNumber(r->attempt.value() + 1);
  r->group_left.clear();
  for (const ProbeState* it : serving) {
    r->group_left.push_back(it->target);
  }
  // One order for all groups: two of them never wait for each other.
  std::sort(r->group_left.begin(), r->group_left.end());
  Ask(now, r, false, actions);
}

void RequestFlow::Ask(absl::Time now,
                      ActiveRequest* r,
                      bool claim,
                      Actions* actions) {
  const TargetId target = r->group_left.front();
  const std::vector<InstanceId> ranking = parts_.fleet->Ranking(target);
  const bool same_place =
      r->asking.target == target && (r->phase == Phase::kQueued);
  if (!same_place) {
    if (ranking.empty()) {
      TryElsewhere(now, r, actions);
      return;
    }
    r->asking = Place{};
    r->asking.target = target;
    r->asking.owner = ranking.front();
  }
  const bool last = r->group_left.size() == 1;
  AdmitRequest ask;
  ask.request = r->spec.id;
  ask.attempt = r->attempt;
  ask.target = target;
  ask.purpose = last ? AdmitPurpose::kRun : AdmitPurpose::kGroupMember;
  ask.kind = r->spec.kind;
  ask.account = r->spec.account;
  const manifest::ClientAccount* account = FindAccount(r->spec.account);
  ask.weight = account == nullptr ? 1.0 : account->weight;
  ask.model = r->spec.model;
  ask.adapter = r->spec.adapter;
  ask.prompt = r->group_size > 1 ? r->group_share : r->spec.prompt;
  ask.max_output = last ? r->spec.max_output : Tokens(0);
  ask.resume_offset = r->answer.delivered();
  ask.prefix = r->spec.prefix;
  ask.time_left = r->TimeLeft(now);
  ask.time_total = r->deadline - r->arrived;
  ask.claim = claim;
  ask.once_token = r->once_token;
  ask.sequence = ++r->sequence;
  ask.suspect = r->suspect;
  r->asking.held = ask.prompt + ask.max_output;
  r->asked_at = now;
  r->phase = Phase::kAdmitting;
  table_.WakeAt(r, now + config_.ask_wait);
  actions->push_back(SendPeer{r->asking.owner, std::move(ask)});
}

void RequestFlow::OnAdmitReply(absl::Time now,
                               const InstanceRef& from,
                               const AdmitReply& reply,
                               Actions* actions) {
  ActiveRequest* r = table_.Find(reply.request);
  const bool waiting = r != nullptr && (r->phase == Phase::kAdmitting ||
                                        r->phase == Phase::kQueued);
  const bool current = waiting && r->attempt == reply.attempt &&
                       r->asking.target == reply.target;
  if (!current) {
    const bool holds =
        r != nullptr && r->attempt == reply.attempt &&
        std::any_of(r->places.begin(), r->places.end(),
                    [&](const Place& it) { return it.target == reply.target; });
    if (reply.decision != AdmitDecision::kRefused && !holds) {
      actions->push_back(
          GiveBack(from.id, reply.request, reply.attempt, reply.target));
    }
    return;
  }
  const bool unsolicited = reply.sequence == 0;
  if (!unsolicited && reply.sequence != r->sequence) {
    // Answers an earlier ask; the later one is answered too.
    return;
  }
  r->predicted_first_token = reply.first_token;
  if (reply.decision == AdmitDecision::kRefused) {
    ExcludeAfter(reply.reason, reply.target, r);
    if (reply.retry_after > absl::ZeroDuration()) {
      r->soonest_retry =
          std::min(reply.retry_after,
                   r->soonest_retry.value_or(absl::InfiniteDuration()));
    }
    TryElsewhere(now, r, actions);
    return;
  }
  if (reply.decision == AdmitDecision::kQueued) {
    r->phase = Phase::kQueued;
    table_.WakeAt(r, now + config_.queue_keepalive);
    return;
  }
  OnGranted(now, r, reply, actions);
}

void RequestFlow::OnAdmitReady(absl::Time now,
                               const InstanceRef& from,
                               const AdmitReady& ready,
                               Actions* actions) {
  ActiveRequest* r = table_.Find(ready.request);
  const bool waits =
      r != nullptr && r->attempt == ready.attempt &&
      r->asking.target == ready.target &&
      (r->phase == Phase::kQueued || r->phase == Phase::kAdmitting);
  if (!waits) {
    actions->push_back(
        GiveBack(from.id, ready.request, ready.attempt, ready.target));
    return;
  }
  // The claim goes to whoever said so, not to whoever ranks first now.
  r->phase = Phase::kQueued;
  r->asking.owner = from.id;
  Ask(now, r, true, actions);
}

void RequestFlow::OnGranted(absl::Time now,
                            ActiveRequest* r,
                            const AdmitReply& reply,
                            Actions* actions) {
  const bool late = now - r->asked_at > config_.grant_window;
  r->asking.boot = reply.boot;
  r->asking.read_boot = reply.read_boot;
  r->places.push_back(r->asking);
  r->asking = Place{};
  r->group_left.erase(r->group_left.begin());
  if (late && !parts_.mutations->use_late_grants) {
    // The owner may have taken it back by now.
    TryElsewhere(now, r, actions);
    return;
  }
  if (!r->group_left.empty()) {
    Ask(now, r, false, actions);
    return;
  }
  if (NeedsCheck(*r)) {
    BeginCheck(now, r, actions);
    return;
  }
  Start(now, r, actions);
}

bool RequestFlow::NeedsCheck(const ActiveRequest& r) const {
  return std::any_of(r.places.begin(), r.places.end(), [&](const Place& it) {
    const Tokens bearable = parts_.placement->ColdBudgetOf(it.target);
    return it.read_boot || (bearable > Tokens(0) && it.held > bearable);
  });
}

void RequestFlow::BeginCheck(absl::Time now,
                             ActiveRequest* r,
                             Actions* actions) {
  r->phase = Phase::kChecking;
  r->checked.clear();
  table_.WakeAt(r, r->asked_at + config_.grant_window);
  next_heartbeat_ = std::min(next_heartbeat_, now + config_.heartbeat);
  for (const Place& it : r->places) {
    actions->push_back(PollTarget{it.target});
  }
}

std::vector<RequestId> RequestFlow::RequestsChecking(
    const TargetId& target) const {
  std::vector<RequestId> ids;
  for (const auto& [id, r] : table_.all()) {
    const bool waits =
        r->phase == Phase::kChecking &&
        std::any_of(r->places.begin(), r->places.end(),
                    [&](const Place& it) { return it.target == target; });
    if (waits) {
      ids.push_back(id);
    }
  }
  return ids;
}

void RequestFlow::OnChecked(absl::Time now,
                            ActiveRequest* r,
                            const TargetId& target,
                            const BootId& boot,
                            Actions* actions) {
  for (const Place& it : r->places) {
    if (it.target == target && it.boot != boot) {
      TryElsewhere(now, r, actions);
      return;
    }
  }
  r->checked.insert(target);
  if (r->checked.size() < r->places.size()) {
    return;
  }
  if (now - r->asked_at > config_.grant_window) {
    TryElsewhere(now, r, actions);
    return;
  }
  Start(now, r, actions);
}

void RequestFlow::Start(absl::Time now, ActiveRequest* r, Actions* actions) {
  bool barred = !parts_.fleet->MayDispatch(now);
  for (const Place& it : r->places) {
    if (parts_.fleet->Barred(it.target, now).has_value()) {
      barred = true;
      r->excluded.insert(it.target);
    }
  }
  if (barred) {
    TryElsewhere(now, r, actions);
    return;
  }
  // A call that may not be repeated is sent again only when no earlier send
  // can have run.
  UMBERTRAIL_INVARIANT(!r->once || r->ran() == Ran::kNo ||
                       parts_.mutations->retry_after_bytes_sent);
  ++r->sends;
  r->phase = Phase::kRunning;
  r->started_at = now;
  r->first_token = absl::ZeroDuration();
  table_.WakeAt(r, absl::InfiniteFuture());
  next_heartbeat_ = std::min(next_heartbeat_, now + config_.heartbeat);
  StartAttempt start;
  start.spec = r->spec;
  start.attempt = r->attempt;
  // The lead was granted last, so that its grant is the freshest.
  start.target = r->places.back().target;
  for (auto it = r->places.rbegin(); it != r->places.rend(); ++it) {
    start.group.push_back(it->target);
  }
  start.resume_offset = r->answer.delivered();
  start.time_left = r->TimeLeft(now);
  const absl::Duration expected = r->predicted_first_token * kProgressSlack;
  start.progress_limit =
      std::min(start.time_left, std::max(config_.min_progress, expected));
  start.priority = PriorityOf(r->spec);
  start.body = r->body;
  actions->push_back(std::move(start));
}

void RequestFlow::SettlePlaces(absl::Time now,
                               ActiveRequest* r,
                               AttemptResult result,
                               Actions* actions) {
  const bool asked =
      r->phase == Phase::kAdmitting || r->phase == Phase::kQueued;
  if (asked && !r->asking.target.empty()) {
    actions->push_back(
        GiveBack(r->asking.owner, r->spec.id, r->attempt, r->asking.target));
  }
  const bool ran = result != AttemptResult::kNotStarted;
  for (const Place& it : r->places) {
    AttemptSettled settled;
    settled.request = r->spec.id;
    settled.attempt = r->attempt;
    settled.target = it.target;
    settled.result = result;
    settled.first_token = r->first_token;
    settled.total = ran ? now - r->started_at : absl::ZeroDuration();
    settled.generated = r->answer.delivered();
    actions->push_back(SendPeer{it.owner, settled});
    const std::vector<InstanceId> ranking = parts_.fleet->Ranking(it.target);
    // An owner that came later charges it too, from its heartbeats.
    if (!ranking.empty() && ranking.front() != it.owner) {
      actions->push_back(SendPeer{ranking.front(), settled});
    }
  }
  r->places.clear();
  r->group_left.clear();
  r->asking = Place{};
}

void RequestFlow::TryElsewhere(absl::Time now,
                               ActiveRequest* r,
                               Actions* actions) {
  SettlePlaces(now, r, AttemptResult::kNotStarted, actions);
  r->phase = Phase::kHeld;
  ++r->admissions;
  if (r->admissions >= config_.max_admissions && r->sends == 0) {
    Refuse(now, r, r->last_refusal, r->soonest_retry.value_or(kBusyRetry),
           "no target took it", actions);
    return;
  }
  BeginProbing(now, r, actions);
}

}  // namespace umbertrail::core
