#ifndef UMBERTRAIL_TELEMETRY_HISTORY_H_
#define UMBERTRAIL_TELEMETRY_HISTORY_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/types.h"
#include "umbertrail/telemetry/trace.h"

// What happened to a request and why, for the operator's `explain`.

namespace umbertrail::telemetry {

struct ProbeSentStep {
  InstanceId owner;
  TargetId target;
};
struct ProbeAnsweredStep {
  InstanceId owner;
  TargetId target;
  bool can_serve = false;
  core::Reason reason = core::Reason::kOk;
  absl::Duration first_token;
  Tokens matched_prefix;
};
struct AdmissionAskedStep {
  InstanceId owner;
  TargetId target;
  AttemptNumber attempt;
  // The queued place is claimed.
  bool claim = false;
};
struct AdmissionAnsweredStep {
  InstanceId owner;
  TargetId target;
  AttemptNumber attempt;
  core::AdmitDecision decision = core::AdmitDecision::kRefused;
  core::Reason reason = core::Reason::kOk;
  absl::Duration first_token;
};
struct TurnCameStep {
  InstanceId owner;
  TargetId target;
  AttemptNumber attempt;
};
struct AttemptSentStep {
  TargetId target;
  AttemptNumber attempt;
  Tokens resume_offset;
  size_t group_size = 0;
};
struct AttemptAcceptedStep {
  AttemptNumber attempt;
};
struct AttemptEndedStep {
  AttemptNumber attempt;
  // Nothing when the answer came to its end.
  std::optional<core::AttemptFailure> failure;
  Tokens total;
};
struct AttemptCancelledStep {
  TargetId target;
  AttemptNumber attempt;
};
// The home of the content's fingerprint was asked whether it may run.
struct ScreenAskedStep {
  InstanceId home;
  AttemptNumber attempt;
};
struct ScreenAnsweredStep {
  InstanceId home;
  AttemptNumber attempt;
  core::ScreenVerdict verdict = core::ScreenVerdict::kRun;
  uint32_t deaths = 0;
};
struct SubmissionForwardedStep {
  InstanceId issuer;
};
struct KeyGrantStep {
  InstanceId home;
  core::KeyGrantDecision decision = core::KeyGrantDecision::kNotHome;
};

using StepDetail = std::variant<ProbeSentStep,
                                ProbeAnsweredStep,
                                AdmissionAskedStep,
                                AdmissionAnsweredStep,
                                TurnCameStep,
                                AttemptSentStep,
                                AttemptAcceptedStep,
                                AttemptEndedStep,
                                AttemptCancelledStep,
                                ScreenAskedStep,
                                ScreenAnsweredStep,
                                SubmissionForwardedStep,
                                KeyGrantStep>;

struct HistoryStep {
  // Since the request's arrival.
  absl::Duration after;
  StepDetail detail;
};

// The parts of the answer that went to the caller.
struct RelaySummary {
  int parts = 0;
  Tokens tokens;
  // Since the request's arrival.
  absl::Duration first_after;
  absl::Duration last_after;
};

struct FinalOutcome {
  core::Reason reason = core::Reason::kOk;
  core::Ran ran = core::Ran::kNo;
  Tokens total;
  absl::Duration after;
};

// One request as one instance saw it. Holds no part of prompt or answer.
struct RequestHistory {
  RequestId id;
  TraceId trace;
  core::RequestKind kind = core::RequestKind::kCompletion;
  ClientAccountId account;
  ModelId model;
  ServiceId service;
  std::string call;
  Tokens prompt;
  core::LengthClass length_class = core::LengthClass::kShort;
  // Wall-clock time.
  absl::Time arrived;
  absl::Duration time_limit;
  // Who passed the submission on; empty when the caller came here.
  InstanceId forwarded_by;
  std::vector<HistoryStep> steps;
  // Steps beyond kStepLimit, which are not kept.
  int steps_dropped = 0;
  RelaySummary relay;
  // Nothing while the request runs.
  std::optional<FinalOutcome> outcome;
};

// Steps kept of one request.
inline constexpr size_t kStepLimit = 64;

// Histories of the running requests and of the last `finished_limit` finished
// ones. Thread-safe. A running request beyond `running_limit` has no history.
class HistoryStore {
 public:
  HistoryStore(size_t running_limit, size_t finished_limit);

  // Opens a history; replaces a running one of the same id.
  void Begin(RequestHistory history);
  // Adds a step at wall-clock time `now`; ignored when not running here.
  void AddStep(const RequestId& id, absl::Time now, StepDetail detail);
  void AddRelayed(const RequestId& id, absl::Time now, Tokens tokens);
  // Closes the history with its outcome; `outcome.after` is filled in here.
  void Finish(const RequestId& id, absl::Time now, FinalOutcome outcome);

  // All that is held of `id`, finished ones first: a caller may send an id
  // again. `id` is a whole id or the caller's part of one, before `~`.
  // Cost: linear in the histories held.
  std::vector<RequestHistory> Find(const RequestId& id) const;

 private:
  void Change(const RequestId& id,
              absl::FunctionRef<void(RequestHistory&)> change);

  const size_t running_limit_;
  const size_t finished_limit_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<RequestId, RequestHistory> running_
      ABSL_GUARDED_BY(mutex_);
  std::deque<RequestHistory> finished_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_HISTORY_H_
