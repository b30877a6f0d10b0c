// Attempts: relays an answer in order and decides what a failure means.

#include <algorithm>

#include "umbertrail/core/invariant.h"
#include "umbertrail/core/request/rendezvous.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kRetryLater = absl::Seconds(2);
// A death is told again a few times, longer than most partitions last.
constexpr absl::Duration kNoticeInterval = absl::Seconds(3);
constexpr int kNoticeRepeats = 10;
constexpr std::size_t kMaxNotices = 1000;
constexpr absl::Duration kCancelInterval = absl::Seconds(10);
constexpr absl::Duration kSuspendPause = absl::Milliseconds(100);

}  // namespace

ActiveRequest* RequestFlow::FindAttempt(const RequestId& id,
                                        AttemptNumber attempt) {
  ActiveRequest* r = table_.Find(id);
  const bool current =
      r != nullptr && r->phase == Phase::kRunning && r->attempt == attempt;
  return current ? r : nullptr;
}

void RequestFlow::OnAttemptStarted(absl::Time now,
                                   const AttemptStarted& event) {
  static_cast<void>(now);
  ActiveRequest* r = FindAttempt(event.request, event.attempt);
  if (r != nullptr) {
    r->seen_running = true;
  }
}

void RequestFlow::OnAttemptChunk(absl::Time now,
                                 AttemptChunk event,
                                 Actions* actions) {
  ActiveRequest* r = FindAttempt(event.request, event.attempt);
  if (r == nullptr && parts_.mutations->relay_foreign_chunks) {
    r = table_.Find(event.request);
    if (r != nullptr) {
      actions->push_back(RelayChunk{event.request, event.offset, event.tokens,
                                    std::move(event.text)});
    }
    return;
  }
  if (r == nullptr) {
    return;
  }
  r->seen_running = true;
  if (r->first_token == absl::ZeroDuration()) {
    r->first_token = now - r->started_at;
    TellFirstToken(*r, event.tokens, actions);
  }
  const Tokens before = r->answer.delivered();
  std::vector<AnswerPart> released;
  const AnswerAssembler::Verdict verdict = r->answer.Add(
      {event.offset, event.tokens, std::move(event.text)}, &released);
  Tokens next = before;
  for (AnswerPart& it : released) {
    UMBERTRAIL_INVARIANT(it.offset == next);
    next += it.tokens;
    actions->push_back(
        RelayChunk{event.request, it.offset, it.tokens, std::move(it.text)});
  }
  if (verdict == AnswerAssembler::Verdict::kInconsistent) {
    GiveUpAttempt(r, actions);
    OnBroken(now, r, true, actions);
  }
}

void RequestFlow::TellFirstToken(const ActiveRequest& r,
                                 Tokens generated,
                                 Actions* actions) {
  for (const Place& it : r.places) {
    AttemptsAlive alive;
    alive.attempts.push_back(
        {r.spec.id, r.attempt, it.target, it.held, generated});
    actions->push_back(SendPeer{it.owner, std::move(alive)});
  }
}

void RequestFlow::OnAttemptDone(absl::Time now,
                                const AttemptDone& event,
                                Actions* actions) {
  ActiveRequest* r = FindAttempt(event.request, event.attempt);
  if (r == nullptr) {
    return;
  }
  r->seen_running = true;
  const bool completion = r->spec.kind == RequestKind::kCompletion;
  if (completion && !r->answer.IsWhole(event.total)) {
    OnBroken(now, r, true, actions);
    return;
  }
  if (!completion) {
    r->first_token = now - r->started_at;
  }
  SettlePlaces(now, r, AttemptResult::kDone, actions);
  ReleaseScreen(r, ScreenEnd::kCompleted, actions);
  r->phase = Phase::kHeld;
  Outcome outcome;
  outcome.reason = Reason::kOk;
  outcome.ran = Ran::kYes;
  outcome.total = r->answer.delivered();
  outcome.body = event.body;
  Finish(now, r, std::move(outcome), actions);
}

void RequestFlow::OnAttemptFailed(absl::Time now,
                                  const AttemptFailed& event,
                                  Actions* actions) {
  ActiveRequest* r = FindAttempt(event.request, event.attempt);
  if (r == nullptr) {
    return;
  }
  switch (event.failure) {
    case AttemptFailure::kNotSent:
    case AttemptFailure::kSaidNotRun:
    case AttemptFailure::kRefusedRestart:
      OnNotRun(now, r, actions);
      return;
    case AttemptFailure::kAnswered:
      r->seen_running = true;
      OnBroken(now, r, true, actions);
      return;
    case AttemptFailure::kSilent:
      GiveUpAttempt(r, actions);
      OnBroken(now, r, false, actions);
      return;
    case AttemptFailure::kBroken:
      OnBroken(now, r, false, actions);
      return;
  }
}

void RequestFlow::OnNotRun(absl::Time now, ActiveRequest* r, Actions* actions) {
  ++r->sends_not_run;
  r->excluded.insert(r->places.back().target);
  TryElsewhere(now, r, actions);
}

void RequestFlow::OnBroken(absl::Time now,
                           ActiveRequest* r,
                           bool answered,
                           Actions* actions) {
  if (parts_.mutations->say_not_run_after_send && !r->seen_running) {
    ++r->sends_not_run;
  }
  ++r->failed_sends;
  const Place lead = r->places.back();
  if (!answered) {
    // Whatever became of it, nobody will take its answer.
    r->given_up.push_back({r->spec.id, r->attempt, lead.target});
  }
  SettlePlaces(now, r,
               answered ? AttemptResult::kFailed : AttemptResult::kBroken,
               actions);
  r->phase = Phase::kHeld;
  r->excluded.insert(lead.target);
  r->answer.DropWaiting();
  if (!answered) {
    BeginPostMortem(now, r, lead, actions);
  }
  if (r->once && !parts_.mutations->retry_after_bytes_sent) {
    Outcome outcome;
    outcome.reason = Reason::kTargetFailed;
    outcome.ran = r->ran();
    outcome.detail = "the target failed after the call was sent";
    Finish(now, r, std::move(outcome), actions);
    return;
  }
  if (r->failed_sends >= config_.max_sends || !retries_.Spend()) {
    Outcome outcome;
    outcome.reason = Reason::kRetriesExhausted;
    outcome.ran = r->ran();
    outcome.retry_after = kRetryLater;
    outcome.detail = "targets failed while running it";
    Finish(now, r, std::move(outcome), actions);
    return;
  }
  if (answered) {
    Retry(now, r, actions);
    return;
  }
  r->awaits_post_mortem = true;
  table_.WakeAt(r, absl::InfiniteFuture());
}

void RequestFlow::BeginPostMortem(absl::Time now,
                                  ActiveRequest* r,
                                  const Place& lead,
                                  Actions* actions) {
  // Without content to screen nobody needs to know later.
  const bool matters = r->spec.fingerprint != Fingerprint(0);
  const absl::Duration limit =
      matters ? config_.post_mortem_limit : config_.post_mortem;
  post_mortems_.push_back({r->spec.id, r->attempt, r->spec.fingerprint,
                           lead.target, lead.boot, r->screen_homes,
                           r->screen_attempt, now + config_.post_mortem,
                           now + limit});
  ForgetScreen(r);
  actions->push_back(PollTarget{lead.target});
}

void RequestFlow::Retry(absl::Time now, ActiveRequest* r, Actions* actions) {
  r->awaits_post_mortem = false;
  BeginProbing(now, r, actions);
}

void RequestFlow::OnTargetReport(absl::Time now,
                                 const TargetId& target,
                                 const TargetReport& report,
                                 Actions* actions) {
  for (const RequestId& id : RequestsChecking(target)) {
    OnChecked(now, table_.Find(id), target, report.boot, actions);
  }
  std::vector<PostMortem> resolved;
  const auto concerns = [&](const PostMortem& it) {
    return it.target == target;
  };
  std::copy_if(post_mortems_.begin(), post_mortems_.end(),
               std::back_inserter(resolved), concerns);
  post_mortems_.erase(
      std::remove_if(post_mortems_.begin(), post_mortems_.end(), concerns),
      post_mortems_.end());
  for (const PostMortem& it : resolved) {
    ResolvePostMortem(now, it, it.boot != report.boot, actions);
  }
}

void RequestFlow::OnTargetUnreachable(absl::Time now,
                                      const TargetUnreachable& event,
                                      Actions* actions) {
  for (const RequestId& id : RequestsChecking(event.target)) {
    ActiveRequest* r = table_.Find(id);
    r->excluded.insert(event.target);
    TryElsewhere(now, r, actions);
  }
  if (!event.refused) {
    // A link may be down; only a refused connection or a new boot shows a
    // death.
    return;
  }
  TargetReport dead;
  dead.boot = BootId("refused");
  OnTargetReport(now, event.target, dead, actions);
}

void RequestFlow::ResolvePostMortem(absl::Time now,
                                    const PostMortem& post_mortem,
                                    bool died,
                                    Actions* actions) {
  if (post_mortem.fingerprint != Fingerprint(0)) {
    if (died) {
      TellDeath(now, post_mortem, actions);
    } else {
      for (const InstanceId& home : post_mortem.screen_homes) {
        actions->push_back(
            SendPeer{home, ScreenEnded{post_mortem.request,
                                       post_mortem.screen_attempt,
                                       post_mortem.fingerprint,
                                       ScreenEnd::kReleased,
                                       {}}});
      }
    }
  }
  GoOnAfter(now, post_mortem, died, actions);
}

void RequestFlow::GoOnAfter(absl::Time now,
                            const PostMortem& post_mortem,
                            bool died,
                            Actions* actions) {
  ActiveRequest* r = table_.Find(post_mortem.request);
  if (r != nullptr && r->awaits_post_mortem &&
      r->attempt == post_mortem.attempt) {
    r->deaths_seen += died ? 1 : 0;
    Retry(now, r, actions);
  }
}

void RequestFlow::RepeatPostMortems(absl::Time now, Actions* actions) {
  std::set<TargetId> asked;
  std::vector<PostMortem> overdue;
  for (PostMortem& it : post_mortems_) {
    if (it.until > now) {
      continue;
    }
    overdue.push_back(it);
    it.until = now + config_.post_mortem;
    if (asked.insert(it.target).second) {
      actions->push_back(PollTarget{it.target});
    }
  }
  post_mortems_.erase(
      std::remove_if(post_mortems_.begin(), post_mortems_.end(),
                     [now](const PostMortem& it) { return it.give_up <= now; }),
      post_mortems_.end());
  for (const PostMortem& it : overdue) {
    GoOnAfter(now, it, false, actions);
  }
}

void RequestFlow::TellDeath(absl::Time now,
                            const PostMortem& post_mortem,
                            Actions* actions) {
  const ScreenEnded ended{post_mortem.request,
                          post_mortem.screen_attempt,
                          post_mortem.fingerprint,
                          ScreenEnd::kDied,
                          {}};
  for (const InstanceId& home : post_mortem.screen_homes) {
    actions->push_back(SendPeer{home, ended});
  }
  if (death_notices_.size() < kMaxNotices) {
    death_notices_.push_back({ended, now, kNoticeRepeats});
    RepeatDeathNotices(now, actions);
  }
}

void RequestFlow::GiveUpAttempt(ActiveRequest* r, Actions* actions) {
  const CancelAttempt cancel{r->spec.id, r->attempt, r->places.back().target};
  r->given_up.push_back(cancel);
  actions->push_back(cancel);
}

void RequestFlow::RepeatCancels(absl::Time now, Actions* actions) {
  for (CancelRepeat& it : cancel_repeats_) {
    if (it.next <= now) {
      actions->push_back(it.cancel);
      it.next = now + kCancelInterval;
      --it.left;
    }
  }
  cancel_repeats_.erase(
      std::remove_if(cancel_repeats_.begin(), cancel_repeats_.end(),
                     [](const CancelRepeat& it) { return it.left <= 0; }),
      cancel_repeats_.end());
}

void RequestFlow::RepeatDeathNotices(absl::Time now, Actions* actions) {
  for (DeathNotice& it : death_notices_) {
    if (it.next > now) {
      continue;
    }
    // The homes by now: also those that did not know of the run.
    for (const InstanceId& home :
         RankInstances(it.ended.fingerprint.value(), parts_.fleet->instances(),
                       ScreenHome::kDeathHomes)) {
      actions->push_back(SendPeer{home, it.ended});
    }
    actions->push_back(SendPeer{self_.id, it.ended});
    it.next = now + kNoticeInterval;
    --it.left;
  }
  death_notices_.erase(
      std::remove_if(death_notices_.begin(), death_notices_.end(),
                     [](const DeathNotice& it) { return it.left <= 0; }),
      death_notices_.end());
}

void RequestFlow::OnSuspend(absl::Time now,
                            const SuspendAttempt& suspend,
                            Actions* actions) {
  ActiveRequest* r = FindAttempt(suspend.request, suspend.attempt);
  if (r == nullptr || r->once || r->spec.kind != RequestKind::kCompletion) {
    return;
  }
  GiveUpAttempt(r, actions);
  SettlePlaces(now, r, AttemptResult::kSuspended, actions);
  r->answer.DropWaiting();
  Hold(now, r, kSuspendPause);
}

}  // namespace umbertrail::core
