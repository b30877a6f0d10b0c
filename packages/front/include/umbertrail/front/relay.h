#ifndef UMBERTRAIL_FRONT_RELAY_H_
#define UMBERTRAIL_FRONT_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "platform/request_codec.h"
#include "umbertrail/dispatch/admission.h"
#include "umbertrail/dispatch/output_estimator.h"
#include "umbertrail/dispatch/pause_window.h"
#include "umbertrail/dispatch/response_end.h"
#include "umbertrail/front/memory_reservation.h"
#include "umbertrail/front/placer.h"
#include "umbertrail/front/process_watch.h"
#include "umbertrail/front/state.h"
#include "umbertrail/front/stream_framer.h"
#include "umbertrail/net/client.h"
#include "umbertrail/net/server.h"

namespace umbertrail::front {

// Proxies one client request: admits it, places it, sends it to a target and
// forwards the response. Retries a failed attempt at another target where the
// route allows it.
class Relay : public net::ClientObserver,
              public net::ResponseListener,
              public std::enable_shared_from_this<Relay> {
 public:
  // Who sent the request: a client, or an instance without links to targets
  // that passes it on.
  enum class Origin { kClient, kInstance };

  Relay(State& state,
        std::shared_ptr<net::ServerConnection> client,
        Origin origin);

  void Start();

  // net::ClientObserver:
  void OnClientGone() override;
  void OnClientProgress() override;
  // net::ResponseListener:
  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // How the target's response is handled; undecided until its head arrives.
  enum class ResponseMode { kUndecided, kForward, kStream, kDiscard };

  bool Admit();
  void PlaceAndSend();
  // Passes the request on to an instance that reaches targets; false if it
  // can't be. Such a request is not passed on again.
  bool SendThroughPeer();
  void OnPeerHead(const net::ResponseHead& head);
  void OnPeerFailure(bool sent);
  // The target stated in its response's head that the request has not run.
  void OnNotExecuted();
  // Handles a response that isn't known to be a target's to this request:
  // whether the request was executed is unknown.
  void RejectResponse(const net::ResponseHead& head,
                      const adapter::ResponseMetadata& metadata);
  bool MayConnectAgain() const;
  // Finds out whether a response that ended with its connection is complete, or
  // the target crashed.
  void CheckEnd();
  void OnProcessAsked(ProcessWatch::Result result);
  // Tells a target that is down from lost links.
  void CheckReachable();
  void OnEndChecked(State::Reachability reachability);
  // Completes the response, or retries, by what is known of its end.
  void OnEndJudged(dispatch::ProcessState process);
  // One line for each end that framing doesn't prove complete.
  void LogEnd(const dispatch::ResponseEnd& end, dispatch::EndVerdict verdict);
  // The stream received so far ends within an event.
  bool IsInsideEvent() const;
  bool TargetMayServe() const;
  // Takes note of a target's response. It is certain to be complete, or the end
  // of its connection may have been a crash.
  void CompleteTargetResponse(bool is_certain);
  // Sends the rest of a complete response.
  void CompleteResponse();
  // Refuses the request if its content crashes targets.
  bool RefuseIfBlocked(absl::Time now);
  // The properties of this request that placement depends on.
  dispatch::RequestProfile ProfileAt(absl::Time now) const;
  dispatch::OutputQuery OutputQueryForRequest() const;
  // Further events that the stream is expected to have; zero if unknown.
  double ExpectedEvents(absl::Time now) const;
  // Learns the target's decode speed from a pause between reads of events.
  void RecordPause(absl::Duration pause, absl::Time now);
  // Learns from a stream that was received completely.
  void LearnOutput(absl::Time now);
  // Requests a placement among the targets not tried yet. `callback` runs
  // synchronously or later, and not after the request has finished.
  void RequestPlacement(void (*callback)(Relay& relay,
                                         const PlacementReply& reply));
  void OnPlaced(const PlacementReply& reply);
  // Places the request again after `ask_again`, unless that is zero or too long
  // for its client; false then.
  bool WaitForPlace(absl::Duration ask_again);
  void OnAskAgain();
  void OnAlternativePlaced(const PlacementReply& reply);
  // Whether a request that has received no event may be retried elsewhere.
  bool MayMoveToAnotherTarget(absl::Time now) const;
  void SendTo(const dispatch::PlacementDecision& placed);
  // Moves the request to another target, if it may run again, when the first
  // event is overdue.
  void OnFirstEventOverdue();
  // Reserves KV cache memory at the helper targets before sending.
  void ReserveAndSend(const dispatch::PlacementDecision& placed);
  void Send(const dispatch::PlacementDecision& placed);
  // Resets what is known of the former attempt.
  void BeginAttempt(absl::Time now);
  // A target that did not grant its part of the reservation for `placed`.
  void OnReservationRefused(const TargetId& target);
  // The helpers of an attempt, with the memory reserved for it.
  std::vector<adapter::HelperAddress> HelperAddresses(
      const dispatch::PlacementDecision& placed) const;
  void RegisterWork(const dispatch::PlacementDecision& placed);
  // After the prefill helpers only hold the memory that is reserved there.
  void EndHelperPrefills();
  void ReleaseTargetResources();
  // Retries at another target after a failed attempt, or refuses.
  void RetryOrRefuse(dispatch::Refusal refusal);
  // Whether a retry is allowed, or the reason why not.
  enum class RetryDecision {
    kAllowed,
    kMayHaveRun,
    kResponseStarted,
    kAttemptsExhausted,
    kDeadlineTooClose,
    kBudgetExhausted,
  };
  static absl::string_view NameOf(RetryDecision reason);
  RetryDecision CheckRetry(absl::Time now) const;
  // As CheckRetry, but also consumes retry budget and stores the decision.
  bool AcquireRetry(absl::Time now);
  // Notes a complete response that is no success.
  void RecordFailedResponse(absl::string_view how, absl::Time now);
  void LogFailedAttempt(absl::string_view how, int status, bool sent);
  bool HasTimeForAttempt(absl::Time now) const;
  // Handles shutdown and back-off signals in the response headers.
  void RecordTargetStatus(const adapter::ResponseMetadata& facts);
  void ExcludeHelper(const std::string& address);
  void ForwardStreamEvents();
  void ForwardBufferedBody();
  // Response bytes that are kept to replace a truncated response, and those
  // that wait for the client; fewer under pressure.
  size_t MaxBufferedBody() const;
  size_t MaxPendingBytes() const;
  void ChargeBuffers();
  void StartResponseOnce();
  void RecordFirstEvent();
  // Updates the stream's time to first event and longest inter-event gap.
  void RecordForwardedEvent();
  void Refuse(dispatch::Refusal refusal, absl::Duration retry_after);
  void Finish(absl::string_view outcome);
  // Adds latencies and the route's latency targets to the log fields.
  void AddLatencyFields(EventLog::Fields* fields) const;
  void OnDeadline();
  void DisconnectFromTarget();
  void StopProcessWatch();
  bool is_stream() const;

  State& state_;
  std::shared_ptr<net::ServerConnection> client_;
  Origin origin_;
  adapter::RequestMetadata facts_;
  std::shared_ptr<const dispatch::FleetConfig> config_;
  const dispatch::Route* route_ = nullptr;
  ClientAccountId account_;
  // 0 is the most urgent.
  int urgency_ = 0;
  const dispatch::Service* service_ = nullptr;
  ServiceId service_id_;
  dispatch::RequestContents contents_;
  // May be sent once although its content is blocked.
  bool is_trial_ = false;
  absl::Time started_;
  // Start of the wait for a first event: the request's arrival, or the failure
  // of a stream that had started.
  absl::Time waiting_since_;
  absl::Time deadline_;
  net::Timer deadline_alarm_;
  net::Timer first_event_alarm_;
  net::Timer wait_alarm_;
  // It was told to ask for a place again.
  bool has_waited_ = false;

  std::vector<TargetId> tried_targets_;
  int attempts_ = 0;
  // For streams: time from arrival to the first event, and the longest gap
  // between two forwarded events.
  absl::Duration time_to_first_event_ = absl::InfiniteDuration();
  absl::Duration max_event_gap_ = absl::ZeroDuration();
  absl::Time last_event_at_;
  int connect_failures_ = 0;
  // Time that the failed connection attempts took.
  absl::Duration connect_time_;
  RetryDecision retry_decision_ = RetryDecision::kAllowed;
  // From the last placement reply.
  size_t candidate_count_ = 0;
  absl::Duration earliest_first_event_ = absl::InfiniteDuration();
  // A target may have started executing the request.
  bool may_have_run_ = false;
  TargetId target_;
  // The instance to which the request was passed on; empty if it was sent to a
  // target.
  InstanceId peer_;
  std::vector<InstanceId> tried_peers_;
  // Distinguishes this incarnation of the target from later ones.
  int64_t target_born_ms_ = 0;
  std::shared_ptr<net::ClientConnection> connection_;
  std::vector<dispatch::WorkId> work_ids_;
  std::shared_ptr<MemoryReservation> reservation_;
  // The request was sent with the reservation.
  bool reservation_used_ = false;
  int refused_reservations_ = 0;
  // Targets not to be used as helpers for this request.
  std::vector<TargetId> excluded_helpers_;
  // Set while a response arrives that ends with its connection.
  std::shared_ptr<ProcessWatch> process_watch_;
  absl::Time sent_at_;
  // End of the current attempt's response.
  absl::Time ended_at_;
  absl::Duration predicted_first_event_;
  // Of the whole stream, as of the current attempt; zero if unknown.
  double expected_events_ = 0;
  // Pauses between events of the current attempt.
  dispatch::PauseWindow pauses_;
  // Reading was paused since the last event, so the pause after it shows
  // nothing of the target.
  bool reading_was_paused_ = false;
  // Events until the last read.
  int events_until_read_ = 0;
  ResponseMode response_mode_ = ResponseMode::kUndecided;
  // The target stated the length of its stream, and so where it ends.
  bool has_stated_length_ = false;
  bool not_executed_ = false;
  net::ResponseHead response_head_;
  std::string buffered_body_;
  // Of `buffered_body_` and the framer.
  net::MemoryCharge buffer_charge_;
  size_t discarded_bytes_ = 0;
  StreamFramer framer_;
  bool response_started_ = false;
  // The response sent to the client so far is a stream.
  bool stream_started_ = false;
  // The current target has sent stream events.
  bool target_sent_events_ = false;
  bool finished_ = false;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_RELAY_H_
