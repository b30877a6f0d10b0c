#ifndef UMBERTRAIL_FRONT_RELAY_H_
#define UMBERTRAIL_FRONT_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "platform/request_codec.h"
#include "umbertrail/dispatch/admission.h"
#include "umbertrail/front/memory_reservation.h"
#include "umbertrail/front/placer.h"
#include "umbertrail/front/state.h"
#include "umbertrail/front/stream_framer.h"
#include "umbertrail/net/client.h"
#include "umbertrail/net/server.h"

namespace umbertrail::front {

// One client's request from its arrival to its answer: admitted, placed, sent
// to a target, its answer passed on; sent to another target where that is
// allowed and the first failed.
class Relay : public net::ClientObserver,
              public net::ResponseListener,
              public std::enable_shared_from_this<Relay> {
 public:
  Relay(State& state, std::shared_ptr<net::ServerConnection> client);

  void Start();

  // The client.
  void OnClientGone() override;
  void OnClientProgress() override;
  // The target.
  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // What becomes of the answer that comes in.
  enum class AnswerUse { kNone, kPass, kStream, kDrop };

  bool Admit();
  void TryPlace();
  // This request as placement looks at it.
  dispatch::RequestProfile ShapeAt(absl::Time now) const;
  // Looks for a place among the targets that were not tried; `then` runs with
  // what was found, at once or later, unless the request has ended.
  void Place(void (*then)(Relay& relay, const PlacementReply& offer));
  void OnPlaced(const PlacementReply& offer);
  void OnPlacedWhileOverdue(const PlacementReply& offer);
  // A request without an event may leave its target and run at another.
  bool MayLeaveForAnother(absl::Time now) const;
  void SendTo(const dispatch::PlacementDecision& placed);
  // A target that keeps silent long after its first event was expected loses
  // the request to another, where it may run again.
  void OnOverdue();
  // Sets memory aside at the helpers first, where the prompt needs it.
  void SendJointly(const dispatch::PlacementDecision& placed);
  void Send(const dispatch::PlacementDecision& placed);
  void BeginWork(const dispatch::PlacementDecision& placed);
  void EndWork();
  // After a failed attempt: another target, or the end.
  void TryAgainOrEnd(dispatch::Refusal refusal);
  // Why no further target is tried.
  enum class NotAgain {
    kMayTry,
    kMayHaveRun,
    kAnswerBegun,
    kSendsUsed,
    kNoTime,
    kBudgetSpent,
  };
  static absl::string_view NameOf(NotAgain reason);
  NotAgain WhyNotAgain(absl::Time now) const;
  // As above, and takes a send of the shared budget; remembers the reason.
  bool TakeFurtherSend(absl::Time now);
  void LogFailedAttempt(absl::string_view how, int status, bool sent);
  bool HasTimeToTry(absl::Time now) const;
  // What a target says of itself beside its answer.
  void NoteTargetsWords(const adapter::ResponseMetadata& facts);
  void NoteHelperAtFault(const std::string& address);
  void PassStreamEvents();
  void PassBuffered();
  void BeginAnswerOnce();
  void NoteFirstEvent();
  // What an on-call engineer asks of a stream that was late.
  void NoteEventPassed();
  void Refuse(dispatch::Refusal refusal, absl::Duration retry_after);
  void Finish(absl::string_view outcome);
  // By which aims a request was late, if it was.
  void AddPromptness(EventLog::Fields* fields) const;
  void OnDeadline();
  void LeaveTarget();
  bool is_stream() const;

  State& state_;
  std::shared_ptr<net::ServerConnection> client_;
  adapter::RequestMetadata facts_;
  std::shared_ptr<const dispatch::FleetConfig> config_;
  const dispatch::Route* route_ = nullptr;
  ClientAccountId account_;
  const dispatch::Service* service_ = nullptr;
  ServiceId service_id_;
  Fingerprint content_;
  absl::Time started_;
  // Since when its client waits for a first event: its arrival, or the break of
  // a stream that had begun.
  absl::Time waits_since_;
  absl::Time deadline_;
  net::Timer deadline_alarm_;
  net::Timer overdue_alarm_;

  std::vector<TargetId> tried_;
  int sends_ = 0;
  // Of a stream: its first event after the request came, and the longest time
  // between two events passed on.
  absl::Duration first_event_after_ = absl::InfiniteDuration();
  absl::Duration longest_pause_ = absl::ZeroDuration();
  absl::Time last_event_at_;
  int connect_failures_ = 0;
  NotAgain not_again_ = NotAgain::kMayTry;
  // What the last placing chose among.
  size_t placed_among_ = 0;
  absl::Duration soonest_ = absl::InfiniteDuration();
  // Some target may have begun to run the request.
  bool may_have_run_ = false;
  TargetId target_;
  // Tells that life of the target from others.
  int64_t born_ms_ = 0;
  std::shared_ptr<net::ClientConnection> connection_;
  std::vector<dispatch::WorkId> work_;
  std::shared_ptr<MemoryReservation> memory_;
  // Targets that are no use as helpers of this request.
  std::vector<TargetId> no_helpers_;
  absl::Time sent_at_;
  absl::Duration predicted_;
  AnswerUse use_ = AnswerUse::kNone;
  bool not_run_ = false;
  net::ResponseHead answer_;
  std::string buffered_;
  StreamFramer framer_;
  bool answer_begun_ = false;
  // What the client has had so far is a stream.
  bool stream_begun_ = false;
  // The present target has given events of it.
  bool gave_events_ = false;
  bool ended_ = false;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_RELAY_H_
