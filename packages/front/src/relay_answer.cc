#include <algorithm>
#include <utility>

#include "absl/strings/string_view.h"
#include "umbertrail/front/relay.h"

// What a relay does with a target's answer, or with its failure.

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

// Connections that may fail for one request before it is given up.
constexpr int kMaxConnectFailures = 4;
// Bytes kept for a client that reads slowly before the target is held up.
constexpr size_t kMaxUnsent = 131072;
// Whole answers up to this size are kept until they are complete, so that a
// broken one can be replaced.
constexpr size_t kMaxBuffered = 131072;
constexpr int kServerError = 500;

}  // namespace

void Relay::OnHead(const net::ResponseHead& head) {
  if (ended_) {
    return;
  }
  const adapter::AnswerFacts facts = adapter::ReadAnswer(head, facts_.id);
  not_run_ = facts.not_run;
  NoteTargetsWords(facts);
  if (!facts.at_fault.empty()) {
    NoteHelperAtFault(facts.at_fault);
  }
  if (!facts.is_ours && !facts.not_run) {
    // An answer to another request: whether ours ran is not known.
    use_ = AnswerUse::kDrop;
    OnFailure(net::CallFailure::kUnreadable);
    return;
  }
  answer_ = head;
  answer_.headers.RemoveHopByHop();
  answer_.headers.Remove("Content-Length");
  if (facts.not_run) {
    use_ = AnswerUse::kDrop;
    return;
  }
  const bool success = head.status / 100 == 2;
  use_ = is_stream() && success ? AnswerUse::kStream : AnswerUse::kPass;
  if (use_ == AnswerUse::kStream) {
    answer_.length.reset();
  } else if (answer_begun_) {
    // Another target was to go on with a stream: its refusal is no part of it.
    use_ = AnswerUse::kDrop;
  }
}

void Relay::NoteTargetsWords(const adapter::AnswerFacts& facts) {
  const absl::Time now = BootNow();
  if (facts.leaving && state_.MarkLeaving(target_, born_ms_, now)) {
    state_.publish_departure(target_, born_ms_);
  }
  if (!facts.strange_wait.empty()) {
    state_.log.Write(EventLog::Level::kImportant, "strange_wait",
                     {{"target", target_.text()},
                      {"said", absl::string_view(facts.strange_wait)}},
                     now);
  }
  if (facts.wants_nothing_for > absl::ZeroDuration()) {
    state_.StartBackoff(target_, facts.wants_nothing_for, now);
  }
}

void Relay::NoteHelperAtFault(const std::string& address) {
  for (const auto& [id, entry] : state_.view.targets()) {
    if (entry.address == address && id != target_) {
      no_helpers_.push_back(id);
    }
  }
}

void Relay::OnBody(absl::string_view bytes) {
  if (ended_) {
    return;
  }
  switch (use_) {
    case AnswerUse::kStream:
      framer_.Add(bytes);
      PassStreamEvents();
      break;
    case AnswerUse::kPass:
      if (answer_begun_) {
        client_->SendBody(bytes);
      } else {
        buffered_.append(bytes.data(), bytes.size());
        if (buffered_.size() > kMaxBuffered) {
          PassBuffered();
        }
      }
      break;
    case AnswerUse::kDrop:
    case AnswerUse::kNone:
      break;
  }
  if (client_->pending_bytes() > kMaxUnsent && connection_) {
    connection_->HoldReading(true);
  }
}

void Relay::PassStreamEvents() {
  const std::string events = framer_.TakeWhole();
  if (events.empty()) {
    return;
  }
  NoteFirstEvent();
  NoteEventPassed();
  gave_events_ = true;
  BeginAnswerOnce();
  client_->SendBody(events);
}

void Relay::NoteFirstEvent() {
  if (work_.empty() || use_ != AnswerUse::kStream) {
    return;
  }
  bool first = false;
  for (const dispatch::WorkId id : work_) {
    first = state_.board.NoteRead(id) || first;
  }
  if (!first) {
    return;
  }
  const absl::Time now = BootNow();
  // Helpers have read their parts; they hold nothing else.
  while (work_.size() > 1) {
    state_.board.End(work_.back());
    work_.pop_back();
  }
  state_.RecordFirstEvent(target_, predicted_, now - sent_at_);
  if (!answer_begun_) {
    state_.metrics.ObserveFirstEvent(facts_.prompt, now - started_);
  }
  state_.log.Write(EventLog::Level::kNormal, "first_event",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
                    {"expected_ms", absl::ToInt64Milliseconds(predicted_)}},
                   now);
}

void Relay::NoteEventPassed() {
  const absl::Time now = BootNow();
  if (first_event_after_ == absl::InfiniteDuration()) {
    first_event_after_ = now - started_;
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void Relay::PassBuffered() {
  BeginAnswerOnce();
  client_->SendBody(buffered_);
  buffered_.clear();
}

void Relay::BeginAnswerOnce() {
  if (answer_begun_) {
    return;
  }
  answer_begun_ = true;
  stream_begun_ = use_ == AnswerUse::kStream;
  client_->BeginAnswer(answer_);
}

void Relay::OnEnd() {
  if (ended_) {
    return;
  }
  const absl::Time now = BootNow();
  EndWork();
  state_.pool.Give(target_, std::move(connection_));
  connection_.reset();
  state_.metrics.CountAttempt(not_run_ ? "not_run" : "answered");
  if (not_run_) {
    LogFailedAttempt("not_run", answer_.status, true);
    state_.RecordFailure(target_, now);
    TryAgainOrEnd(Refusal::kTargetBusy);
    return;
  }
  may_have_run_ = true;
  if (use_ == AnswerUse::kDrop) {
    LogFailedAttempt("unusable", answer_.status, true);
    state_.RecordFailure(target_, now);
    TryAgainOrEnd(Refusal::kTargetFailed);
    return;
  }
  if (answer_.status >= kServerError) {
    LogFailedAttempt("server_error", answer_.status, true);
    state_.RecordFailure(target_, now);
    if (!answer_begun_ && TakeFurtherSend(now)) {
      tried_.push_back(target_);
      TryPlace();
      return;
    }
  } else {
    state_.RecordSuccess(target_, now);
  }
  if (use_ == AnswerUse::kStream) {
    const std::string rest = framer_.TakeRest();
    BeginAnswerOnce();
    client_->SendBody(rest);
  } else {
    if (!answer_begun_) {
      answer_.length = buffered_.size();
    }
    PassBuffered();
  }
  client_->Finish();
  Finish("answered");
}

void Relay::OnFailure(net::CallFailure failure) {
  if (ended_) {
    return;
  }
  const absl::Time now = BootNow();
  EndWork();
  const bool sent = connection_ == nullptr || connection_->sent();
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
  state_.metrics.CountAttempt(net::NameOf(failure));
  LogFailedAttempt(net::NameOf(failure), 0, sent);
  if (!sent) {
    --sends_;
    ++connect_failures_;
    state_.health[target_].NoteUnreachable(now);
    state_.pool.Forget(target_);
    state_.RecordTargetDown(target_, now);
    tried_.push_back(target_);
    if (connect_failures_ < kMaxConnectFailures && HasTimeToTry(now)) {
      TryPlace();
    } else {
      Refuse(Refusal::kNoTarget, absl::Milliseconds(500));
    }
    return;
  }
  may_have_run_ = true;
  state_.RecordFailure(target_, now);
  if (failure != net::CallFailure::kUnreadable) {
    state_.poison.NoteBroken({content_, target_}, now);
  }
  TryAgainOrEnd(Refusal::kTargetFailed);
}

void Relay::LogFailedAttempt(absl::string_view how, int status, bool sent) {
  const absl::Time now = BootNow();
  state_.log.Write(EventLog::Level::kImportant, "attempt_failed",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"how", how},
                    {"status", static_cast<int64_t>(status)},
                    {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
                    {"sent", sent}},
                   now);
}

void Relay::OnClientProgress() {
  if (connection_ && client_->pending_bytes() <= kMaxUnsent / 2) {
    connection_->HoldReading(false);
  }
}

}  // namespace umbertrail::front
