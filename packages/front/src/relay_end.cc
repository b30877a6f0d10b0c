#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "umbertrail/front/relay.h"

// Decides whether a response that has ended is complete, and completes it.

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

constexpr int kServerError = 500;

}  // namespace

void Relay::OnEnd() {
  if (finished_) {
    return;
  }
  const absl::Time now = BootNow();
  ReleaseTargetResources();
  if (peer_.empty()) {
    state_.pool.Release(target_, std::move(connection_));
  } else {
    state_.peer_pool.Release(TargetId(peer_.text()), std::move(connection_));
  }
  connection_.reset();
  if (not_executed_) {
    OnNotExecuted();
    return;
  }
  state_.metrics.CountAttempt("answered");
  may_have_run_ = true;
  ended_at_ = now;
  if (response_mode_ == ResponseMode::kDiscard) {
    RecordFailedResponse("unusable", now);
    RetryOrRefuse(Refusal::kTargetFailed);
    return;
  }
  if (process_watch_ && !IsInsideEvent()) {
    CheckEnd();
    return;
  }
  OnEndJudged(dispatch::ProcessState::kNotAsked);
}

bool Relay::IsInsideEvent() const {
  return response_mode_ == ResponseMode::kStream &&
         framer_.has_incomplete_event();
}

bool Relay::TargetMayServe() const {
  const dispatch::TargetEntry* entry = state_.view.Find(target_);
  return entry != nullptr && state_.view.MayServe(*entry);
}

void Relay::CheckEnd() {
  process_watch_->Ask([weak = weak_from_this()](ProcessWatch::Result result) {
    const auto self = weak.lock();
    if (self && !self->finished_) {
      self->OnProcessAsked(result);
    }
  });
}

void Relay::OnProcessAsked(ProcessWatch::Result result) {
  const absl::Time now = BootNow();
  switch (result) {
    case ProcessWatch::Result::kAlive:
      state_.RecordContact(now);
      OnEndJudged(dispatch::ProcessState::kAlive);
      return;
    case ProcessWatch::Result::kEnded:
      state_.RecordBrokenConnection(target_, target_born_ms_, contents_, now);
      OnEndJudged(dispatch::ProcessState::kEnded);
      return;
    case ProcessWatch::Result::kSilent:
      OnEndJudged(dispatch::ProcessState::kSilent);
      return;
    case ProcessWatch::Result::kUnreachable:
      CheckReachable();
      return;
  }
}

void Relay::CheckReachable() {
  state_.RecordBrokenConnection(
      target_, target_born_ms_, contents_, BootNow(),
      [weak = weak_from_this()](State::Reachability reachability) {
        const auto self = weak.lock();
        if (self && !self->finished_) {
          self->OnEndChecked(reachability);
        }
      });
}

void Relay::OnEndChecked(State::Reachability reachability) {
  switch (reachability) {
    case State::Reachability::kUnreachable:
      OnEndJudged(dispatch::ProcessState::kEnded);
      return;
    case State::Reachability::kReachable:  // But it refused the question.
      OnEndJudged(dispatch::ProcessState::kSilent);
      return;
    case State::Reachability::kUnknown:
      OnEndJudged(dispatch::ProcessState::kUnknown);
      return;
  }
}

void Relay::OnEndJudged(dispatch::ProcessState process) {
  dispatch::ResponseEnd end;
  end.ends_with_connection = response_head_.ends_with_connection;
  end.from_instance = !peer_.empty();
  end.has_stated_length = has_stated_length_;
  end.is_stream = response_mode_ == ResponseMode::kStream;
  end.may_run_again = dispatch::MayRunAgain(route_->repeat);
  end.is_inside_event = IsInsideEvent();
  end.is_empty_stream = end.is_stream && !target_sent_events_ &&
                        framer_.last_event_id().empty() &&
                        facts_.last_event.empty();
  end.process = process;
  const dispatch::EndVerdict verdict = dispatch::JudgeEnd(end);
  LogEnd(end, verdict);
  if (verdict == dispatch::EndVerdict::kComplete) {
    if (peer_.empty()) {
      CompleteTargetResponse(!end.ends_with_connection ||
                             process == dispatch::ProcessState::kAlive);
    } else {
      CompleteResponse();
    }
    return;
  }
  const absl::Time now = BootNow();
  RecordFailedResponse(dispatch::NameOf(verdict), now);
  if (peer_.empty() && process == dispatch::ProcessState::kNotAsked) {
    state_.RecordBrokenConnection(target_, target_born_ms_, contents_, now);
  }
  RetryOrRefuse(Refusal::kTargetFailed);
}

void Relay::LogEnd(const dispatch::ResponseEnd& end,
                   dispatch::EndVerdict verdict) {
  if (!end.ends_with_connection && verdict == dispatch::EndVerdict::kComplete) {
    return;  // Its framing shows that it is complete.
  }
  const absl::Time now = BootNow();
  state_.metrics.CountResponseEnd(dispatch::NameOf(end.process),
                                  dispatch::NameOf(verdict));
  state_.log.Write(
      EventLog::Level::kNormal, "end_judged",
      {{"request", facts_.id.text()},
       {"target", target_.text()},
       {"with_connection", end.ends_with_connection},
       {"stream", end.is_stream},
       {"in_event", end.is_inside_event},
       {"process", dispatch::NameOf(end.process)},
       {"asked_us", absl::ToInt64Microseconds(now - ended_at_)},
       {"held", process_watch_ && !process_watch_->asked_on_new_connection()},
       {"birth", process_watch_ && process_watch_->answer_stated_birth()},
       {"may_serve", TargetMayServe()},
       {"verdict", dispatch::NameOf(verdict)}},
      now);
}

void Relay::CompleteTargetResponse(bool is_certain) {
  const absl::Time now = BootNow();
  if (response_head_.status >= kServerError) {
    RecordFailedResponse("server_error", now);
    if (!response_started_ && AcquireRetry(now)) {
      tried_targets_.push_back(target_);
      PlaceAndSend();
      return;
    }
  } else {
    state_.RecordSuccess(target_, now);
  }
  if (is_certain && response_head_.status / 100 == 2) {
    state_.crash_evidence.RecordAnswer(contents_, now);
    LearnOutput(now);
  }
  CompleteResponse();
}

void Relay::CompleteResponse() {
  if (response_mode_ == ResponseMode::kStream) {
    const std::string rest = framer_.TakeRemainder();
    StartResponseOnce();
    client_->SendBody(rest);
  } else {
    if (!response_started_) {
      response_head_.length = buffered_body_.size();
    }
    ForwardBufferedBody();
  }
  client_->FinishResponse();
  Finish("answered");
}

void Relay::StopProcessWatch() {
  if (process_watch_) {
    process_watch_->Stop();
    process_watch_.reset();
  }
}

}  // namespace umbertrail::front
