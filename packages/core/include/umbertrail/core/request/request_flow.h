#ifndef UMBERTRAIL_CORE_REQUEST_REQUEST_FLOW_H_
#define UMBERTRAIL_CORE_REQUEST_REQUEST_FLOW_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/once/redemption_archive.h"
#include "umbertrail/core/once/ticket_desk.h"
#include "umbertrail/core/request/account_limits.h"
#include "umbertrail/core/request/placement.h"
#include "umbertrail/core/request/request_table.h"
#include "umbertrail/core/request/retry_budget.h"
#include "umbertrail/core/request/screen_home.h"

namespace umbertrail::core {

// Times and bounds of the receiving side.
struct FlowConfig {
  // A grant is used only this soon after the ask that it answers.
  absl::Duration grant_window = absl::Milliseconds(250);
  // After this, a probe round that has an answer waits for no more.
  absl::Duration probe_patience = absl::Milliseconds(20);
  // After this, a probe round is over.
  absl::Duration probe_wait = absl::Milliseconds(150);
  // Up to this many candidates are all probed; of more, probe_sample are.
  std::size_t probe_all = 8;
  std::size_t probe_sample = 4;
  // How long a request waits for this instance to confirm what is in force.
  absl::Duration hold_unfresh = absl::Seconds(3);
  // Pause before a request that has begun is tried again.
  absl::Duration retry_pause = absl::Milliseconds(200);
  // An owner that does not answer an ask for this long is passed over.
  absl::Duration ask_wait = absl::Milliseconds(300);
  // A queued place is confirmed with its owner this often.
  absl::Duration queue_keepalive = absl::Seconds(1);
  // Sends of one request that may have run.
  int max_sends = 3;
  // Asks for admission of one request.
  int max_admissions = 12;
  // Heartbeat of granted places to their owners.
  absl::Duration heartbeat = absl::Seconds(5);
  // How long a request waits for a broken target to show whether it died; then
  // the target is asked again at this interval.
  absl::Duration post_mortem = absl::Milliseconds(1500);
  // How long it is asked. A run whose target never answers stays open at the
  // homes of its content, where it ends as a death.
  absl::Duration post_mortem_limit = absl::Seconds(30);
  // When to send a call again whose key's homes can't all answer for it.
  absl::Duration key_retry = absl::Seconds(5);
  // Times that a submission is passed to its ticket's issuer.
  int max_forwards = 3;
  // Shortest wait for a sign of life of a running stream.
  absl::Duration min_progress = absl::Seconds(3);
};

// The receiving instance's side of each request: from its arrival through
// probes, screening, admission and attempts to its one outcome. Chunks reach
// the caller in order and once. Every public function appends what is to be
// done to `actions`.
class RequestFlow {
 public:
  struct Parts {
    const FleetView* fleet = nullptr;
    const Placement* placement = nullptr;
    RandomSource* random = nullptr;
    TicketDesk* tickets = nullptr;
    RedemptionArchive* archive = nullptr;
    const ScreenHome* screen = nullptr;
    const Mutations* mutations = nullptr;
  };

  RequestFlow(FlowConfig config, InstanceRef self, Parts parts);

  // -- Callers
  void OnArrived(absl::Time now, RequestArrived event, Actions* actions);
  void OnCallerGone(absl::Time now, const CallerGone& event, Actions* actions);
  void OnTicketRequested(absl::Time now,
                         const TicketRequested& event,
                         Actions* actions);

  // -- Peers
  void OnProbeReply(absl::Time now, const ProbeReply& reply, Actions* actions);
  void OnAdmitReply(absl::Time now,
                    const InstanceRef& from,
                    const AdmitReply& reply,
                    Actions* actions);
  void OnAdmitReady(absl::Time now,
                    const InstanceRef& from,
                    const AdmitReady& ready,
                    Actions* actions);
  void OnSuspend(absl::Time now,
                 const SuspendAttempt& suspend,
                 Actions* actions);
  void OnScreenReply(absl::Time now,
                     const InstanceRef& from,
                     const ScreenReply& reply,
                     Actions* actions);
  void OnKeyGrantReply(absl::Time now,
                       const InstanceRef& from,
                       const KeyGrantReply& reply,
                       Actions* actions);
  void OnSubmitForward(absl::Time now,
                       const InstanceRef& from,
                       const SubmitForward& forward,
                       Actions* actions);
  void OnSubmitResult(absl::Time now,
                      const SubmitResult& result,
                      Actions* actions);
  void OnPeerUnreachable(absl::Time now,
                         const InstanceId& peer,
                         Actions* actions);

  // -- Targets
  void OnAttemptStarted(absl::Time now, const AttemptStarted& event);
  void OnAttemptChunk(absl::Time now, AttemptChunk event, Actions* actions);
  void OnAttemptDone(absl::Time now,
                     const AttemptDone& event,
                     Actions* actions);
  void OnAttemptFailed(absl::Time now,
                       const AttemptFailed& event,
                       Actions* actions);
  void OnTargetReport(absl::Time now,
                      const TargetId& target,
                      const TargetReport& report,
                      Actions* actions);
  void OnTargetUnreachable(absl::Time now,
                           const TargetUnreachable& event,
                           Actions* actions);

  // -- Life
  void OnStop(absl::Time now, Actions* actions);
  void OnTick(absl::Time now, Actions* actions);
  absl::Time NextWakeup() const;
  bool Idle() const { return table_.empty(); }
  std::vector<RequestStatus> Status(absl::Time now) const;

 private:
  // A filter passes a request on or ends it with an outcome.
  using Verdict = std::optional<Outcome>;
  using Filter = Verdict (RequestFlow::*)(absl::Time, ActiveRequest*);
  static const std::array<Filter, 6> kArrivalFilters;

  // What a send's broken target turns out to be.
  struct PostMortem {
    RequestId request;
    AttemptNumber attempt;
    Fingerprint fingerprint;
    TargetId target;
    BootId boot;
    std::vector<InstanceId> screen_homes;
    AttemptNumber screen_attempt;
    // When to ask the target again, and when to ask no more.
    absl::Time until;
    absl::Time give_up;
  };

  // A death told to the homes; told again, since a message may be lost while
  // the content is being sent once more.
  struct DeathNotice {
    ScreenEnded ended;
    absl::Time next;
    int left = 0;
  };

  // A cancel told again after its request ended: a target that was out of reach
  // still holds memory for it.
  struct CancelRepeat {
    CancelAttempt cancel;
    absl::Time next;
    int left = 0;
  };

  // Arrival (flow_arrival.cc).
  void Admit(absl::Time now, ActiveRequest request, Actions* actions);
  Verdict RefuseWhenStopping(absl::Time now, ActiveRequest* request);
  Verdict RefuseWithoutManifest(absl::Time now, ActiveRequest* request);
  Verdict RefuseUnknownWork(absl::Time now, ActiveRequest* request);
  Verdict RefuseUnsafeRepeat(absl::Time now, ActiveRequest* request);
  Verdict RefuseOverLimit(absl::Time now, ActiveRequest* request);
  Verdict RefuseShortTime(absl::Time now, ActiveRequest* request);
  const manifest::ClientAccount* FindAccount(const ClientAccountId& id) const;

  // Calls that may not be repeated (flow_once.cc).
  void BeginOnce(absl::Time now, ActiveRequest* r, Actions* actions);
  void RedeemHere(absl::Time now, ActiveRequest* r, Actions* actions);
  void ForwardToIssuer(absl::Time now, ActiveRequest* r, Actions* actions);
  void AskSuccessor(absl::Time now, ActiveRequest* r, Actions* actions);
  void AskKeyHomes(absl::Time now, ActiveRequest* r, Actions* actions);
  void TellKeyHomes(ActiveRequest* r, const Outcome& outcome, Actions* actions);
  void SettleOnce(absl::Time now,
                  ActiveRequest* r,
                  const Outcome& outcome,
                  Actions* actions);

  // Probing (flow_probe.cc).
  void BeginProbing(absl::Time now, ActiveRequest* r, Actions* actions);
  // Decides how many targets the request needs at once.
  void SizeGroup(const std::vector<TargetId>& candidates,
                 ActiveRequest* r) const;
  void ForgetProbe(ActiveRequest* r);
  std::vector<TargetId> ChooseProbed(const ActiveRequest& r,
                                     std::vector<TargetId> candidates);
  void DecideProbes(absl::Time now, ActiveRequest* r, Actions* actions);
  void OnTooFewServing(absl::Time now,
                       ActiveRequest* r,
                       std::size_t serving,
                       Actions* actions);
  void ExcludeAfter(Reason refusal,
                    const TargetId& target,
                    ActiveRequest* r) const;
  static absl::Duration CostOf(const ProbeReply& reply, bool is_long);
  // Long prompts gather on the same few targets while these have time, so that
  // short ones find the others free; null when none has.
  static const ProbeState* GatheringTarget(
      const ActiveRequest& r,
      absl::Duration left,
      const std::vector<const ProbeState*>& able);
  // One of those whose cost is close to the least, at random.
  const ProbeState* NearBest(const std::vector<const ProbeState*>& able,
                             bool is_long) const;
  const ProbeState* BestProbe(absl::Time now, const ActiveRequest& r) const;
  void OnNoCandidate(absl::Time now, ActiveRequest* r, Actions* actions);
  void Hold(absl::Time now, ActiveRequest* r, absl::Duration pause);

  // Screening (flow_screen.cc).
  void BeginScreen(absl::Time now, ActiveRequest* r, Actions* actions);
  void AskScreen(absl::Time now,
                 ActiveRequest* r,
                 const InstanceId& home,
                 Actions* actions);
  // Asks up to `most` homes more, for those that are too new to know, silent or
  // out of reach. Returns whether there was one.
  bool AskFurtherHomes(absl::Time now,
                       ActiveRequest* r,
                       std::size_t most,
                       Actions* actions);
  // Whether all homes that are still waited for have agreed.
  static bool ScreenAnswered(const ActiveRequest& r);
  void OnScreenSilent(absl::Time now, ActiveRequest* r, Actions* actions);
  void OnScreenUnreachable(absl::Time now,
                           ActiveRequest* r,
                           const InstanceId& home,
                           Actions* actions);
  void PassWithFewerHomes(absl::Time now, ActiveRequest* r, Actions* actions);
  void ReleaseScreen(ActiveRequest* r, ScreenEnd end, Actions* actions);
  static void ForgetScreen(ActiveRequest* r);
  void FinishQuarantined(absl::Time now, ActiveRequest* r, Actions* actions);

  // Admission (flow_admission.cc).
  void BeginAdmission(absl::Time now,
                      ActiveRequest* r,
                      const ProbeState& probe,
                      Actions* actions);
  void BeginGroup(absl::Time now, ActiveRequest* r, Actions* actions);
  void Ask(absl::Time now, ActiveRequest* r, bool claim, Actions* actions);
  void OnGranted(absl::Time now,
                 ActiveRequest* r,
                 const AdmitReply& reply,
                 Actions* actions);
  // A grant rests on a report up to a poll old. Work that a target could not
  // bear just after a restart is preceded by a look at its boot.
  bool NeedsCheck(const ActiveRequest& r) const;
  void BeginCheck(absl::Time now, ActiveRequest* r, Actions* actions);
  void OnChecked(absl::Time now,
                 ActiveRequest* r,
                 const TargetId& target,
                 const BootId& boot,
                 Actions* actions);
  std::vector<RequestId> RequestsChecking(const TargetId& target) const;
  void Start(absl::Time now, ActiveRequest* r, Actions* actions);
  // Gives back every place of the request with this result.
  void SettlePlaces(absl::Time now,
                    ActiveRequest* r,
                    AttemptResult result,
                    Actions* actions);
  void TryElsewhere(absl::Time now, ActiveRequest* r, Actions* actions);

  // Attempts (flow_attempt.cc).
  ActiveRequest* FindAttempt(const RequestId& id, AttemptNumber attempt);
  void OnNotRun(absl::Time now, ActiveRequest* r, Actions* actions);
  void OnBroken(absl::Time now,
                ActiveRequest* r,
                bool answered,
                Actions* actions);
  // Asks the target of an attempt whose end is unknown whether it died. Until
  // it answers the run stays open at the homes of its content.
  void BeginPostMortem(absl::Time now,
                       ActiveRequest* r,
                       const Place& lead,
                       Actions* actions);
  void Retry(absl::Time now, ActiveRequest* r, Actions* actions);
  void TellDeath(absl::Time now,
                 const PostMortem& post_mortem,
                 Actions* actions);
  // Cancels the running attempt at its target, now and again after its end.
  void GiveUpAttempt(ActiveRequest* r, Actions* actions);
  void RepeatCancels(absl::Time now, Actions* actions);
  void RepeatDeathNotices(absl::Time now, Actions* actions);
  // Lets requests go on whose target has not answered in time, and asks it
  // again: only an answer tells whether it died.
  void RepeatPostMortems(absl::Time now, Actions* actions);
  void GoOnAfter(absl::Time now,
                 const PostMortem& post_mortem,
                 bool died,
                 Actions* actions);
  void ResolvePostMortem(absl::Time now,
                         const PostMortem& post_mortem,
                         bool died,
                         Actions* actions);

  // Ends (flow_finish.cc).
  void Refuse(absl::Time now,
              ActiveRequest* r,
              Reason reason,
              absl::Duration retry_after,
              std::string detail,
              Actions* actions);
  void Finish(absl::Time now,
              ActiveRequest* r,
              Outcome outcome,
              Actions* actions);
  void WakeOne(absl::Time now, ActiveRequest* r, Actions* actions);
  // Tells the owners that the prompt is computed, so that the next may start.
  static void TellFirstToken(const ActiveRequest& r,
                             Tokens generated,
                             Actions* actions);
  void SendHeartbeats(absl::Time now, Actions* actions);

  FlowConfig config_;
  InstanceRef self_;
  Parts parts_;
  RequestTable table_;
  AccountLimits limits_;
  RetryBudget retries_;
  std::map<uint64_t, RequestId> probes_;
  uint64_t next_probe_ = 1;
  std::vector<PostMortem> post_mortems_;
  std::vector<DeathNotice> death_notices_;
  std::vector<CancelRepeat> cancel_repeats_;
  absl::Time next_heartbeat_ = absl::InfiniteFuture();
  bool stopping_ = false;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_REQUEST_FLOW_H_
