// Ends, timers and heartbeats of requests.

#include <algorithm>
#include <map>

#include "umbertrail/core/invariant.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

// A cancel is told again for about as long as a short partition lasts.
constexpr absl::Duration kFirstCancelRepeat = absl::Seconds(5);
constexpr int kCancelRepeats = 4;
constexpr std::size_t kMaxCancelRepeats = 1000;

}  // namespace

void RequestFlow::Refuse(absl::Time now,
                         ActiveRequest* r,
                         Reason reason,
                         absl::Duration retry_after,
                         std::string detail,
                         Actions* actions) {
  Outcome outcome;
  outcome.reason = reason;
  outcome.ran = r->ran();
  outcome.retry_after = retry_after;
  outcome.detail = std::move(detail);
  Finish(now, r, std::move(outcome), actions);
}

void RequestFlow::Finish(absl::Time now,
                         ActiveRequest* r,
                         Outcome outcome,
                         Actions* actions) {
  const bool own =
      r->phase != Phase::kForwarded && r->phase != Phase::kFollowing;
  // "Not run" is said only while nothing can have run.
  UMBERTRAIL_INVARIANT(outcome.ran != Ran::kNo || !own ||
                       r->ran() == Ran::kNo || r->passed_on ||
                       r->maybe_run_before);
  // A success is a whole answer.
  UMBERTRAIL_INVARIANT(outcome.reason != Reason::kOk ||
                       outcome.total == r->answer.delivered() || !own ||
                       r->once);
  if (r->phase == Phase::kRunning) {
    if (!r->screen_homes.empty()) {
      BeginPostMortem(now, r, r->places.back(), actions);
    }
    GiveUpAttempt(r, actions);
    SettlePlaces(now, r, AttemptResult::kCancelled, actions);
  } else {
    SettlePlaces(now, r, AttemptResult::kNotStarted, actions);
  }
  ReleaseScreen(r, ScreenEnd::kReleased, actions);
  ForgetProbe(r);
  SettleOnce(now, r, outcome, actions);
  if (r->holds_account_share) {
    limits_.Release(r->spec.account, r->Need());
  }
  if (r->forwarded_from.empty()) {
    actions->push_back(FinishRequest{r->spec.id, std::move(outcome)});
  } else {
    actions->push_back(SendPeer{
        r->forwarded_from, SubmitResult{r->forwarded_id, std::move(outcome)}});
  }
  for (const CancelAttempt& it : r->given_up) {
    if (cancel_repeats_.size() < kMaxCancelRepeats) {
      cancel_repeats_.push_back({it, now + kFirstCancelRepeat, kCancelRepeats});
    }
  }
  table_.Remove(r->spec.id);
}

void RequestFlow::OnCallerGone(absl::Time now,
                               const CallerGone& event,
                               Actions* actions) {
  ActiveRequest* r = table_.Find(event.request);
  // A call that may not be repeated runs on: its caller will ask for the
  // outcome.
  if (r == nullptr || r->once) {
    return;
  }
  Refuse(now, r, Reason::kCallerGone, {}, "the caller closed its connection",
         actions);
}

void RequestFlow::OnPeerUnreachable(absl::Time now,
                                    const InstanceId& peer,
                                    Actions* actions) {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : table_.all()) {
    ids.push_back(id);
  }
  for (const RequestId& id : ids) {
    ActiveRequest* r = table_.Find(id);
    if (r == nullptr) {
      continue;
    }
    const bool asked = r->asking.owner == peer;
    switch (r->phase) {
      case Phase::kProbing:
        if (!r->screened) {
          OnScreenUnreachable(now, r, peer, actions);
        }
        if (r->phase != Phase::kProbing) {
          break;
        }
        for (ProbeState& it : r->probes) {
          if (it.owner == peer && !it.reply.has_value()) {
            it.reply = ProbeReply{};
            it.reply->reason = Reason::kNoTarget;
          }
        }
        DecideProbes(now, r, actions);
        break;
      case Phase::kAdmitting:
      case Phase::kQueued:
        if (asked) {
          TryElsewhere(now, r, actions);
        }
        break;
      case Phase::kForwarded:
        if (asked) {
          table_.WakeAt(r, now + config_.probe_wait);
        }
        break;
      case Phase::kKeyGrants:
        if (std::find(r->key_homes.begin(), r->key_homes.end(), peer) !=
            r->key_homes.end()) {
          Refuse(now, r, Reason::kNotFresh, config_.key_retry,
                 "a home of this key can't be reached", actions);
        }
        break;
      case Phase::kHeld:
      case Phase::kChecking:
      case Phase::kRunning:
      case Phase::kFollowing:
        break;
    }
  }
}

void RequestFlow::OnStop(absl::Time now, Actions* actions) {
  stopping_ = true;
  if (!parts_.mutations->cut_on_stop) {
    return;
  }
  while (!table_.empty()) {
    ActiveRequest* r = table_.all().begin()->second.get();
    Refuse(now, r, Reason::kStopping, {}, "stopped", actions);
  }
}

void RequestFlow::OnTick(absl::Time now, Actions* actions) {
  for (const RequestId& id : table_.Due(now)) {
    ActiveRequest* r = table_.Find(id);
    if (r == nullptr) {
      continue;
    }
    if (now >= r->deadline && !parts_.mutations->ignore_deadline) {
      Refuse(now, r, Reason::kDeadlineExceeded, {}, "its time passed", actions);
      continue;
    }
    if (now >= r->deadline) {
      r->deadline = absl::InfiniteFuture();
    }
    if (now >= r->wake) {
      table_.WakeAt(r, absl::InfiniteFuture());
      WakeOne(now, r, actions);
    }
  }
  RepeatPostMortems(now, actions);
  RepeatDeathNotices(now, actions);
  RepeatCancels(now, actions);
  if (now >= next_heartbeat_) {
    SendHeartbeats(now, actions);
  }
}

void RequestFlow::WakeOne(absl::Time now, ActiveRequest* r, Actions* actions) {
  switch (r->phase) {
    case Phase::kHeld:
      BeginProbing(now, r, actions);
      return;
    case Phase::kKeyGrants:
      Refuse(now, r, Reason::kNotFresh, config_.key_retry,
             "a home of this key did not answer", actions);
      return;
    case Phase::kProbing:
      DecideProbes(now, r, actions);
      return;
    case Phase::kAdmitting:
      r->excluded.insert(r->asking.target);
      TryElsewhere(now, r, actions);
      return;
    case Phase::kQueued:
      Ask(now, r, false, actions);
      return;
    case Phase::kChecking:
      // The grant is too old to be used.
      TryElsewhere(now, r, actions);
      return;
    case Phase::kForwarded:
      // Passing it again is safe: the issuer runs it once.
      if (r->asked_successor || r->forward_tries >= config_.max_forwards) {
        AskSuccessor(now, r, actions);
      } else {
        ForwardToIssuer(now, r, actions);
      }
      return;
    case Phase::kRunning:
    case Phase::kFollowing:
      return;
  }
}

void RequestFlow::SendHeartbeats(absl::Time now, Actions* actions) {
  std::map<InstanceId, AttemptsAlive> by_owner;
  for (const auto& [id, r] : table_.all()) {
    for (const Place& it : r->places) {
      const AttemptsAlive::Entry entry{id, r->attempt, it.target, it.held,
                                       r->answer.delivered()};
      by_owner[it.owner].attempts.push_back(entry);
      const std::vector<InstanceId> ranking = parts_.fleet->Ranking(it.target);
      if (!ranking.empty() && ranking.front() != it.owner) {
        by_owner[ranking.front()].attempts.push_back(entry);
      }
    }
  }
  next_heartbeat_ =
      by_owner.empty() ? absl::InfiniteFuture() : now + config_.heartbeat;
  for (auto& [owner, alive] : by_owner) {
    actions->push_back(SendPeer{owner, std::move(alive)});
  }
}

absl::Time RequestFlow::NextWakeup() const {
  absl::Time next = std::min(table_.NextWakeup(), next_heartbeat_);
  for (const PostMortem& it : post_mortems_) {
    next = std::min(next, it.until);
  }
  for (const CancelRepeat& it : cancel_repeats_) {
    next = std::min(next, it.next);
  }
  for (const DeathNotice& it : death_notices_) {
    next = std::min(next, it.next);
  }
  return next;
}

std::vector<RequestStatus> RequestFlow::Status(absl::Time now) const {
  std::vector<RequestStatus> status;
  for (const auto& [id, r] : table_.all()) {
    const TargetId target =
        r->places.empty() ? r->asking.target : r->places.back().target;
    status.push_back({id, r->spec.account, target, r->attempt,
                      PhaseName(r->phase), r->answer.delivered(),
                      r->TimeLeft(now)});
  }
  return status;
}

}  // namespace umbertrail::core
