#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"
#include "umbertrail/front/relay.h"

// Handling of a target's response, up to its end, or failure.

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

// Failed connection attempts after which a request is refused: slow ones, and
// ones that were refused at once.
constexpr int kMaxConnectFailures = 4;
constexpr int kMaxQuickConnectFailures = 16;
// Failed connection attempts after which another instance is asked, as this one
// may have lost links.
constexpr int kMaxDirectConnectFailures = 2;
// Unsent bytes for a slow client above which reading from the target pauses.
constexpr size_t kMaxPendingBytes = 131072;
// Both limits when memory for responses is scarce: enough for two reads.
constexpr size_t kMaxBytesUnderPressure = 16384;
// Non-streamed bodies up to this size are buffered until complete, so that the
// request can be retried if the response is truncated.
constexpr size_t kMaxBufferedBody = 131072;
// Bytes of a body without use that are read to keep its connection.
constexpr size_t kMaxDiscardedBody = 65536;

bool IsSuccess(const net::ResponseHead& head) {
  return head.status / 100 == 2;
}

// A target's answer to this request; a success must also bear its seal.
bool IsTargetsAnswer(const net::ResponseHead& head,
                     const adapter::ResponseMetadata& metadata) {
  return metadata.matches_request && (metadata.sealed || !IsSuccess(head));
}

}  // namespace

void Relay::OnHead(const net::ResponseHead& head) {
  if (finished_) {
    return;
  }
  if (!peer_.empty()) {
    OnPeerHead(head);
    return;
  }
  const adapter::ResponseMetadata facts =
      adapter::ReadResponse(head, facts_.id);
  not_executed_ = facts.not_run;
  state_.RecordContact(BootNow());
  RecordTargetStatus(facts);
  if (!facts.failed_address.empty()) {
    ExcludeHelper(facts.failed_address);
  }
  if (!facts.not_run && !IsTargetsAnswer(head, facts)) {
    RejectResponse(head, facts);
    return;
  }
  response_head_ = head;
  response_head_.headers.RemoveHopByHop();
  response_head_.headers.Remove("Content-Length");
  if (facts.not_run) {
    response_mode_ = ResponseMode::kDiscard;
    return;
  }
  if (head.ends_with_connection) {
    process_watch_ = std::make_shared<ProcessWatch>(
        state_.loop, state_.pool,
        TargetProcess{target_, target_born_ms_, connection_->endpoint()});
    process_watch_->Start();
  }
  response_mode_ = is_stream() && IsSuccess(head) ? ResponseMode::kStream
                                                  : ResponseMode::kForward;
  if (response_mode_ == ResponseMode::kStream) {
    has_stated_length_ = response_head_.length.has_value();
    response_head_.length.reset();
  } else if (response_started_) {
    // An error response to a resumed stream must not be appended to it.
    response_mode_ = ResponseMode::kDiscard;
  }
}

void Relay::RejectResponse(const net::ResponseHead& head,
                           const adapter::ResponseMetadata& metadata) {
  state_.log.Write(EventLog::Level::kImportant, "response_rejected",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"instance", peer_.text()},
                    {"status", static_cast<int64_t>(head.status)},
                    {"matches_request", metadata.matches_request},
                    {"sealed", metadata.sealed}},
                   BootNow());
  response_mode_ = ResponseMode::kDiscard;
  OnFailure(net::CallFailure::kUnreadable);
}

// The response is the target's, or a refusal by the other instance that is as
// true here.
void Relay::OnPeerHead(const net::ResponseHead& head) {
  const adapter::ResponseMetadata metadata =
      adapter::ReadResponse(head, facts_.id);
  // Its own refusals name no request.
  if (IsSuccess(head) && !IsTargetsAnswer(head, metadata)) {
    RejectResponse(head, metadata);
    return;
  }
  response_head_ = head;
  response_head_.headers.RemoveHopByHop();
  response_head_.headers.Remove("Content-Length");
  if (is_stream() && IsSuccess(head)) {
    response_mode_ = ResponseMode::kStream;
    has_stated_length_ = response_head_.length.has_value();
    response_head_.length.reset();
  } else {
    response_mode_ =
        response_started_ ? ResponseMode::kDiscard : ResponseMode::kForward;
  }
}

void Relay::RecordTargetStatus(const adapter::ResponseMetadata& facts) {
  const absl::Time now = BootNow();
  if (facts.leaving && state_.MarkLeaving(target_, target_born_ms_, now)) {
    state_.publish_departure(target_, target_born_ms_);
  }
  if (!facts.invalid_retry_after.empty()) {
    state_.log.Write(EventLog::Level::kImportant, "strange_wait",
                     {{"target", target_.text()},
                      {"said", absl::string_view(facts.invalid_retry_after)}},
                     now);
  }
  if (!facts.invalid_rate_limit.empty()) {
    state_.log.Write(EventLog::Level::kImportant, "strange_limit",
                     {{"target", target_.text()},
                      {"said", absl::string_view(facts.invalid_rate_limit)}},
                     now);
  } else if (facts.matches_request && !facts.misdirected) {
    if (state_.RecordLimit({target_, target_born_ms_, facts.rate_limit, now},
                           now)) {
      state_.publish_limit(target_);
    }
  }
  if (facts.retry_after > absl::ZeroDuration()) {
    state_.StartBackoff(target_, facts.retry_after, now);
  }
}

void Relay::ExcludeHelper(const std::string& address) {
  for (const auto& [id, entry] : state_.view.targets()) {
    if (entry.address == address && id != target_) {
      excluded_helpers_.push_back(id);
    }
  }
}

void Relay::OnBody(absl::string_view bytes) {
  if (finished_) {
    return;
  }
  if (peer_.empty()) {
    state_.RecordContact(BootNow());
  }
  switch (response_mode_) {
    case ResponseMode::kStream:
      framer_.Add(bytes);
      ForwardStreamEvents();
      if (framer_.is_event_too_long()) {
        OnFailure(net::CallFailure::kUnreadable);
        return;
      }
      break;
    case ResponseMode::kForward:
      if (response_started_) {
        client_->SendBody(bytes);
      } else {
        buffered_body_.append(bytes.data(), bytes.size());
        if (buffered_body_.size() > MaxBufferedBody()) {
          ForwardBufferedBody();
        }
      }
      break;
    case ResponseMode::kDiscard:
      discarded_bytes_ += bytes.size();
      if (discarded_bytes_ > kMaxDiscardedBody) {
        connection_->Close();
        OnEnd();
        return;
      }
      break;
    case ResponseMode::kUndecided:
      break;
  }
  ChargeBuffers();
  if (client_->pending_bytes() > MaxPendingBytes() && connection_) {
    connection_->SetReadingPaused(true);
    reading_was_paused_ = true;
  }
}

size_t Relay::MaxBufferedBody() const {
  return state_.memory->IsUnderPressure(net::MemoryUse::kResponses)
             ? kMaxBytesUnderPressure
             : kMaxBufferedBody;
}

size_t Relay::MaxPendingBytes() const {
  if (!state_.memory->HasRoom(net::MemoryUse::kResponses, 0)) {
    return 0;
  }
  return state_.memory->IsUnderPressure(net::MemoryUse::kResponses)
             ? kMaxBytesUnderPressure
             : kMaxPendingBytes;
}

void Relay::ChargeBuffers() {
  buffer_charge_.Set(buffered_body_.size() + framer_.held_bytes());
}

void Relay::ForwardStreamEvents() {
  const std::string events = framer_.TakeCompleteEvents();
  if (events.empty()) {
    return;
  }
  RecordFirstEvent();
  RecordForwardedEvent();
  target_sent_events_ = true;
  StartResponseOnce();
  client_->SendBody(events);
}

void Relay::RecordFirstEvent() {
  if (work_ids_.empty() || response_mode_ != ResponseMode::kStream) {
    return;
  }
  const absl::Time now = BootNow();
  bool first = false;
  for (const dispatch::WorkId id : work_ids_) {
    first = state_.board.MarkPrefilled(id, now) || first;
  }
  if (!first) {
    return;
  }
  EndHelperPrefills();
  state_.RecordFirstEvent(target_, predicted_first_event_, now - sent_at_);
  if (!response_started_) {
    state_.metrics.ObserveFirstEvent(facts_.prompt, now - started_);
  }
  state_.log.Write(
      EventLog::Level::kNormal, "first_event",
      {{"request", facts_.id.text()},
       {"target", target_.text()},
       {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
       {"expected_ms", absl::ToInt64Milliseconds(predicted_first_event_)}},
      now);
}

void Relay::RecordForwardedEvent() {
  const absl::Time now = BootNow();
  RecordPause(now - last_event_at_, now);
  if (time_to_first_event_ == absl::InfiniteDuration()) {
    time_to_first_event_ = now - started_;
  } else {
    max_event_gap_ = std::max(max_event_gap_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void Relay::ForwardBufferedBody() {
  StartResponseOnce();
  client_->SendBody(std::exchange(buffered_body_, {}));
  ChargeBuffers();
}

void Relay::StartResponseOnce() {
  if (response_started_) {
    return;
  }
  response_started_ = true;
  stream_started_ = response_mode_ == ResponseMode::kStream;
  client_->BeginResponse(response_head_);
}

void Relay::OnFailure(net::CallFailure failure) {
  if (finished_) {
    return;
  }
  const absl::Time now = BootNow();
  ReleaseTargetResources();
  StopProcessWatch();
  const bool sent = connection_ == nullptr || connection_->sent();
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
  if (not_executed_) {
    // The head holds without its body, which is lost where the target closed
    // with a part of the request unread. No evidence of a crash either.
    OnNotExecuted();
    return;
  }
  state_.metrics.CountAttempt(net::NameOf(failure));
  LogFailedAttempt(net::NameOf(failure), 0, sent);
  if (!peer_.empty()) {
    OnPeerFailure(sent);
    return;
  }
  if (!sent) {
    --attempts_;
    ++connect_failures_;
    connect_time_ += now - sent_at_;
    state_.RecordUnreachable(target_, now);
    tried_targets_.push_back(target_);
    if (connect_failures_ >= kMaxDirectConnectFailures && SendThroughPeer()) {
      return;
    }
    if (MayConnectAgain() && HasTimeForAttempt(now)) {
      PlaceAndSend();
    } else {
      Refuse(Refusal::kNoTarget, absl::Milliseconds(500));
    }
    return;
  }
  may_have_run_ = true;
  state_.RecordFailure(target_, now);
  if (failure != net::CallFailure::kUnreadable) {
    state_.RecordBrokenConnection(target_, target_born_ms_, contents_, now);
  }
  RetryOrRefuse(Refusal::kTargetFailed);
}

bool Relay::MayConnectAgain() const {
  return connect_failures_ < kMaxConnectFailures ||
         (connect_failures_ < kMaxQuickConnectFailures &&
          connect_time_ < TargetPool::kConnectTimeout);
}

void Relay::OnNotExecuted() {
  state_.metrics.CountAttempt("not_run");
  RecordFailedResponse("not_run", BootNow());
  RetryOrRefuse(Refusal::kTargetBusy);
}

void Relay::OnPeerFailure(bool sent) {
  if (sent) {
    may_have_run_ = true;
    RetryOrRefuse(Refusal::kTargetFailed);
    return;
  }
  --attempts_;
  if (!SendThroughPeer()) {
    Refuse(Refusal::kNoTarget, absl::Milliseconds(500));
  }
}

void Relay::RecordFailedResponse(absl::string_view how, absl::Time now) {
  LogFailedAttempt(how, response_head_.status, true);
  if (peer_.empty()) {
    state_.RecordFailure(target_, now);
  }
}

void Relay::LogFailedAttempt(absl::string_view how, int status, bool sent) {
  const absl::Time now = BootNow();
  const std::string parts =
      absl::StrJoin(facts_.shared_parts, ",", [](std::string* out, auto part) {
        absl::StrAppend(out, absl::Hex(part.value()));
      });
  state_.log.Write(EventLog::Level::kImportant, "attempt_failed",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"how", how},
                    {"status", static_cast<int64_t>(status)},
                    {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
                    {"sent", sent},
                    {"parts", absl::string_view(parts)}},
                   now);
}

void Relay::OnClientProgress() {
  if (connection_ && client_->pending_bytes() <= MaxPendingBytes() / 2) {
    connection_->SetReadingPaused(false);
  }
}

}  // namespace umbertrail::front
