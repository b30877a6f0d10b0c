#include "umbertrail/telemetry/node_observer.h"

#include <deque>
#include <utility>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "live_request.h"
#include "umbertrail/telemetry/alone_baseline.h"
#include "umbertrail/telemetry/names.h"

namespace umbertrail::telemetry {
namespace {

using detail::LiveRequest;
using detail::OpenHop;

// Probes that no reply came to are forgotten beyond this many.
constexpr size_t kOpenProbeLimit = 4096;

// Requests watched at once; further ones are not told of.
constexpr size_t kLiveLimit = 65536;

// The request that an event is about; empty when it is about none.
struct RequestOf {
  RequestId operator()(const core::RequestArrived& event) const {
    return event.spec.id;
  }
  RequestId operator()(const core::PeerReceived& event) const {
    return std::visit(*this, event.envelope.payload);
  }
  RequestId operator()(const core::SubmitForward& message) const {
    return message.spec.id;
  }
  template <typename T>
  RequestId operator()(const T& value) const {
    return Find(value, 0);
  }

 private:
  // Picks the `request` member where there is one.
  template <typename T>
  static auto Find(const T& value, int) -> decltype(RequestId(value.request)) {
    return value.request;
  }
  template <typename T>
  static RequestId Find(const T&, long) {
    return RequestId();
  }
};

}  // namespace

class NodeObserver::Impl {
 public:
  Impl(ObserverSinks sinks, ObserverOptions options)
      : sinks_(sinks),
        options_(std::move(options)),
        sampler_(options_.sampled_fraction),
        span_seed_(StableHash(options_.self.id.text(),
                              options_.self.incarnation.value())) {}

  void NoteCallerContext(const RequestId& request, const TraceContext& context);
  void OnEvent(absl::Time now, const core::Event& event);
  void OnActions(absl::Time now,
                 const core::Event& event,
                 const core::Actions& actions);
  std::optional<TraceContext> AttemptContext(const RequestId& request,
                                             AttemptNumber attempt) const;

  // Events.
  void See(const core::RequestArrived& event);
  void See(const core::CallerGone& event);
  void See(const core::TicketRequested& event);
  void See(const core::PeerReceived& event);
  void See(const core::PeerUnreachable& event);
  void See(const core::AttemptStarted& event);
  void See(const core::AttemptDone& event);
  void See(const core::AttemptFailed& event);
  void See(const core::TargetReported& event);
  void See(const core::TargetUnreachable& event);
  void See(const core::OrderAnswered& event);
  void See(const core::HeadRead& event);
  void See(const core::TargetListRead& event);
  void See(const core::ConfigUnreachable& event);
  void See(const core::StopRequested& event);

  // Actions.
  void See(const core::SendPeer& action);
  void See(const core::StartAttempt& action);
  void See(const core::CancelAttempt& action);
  void See(const core::RelayChunk& action);
  void See(const core::FinishRequest& action);
  void See(const core::TicketIssued& action);
  void See(const core::SendOrder& action);
  void See(const core::StopComplete& action);

  // Messages that came.
  void Receive(const InstanceId& from, const core::ProbeReply& message);
  void Receive(const InstanceId& from, const core::AdmitReply& message);
  void Receive(const InstanceId& from, const core::AdmitReady& message);
  void Receive(const InstanceId& from, const core::ScreenReply& message);
  void Receive(const InstanceId& from, const core::SubmitForward& message);
  void Receive(const InstanceId& from, const core::KeyGrantReply& message);

  // Messages that go.
  void Send(const InstanceId& to, const core::ProbeRequest& message);
  void Send(const InstanceId& to, const core::AdmitRequest& message);
  void Send(const InstanceId& to, const core::ScreenRequest& message);
  void Send(const InstanceId& to, const core::SubmitForward& message);
  void Send(const InstanceId& to, const core::SubmitResult& message);

  // Kinds without a handler above tell nothing beyond their count.
  template <typename T>
  void See(const T&) {}
  template <typename T>
  void Receive(const InstanceId&, const T&) {}
  template <typename T>
  void Send(const InstanceId&, const T&) {}

 private:
  struct OpenProbe {
    RequestId request;
    OpenHop hop;
  };
  // Probes of one round share their number and differ by target.
  using ProbeKey = std::pair<uint64_t, TargetId>;

  absl::Time Wall() const { return now_ + options_.wall_offset; }
  LiveRequest* FindLive(const RequestId& id);
  RequestId ProberOf(const core::ProbeRequest& message);
  void BeginLive(const core::RequestSpec& spec,
                 absl::Duration time_limit,
                 const InstanceId& forwarded_by);
  TraceContext ContextFor(const RequestId& id);
  SpanId NextSpan(const RequestId& id, LiveRequest& live) const;
  OpenHop Open(const RequestId& id, LiveRequest& live) const;
  Span SpanOf(const RequestId& id,
              const LiveRequest& live,
              Hop hop,
              const OpenHop& open) const;
  void Record(Span span);
  void Close(const RequestId& id,
             LiveRequest& live,
             Hop hop,
             std::optional<OpenHop>& open,
             std::optional<core::Reason> reason = std::nullopt);
  void CloseAttempt(const RequestId& id, LiveRequest& live, bool error);
  void CloseAll(const RequestId& id, LiveRequest& live);
  void SeeFirstToken(LiveRequest& live);
  // Closes a request's spans and history.
  void End(const RequestId& id, const core::Outcome& outcome);
  void CountOutcome(const RequestId& id, const core::Outcome& outcome);
  LogRecord RecordOf(LogLevel level, StaticText message) const;
  LogRecord RecordOf(LogLevel level,
                     StaticText message,
                     const RequestId& id) const;
  void LogOutcome(const RequestId& id,
                  const LiveRequest& live,
                  const core::Outcome& outcome);

  const ObserverSinks sinks_;
  const ObserverOptions options_;
  const HeadSampler sampler_;
  const uint64_t span_seed_;

  mutable absl::Mutex mutex_;
  // Of the event or actions at hand.
  absl::Time now_;
  RequestId subject_;
  absl::flat_hash_map<RequestId, TraceContext> caller_contexts_;
  absl::flat_hash_map<RequestId, LiveRequest> live_;
  absl::flat_hash_map<ProbeKey, OpenProbe> probes_;
  std::deque<ProbeKey> probe_order_;
  absl::flat_hash_map<TargetId, DataCentreId> data_centres_;
  absl::flat_hash_set<TargetId> unreachable_targets_;
  bool config_unreachable_ = false;
  ManifestRevision revision_seen_;
  AloneBaseline alone_;
};

void NodeObserver::Impl::NoteCallerContext(const RequestId& request,
                                           const TraceContext& context) {
  const absl::MutexLock lock(&mutex_);
  if (caller_contexts_.size() < kCallerContextLimit) {
    caller_contexts_[request] = context;
  }
}

void NodeObserver::Impl::OnEvent(absl::Time now, const core::Event& event) {
  const absl::MutexLock lock(&mutex_);
  now_ = now;
  std::visit([this](const auto& it) { See(it); }, event);
}

void NodeObserver::Impl::OnActions(absl::Time now,
                                   const core::Event& event,
                                   const core::Actions& actions) {
  const absl::MutexLock lock(&mutex_);
  now_ = now;
  subject_ = std::visit(RequestOf(), event);
  for (const core::Action& action : actions) {
    std::visit([this](const auto& it) { See(it); }, action);
  }
}

std::optional<TraceContext> NodeObserver::Impl::AttemptContext(
    const RequestId& request,
    AttemptNumber attempt) const {
  const absl::MutexLock lock(&mutex_);
  const auto it = live_.find(request);
  if (it == live_.end() || !it->second.attempt ||
      it->second.attempt->attempt != attempt) {
    return std::nullopt;
  }
  return TraceContext{it->second.trace, it->second.attempt->span,
                      it->second.sampled};
}

// -- Requests that run here

LiveRequest* NodeObserver::Impl::FindLive(const RequestId& id) {
  const auto it = live_.find(id);
  return it == live_.end() ? nullptr : &it->second;
}

TraceContext NodeObserver::Impl::ContextFor(const RequestId& id) {
  const auto it = caller_contexts_.find(id);
  if (it == caller_contexts_.end()) {
    return TraceContext{TraceOf(id), SpanId(), false};
  }
  const TraceContext out = it->second;
  caller_contexts_.erase(it);
  return out;
}

void NodeObserver::Impl::BeginLive(const core::RequestSpec& spec,
                                   absl::Duration time_limit,
                                   const InstanceId& forwarded_by) {
  if (live_.size() >= kLiveLimit) {
    return;
  }
  const TraceContext context = ContextFor(spec.id);
  LiveRequest live;
  live.trace = context.trace;
  live.parent = context.span;
  live.sampled = sampler_.Sample(context.trace, context.sampled);
  live.forwarded = !forwarded_by.empty();
  live.is_completion = spec.kind == core::RequestKind::kCompletion;
  live.account = spec.account;
  live.prompt = spec.prompt;
  live.arrived = now_;
  live.deadline = now_ + time_limit;
  live.root = NextSpan(spec.id, live);

  RequestHistory history;
  history.id = spec.id;
  history.trace = live.trace;
  history.kind = spec.kind;
  history.account = spec.account;
  history.model = spec.model;
  history.service = spec.service;
  history.call = spec.call;
  history.prompt = spec.prompt;
  history.length_class = core::ClassOf(spec.prompt);
  history.arrived = Wall();
  history.time_limit = time_limit;
  history.forwarded_by = forwarded_by;
  sinks_.histories->Begin(std::move(history));
  live_.insert_or_assign(spec.id, std::move(live));
}

// -- Spans

SpanId NodeObserver::Impl::NextSpan(const RequestId& id,
                                    LiveRequest& live) const {
  // The lowest bit is set so that no hash is the invalid span.
  return SpanId(StableHash(id.text(), span_seed_ + ++live.spans) | 1);
}

OpenHop NodeObserver::Impl::Open(const RequestId& id, LiveRequest& live) const {
  OpenHop out;
  out.span = NextSpan(id, live);
  out.start = now_;
  return out;
}

Span NodeObserver::Impl::SpanOf(const RequestId& id,
                                const LiveRequest& live,
                                Hop hop,
                                const OpenHop& open) const {
  Span span;
  span.trace = live.trace;
  span.id = open.span;
  span.parent = live.root;
  span.hop = hop;
  span.start = open.start + options_.wall_offset;
  span.end = Wall();
  span.request = id;
  span.account = live.account;
  span.target = open.target;
  span.peer = open.peer;
  if (open.attempt.value() != 0) {
    span.attempt = open.attempt;
  }
  return span;
}

void NodeObserver::Impl::Record(Span span) {
  sinks_.spans->Record(std::move(span));
}

void NodeObserver::Impl::Close(const RequestId& id,
                               LiveRequest& live,
                               Hop hop,
                               std::optional<OpenHop>& open,
                               std::optional<core::Reason> reason) {
  if (open && live.sampled) {
    Span span = SpanOf(id, live, hop, *open);
    span.reason = reason;
    span.error = reason && *reason != core::Reason::kOk;
    if (hop == Hop::kRelay) {
      span.tokens = live.relayed;
    }
    Record(std::move(span));
  }
  open.reset();
}

void NodeObserver::Impl::CloseAttempt(const RequestId& id,
                                      LiveRequest& live,
                                      bool error) {
  if (live.attempt && live.sampled) {
    Span span = SpanOf(id, live, Hop::kAttempt, *live.attempt);
    span.error = error;
    Record(std::move(span));
  }
  live.attempt.reset();
}

void NodeObserver::Impl::CloseAll(const RequestId& id, LiveRequest& live) {
  Close(id, live, Hop::kScreen, live.screen);
  Close(id, live, Hop::kAdmit, live.admit);
  Close(id, live, Hop::kQueue, live.queue);
  CloseAttempt(id, live, false);
  Close(id, live, Hop::kRelay, live.relay);
}

// -- Logs

LogRecord NodeObserver::Impl::RecordOf(LogLevel level,
                                       StaticText message) const {
  LogRecord out;
  out.level = level;
  out.time = Wall();
  out.message = message;
  return out;
}

LogRecord NodeObserver::Impl::RecordOf(LogLevel level,
                                       StaticText message,
                                       const RequestId& id) const {
  LogRecord out = RecordOf(level, message);
  out.request = id;
  const auto it = live_.find(id);
  out.trace_id = ToHex(it == live_.end() ? TraceOf(id) : it->second.trace);
  return out;
}

void NodeObserver::Impl::LogOutcome(const RequestId& id,
                                    const LiveRequest& live,
                                    const core::Outcome& outcome) {
  LogRecord out = RecordOf(LogLevel::kInfo, "request finished", id);
  out.account = live.account;
  out.target = live.target;
  out.data_centre = live.data_centre;
  out.reason = outcome.reason;
  out.ran = outcome.ran;
  out.tokens = live.relayed;
  out.duration = now_ - live.arrived;
  sinks_.log->Write(out);
}

// -- Events

void NodeObserver::Impl::See(const core::RequestArrived& event) {
  BeginLive(event.spec, event.time_limit, InstanceId());
  LogRecord out = RecordOf(LogLevel::kDebug, "request arrived", event.spec.id);
  out.account = event.spec.account;
  out.tokens = event.spec.prompt;
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::CallerGone& event) {
  sinks_.log->Write(RecordOf(LogLevel::kInfo, "caller gone", event.request));
}

void NodeObserver::Impl::See(const core::TicketRequested& event) {
  core::RequestSpec spec;
  spec.id = event.request;
  spec.kind = core::RequestKind::kServiceCall;
  spec.account = event.account;
  spec.service = event.service;
  spec.call = event.call;
  BeginLive(spec, absl::ZeroDuration(), InstanceId());
}

void NodeObserver::Impl::See(const core::PeerReceived& event) {
  const core::PeerEnvelope& envelope = event.envelope;
  sinks_.metrics->CountPeerMessage(Direction::kReceived, envelope.payload);
  std::visit([&](const auto& it) { Receive(envelope.from.id, it); },
             envelope.payload);
}

void NodeObserver::Impl::See(const core::PeerUnreachable& event) {
  LogRecord out = RecordOf(LogLevel::kWarning, "instance unreachable");
  out.peer = event.peer;
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::AttemptStarted& event) {
  sinks_.histories->AddStep(event.request, Wall(),
                            AttemptAcceptedStep{event.attempt});
}

void NodeObserver::Impl::See(const core::AttemptDone& event) {
  sinks_.histories->AddStep(
      event.request, Wall(),
      AttemptEndedStep{event.attempt, std::nullopt, event.total});
  LiveRequest* live = FindLive(event.request);
  if (live != nullptr && live->attempt &&
      live->attempt->attempt == event.attempt) {
    CloseAttempt(event.request, *live, false);
  }
}

void NodeObserver::Impl::See(const core::AttemptFailed& event) {
  sinks_.metrics->CountAttemptFailure(event.failure);
  sinks_.histories->AddStep(
      event.request, Wall(),
      AttemptEndedStep{event.attempt, event.failure, Tokens()});
  LogRecord out = RecordOf(LogLevel::kWarning, "attempt failed", event.request);
  out.attempt = event.attempt;
  out.failure = event.failure;
  LiveRequest* live = FindLive(event.request);
  if (live != nullptr && live->attempt &&
      live->attempt->attempt == event.attempt) {
    out.target = live->attempt->target;
    CloseAttempt(event.request, *live, true);
  }
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::TargetReported& event) {
  if (unreachable_targets_.erase(event.target) > 0) {
    LogRecord out = RecordOf(LogLevel::kInfo, "target reachable again");
    out.target = event.target;
    sinks_.log->Write(out);
  }
}

void NodeObserver::Impl::See(const core::TargetUnreachable& event) {
  if (unreachable_targets_.insert(event.target).second) {
    LogRecord out = RecordOf(LogLevel::kWarning, "target unreachable");
    out.target = event.target;
    sinks_.log->Write(out);
  }
}

void NodeObserver::Impl::See(const core::OrderAnswered& event) {
  const bool accepted = event.result == core::OrderAnswered::Result::kAccepted;
  LogRecord out = accepted ? RecordOf(LogLevel::kInfo, "order accepted")
                           : RecordOf(LogLevel::kWarning, "order not accepted");
  out.target = event.target;
  out.revision = event.fence;
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::HeadRead& event) {
  config_unreachable_ = false;
  if (event.head.revision <= revision_seen_) {
    return;
  }
  revision_seen_ = event.head.revision;
  LogRecord out = RecordOf(LogLevel::kInfo, "manifest revision published");
  out.revision = event.head.revision;
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::TargetListRead& event) {
  data_centres_.clear();
  for (const core::TargetInfo& it : event.targets) {
    data_centres_[it.id] = it.data_centre;
  }
}

void NodeObserver::Impl::See(const core::ConfigUnreachable&) {
  if (!std::exchange(config_unreachable_, true)) {
    sinks_.log->Write(
        RecordOf(LogLevel::kWarning, "configuration service unreachable"));
  }
}

void NodeObserver::Impl::See(const core::StopRequested&) {
  sinks_.log->Write(RecordOf(LogLevel::kInfo, "stop requested"));
}

// -- Messages that came

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::ProbeReply& message) {
  const auto it = probes_.find(ProbeKey(message.probe, message.target));
  if (it == probes_.end()) {
    return;
  }
  const OpenProbe probe = std::move(it->second);
  probes_.erase(it);
  sinks_.histories->AddStep(
      probe.request, Wall(),
      ProbeAnsweredStep{from, message.target, message.can_serve, message.reason,
                        message.first_token, message.matched_prefix});
  LiveRequest* live = FindLive(probe.request);
  if (live != nullptr) {
    std::optional<OpenHop> hop = probe.hop;
    Close(probe.request, *live, Hop::kProbe, hop, message.reason);
  }
}

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::AdmitReply& message) {
  sinks_.histories->AddStep(
      message.request, Wall(),
      AdmissionAnsweredStep{from, message.target, message.attempt,
                            message.decision, message.reason,
                            message.first_token});
  LiveRequest* live = FindLive(message.request);
  if (live == nullptr) {
    return;
  }
  Close(message.request, *live, Hop::kAdmit, live->admit, message.reason);
  if (message.decision != core::AdmitDecision::kQueued) {
    Close(message.request, *live, Hop::kQueue, live->queue, message.reason);
  } else if (!live->queue) {
    live->queue = Open(message.request, *live);
    live->queue->peer = from;
    live->queue->target = message.target;
    live->queue->attempt = message.attempt;
  }
}

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::AdmitReady& message) {
  sinks_.histories->AddStep(
      message.request, Wall(),
      TurnCameStep{from, message.target, message.attempt});
  LiveRequest* live = FindLive(message.request);
  if (live != nullptr) {
    Close(message.request, *live, Hop::kQueue, live->queue);
  }
}

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::ScreenReply& message) {
  sinks_.histories->AddStep(
      message.request, Wall(),
      ScreenAnsweredStep{from, message.attempt, message.verdict,
                         message.deaths});
  LiveRequest* live = FindLive(message.request);
  if (live != nullptr) {
    Close(message.request, *live, Hop::kScreen, live->screen);
  }
}

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::SubmitForward& message) {
  BeginLive(message.spec, message.time_left, from);
}

void NodeObserver::Impl::Receive(const InstanceId& from,
                                 const core::KeyGrantReply& message) {
  sinks_.histories->AddStep(message.request, Wall(),
                            KeyGrantStep{from, message.decision});
}

// -- Actions

void NodeObserver::Impl::See(const core::SendPeer& action) {
  sinks_.metrics->CountPeerMessage(Direction::kSent, action.payload);
  std::visit([&](const auto& it) { Send(action.to, it); }, action.payload);
}

void NodeObserver::Impl::See(const core::StartAttempt& action) {
  sinks_.metrics->CountAttempt();
  const RequestId& id = action.spec.id;
  sinks_.histories->AddStep(
      id, Wall(),
      AttemptSentStep{action.target, action.attempt, action.resume_offset,
                      action.group.size()});
  LiveRequest* live = FindLive(id);
  if (live == nullptr) {
    return;
  }
  // What was never answered ends here: the attempt goes on without it.
  Close(id, *live, Hop::kAdmit, live->admit);
  Close(id, *live, Hop::kQueue, live->queue);
  CloseAttempt(id, *live, true);
  live->attempt = Open(id, *live);
  live->attempt->target = action.target;
  live->attempt->attempt = action.attempt;
  live->target = action.target;
  const auto it = data_centres_.find(action.target);
  live->data_centre = it == data_centres_.end() ? DataCentreId() : it->second;
}

void NodeObserver::Impl::See(const core::CancelAttempt& action) {
  sinks_.histories->AddStep(
      action.request, Wall(),
      AttemptCancelledStep{action.target, action.attempt});
  LiveRequest* live = FindLive(action.request);
  if (live != nullptr && live->attempt &&
      live->attempt->attempt == action.attempt) {
    CloseAttempt(action.request, *live, true);
  }
}

void NodeObserver::Impl::SeeFirstToken(LiveRequest& live) {
  const absl::Duration first_token = now_ - live.arrived;
  const core::LengthClass length_class = core::ClassOf(live.prompt);
  sinks_.metrics->ObserveFirstToken(length_class, live.data_centre,
                                    first_token);
  if (length_class == core::LengthClass::kShort) {
    sinks_.metrics->ObserveShortSlowdown(
        alone_.Observe(now_, live.prompt, first_token));
  }
}

void NodeObserver::Impl::See(const core::RelayChunk& action) {
  sinks_.histories->AddRelayed(action.request, Wall(), action.tokens);
  LiveRequest* live = FindLive(action.request);
  if (live == nullptr) {
    return;
  }
  if (!live->relay) {
    live->relay = Open(action.request, *live);
    SeeFirstToken(*live);
  } else if (action.tokens > Tokens(0)) {
    const absl::Duration gap = now_ - live->last_relayed;
    sinks_.metrics->ObserveTokenGap(core::ClassOf(live->prompt),
                                    gap / action.tokens.value());
  }
  live->relayed += action.tokens;
  live->last_relayed = now_;
}

void NodeObserver::Impl::End(const RequestId& id,
                             const core::Outcome& outcome) {
  FinalOutcome final_outcome;
  final_outcome.reason = outcome.reason;
  final_outcome.ran = outcome.ran;
  final_outcome.total = outcome.total;
  sinks_.histories->Finish(id, Wall(), final_outcome);
  const auto it = live_.find(id);
  if (it == live_.end()) {
    return;
  }
  LiveRequest& live = it->second;
  CloseAll(id, live);
  LogOutcome(id, live, outcome);
  if (live.sampled) {
    OpenHop root;
    root.span = live.root;
    root.start = live.arrived;
    root.target = live.target;
    Span span = SpanOf(id, live, Hop::kCaller, root);
    span.parent = live.parent;
    span.reason = outcome.reason;
    span.ran = outcome.ran;
    span.tokens = live.relayed;
    span.error = outcome.reason != core::Reason::kOk;
    Record(std::move(span));
  }
  live_.erase(it);
}

void NodeObserver::Impl::CountOutcome(const RequestId& id,
                                      const core::Outcome& outcome) {
  const LiveRequest* live = FindLive(id);
  if (live != nullptr && !live->forwarded) {
    sinks_.metrics->CountOutcome(live->account, live->data_centre,
                                 outcome.reason, outcome.ran);
  }
}

void NodeObserver::Impl::See(const core::FinishRequest& action) {
  CountOutcome(action.request, action.outcome);
  End(action.request, action.outcome);
}

void NodeObserver::Impl::See(const core::TicketIssued& action) {
  sinks_.metrics->CountTicket();
  End(action.request, core::Outcome());
}

void NodeObserver::Impl::See(const core::SendOrder& action) {
  LogRecord out = RecordOf(LogLevel::kInfo, "order sent");
  out.target = action.target;
  out.revision = action.order.fence;
  sinks_.log->Write(out);
}

void NodeObserver::Impl::See(const core::StopComplete&) {
  sinks_.log->Write(RecordOf(LogLevel::kInfo, "stop complete"));
}

// -- Messages that go

RequestId NodeObserver::Impl::ProberOf(const core::ProbeRequest& message) {
  // A probe names no request, and timers may send one while an event of
  // another request is handled: the deadline tells whose it is.
  const absl::Time deadline = now_ + message.time_left;
  const LiveRequest* subject = FindLive(subject_);
  if (subject != nullptr && subject->deadline == deadline) {
    return subject_;
  }
  for (const auto& [id, live] : live_) {
    if (live.deadline == deadline) {
      return id;
    }
  }
  return RequestId();
}

void NodeObserver::Impl::Send(const InstanceId& to,
                              const core::ProbeRequest& message) {
  const RequestId id = ProberOf(message);
  LiveRequest* live = FindLive(id);
  if (live == nullptr) {
    return;
  }
  sinks_.histories->AddStep(id, Wall(), ProbeSentStep{to, message.target});
  OpenProbe probe;
  probe.request = id;
  probe.hop = Open(id, *live);
  probe.hop.peer = to;
  probe.hop.target = message.target;
  const ProbeKey key(message.probe, message.target);
  probes_[key] = std::move(probe);
  probe_order_.push_back(key);
  if (probe_order_.size() > kOpenProbeLimit) {
    probes_.erase(probe_order_.front());
    probe_order_.pop_front();
  }
}

void NodeObserver::Impl::Send(const InstanceId& to,
                              const core::AdmitRequest& message) {
  sinks_.histories->AddStep(
      message.request, Wall(),
      AdmissionAskedStep{to, message.target, message.attempt, message.claim});
  LiveRequest* live = FindLive(message.request);
  if (live == nullptr) {
    return;
  }
  live->admit = Open(message.request, *live);
  live->admit->peer = to;
  live->admit->target = message.target;
  live->admit->attempt = message.attempt;
}

void NodeObserver::Impl::Send(const InstanceId& to,
                              const core::ScreenRequest& message) {
  sinks_.histories->AddStep(message.request, Wall(),
                            ScreenAskedStep{to, message.attempt});
  LiveRequest* live = FindLive(message.request);
  if (live == nullptr) {
    return;
  }
  live->screen = Open(message.request, *live);
  live->screen->peer = to;
  live->screen->attempt = message.attempt;
}

void NodeObserver::Impl::Send(const InstanceId& to,
                              const core::SubmitForward& message) {
  sinks_.histories->AddStep(message.spec.id, Wall(),
                            SubmissionForwardedStep{to});
}

void NodeObserver::Impl::Send(const InstanceId&,
                              const core::SubmitResult& message) {
  // Ends only what another instance passed on.
  LiveRequest* live = FindLive(message.request);
  if (live != nullptr && live->forwarded) {
    End(message.request, message.outcome);
  }
}

NodeObserver::NodeObserver(ObserverSinks sinks, ObserverOptions options)
    : impl_(std::make_unique<Impl>(sinks, std::move(options))) {}
NodeObserver::~NodeObserver() = default;

void NodeObserver::NoteCallerContext(const RequestId& request,
                                     const TraceContext& context) {
  impl_->NoteCallerContext(request, context);
}

void NodeObserver::OnEvent(absl::Time now, const core::Event& event) {
  impl_->OnEvent(now, event);
}

void NodeObserver::OnActions(absl::Time now,
                             const core::Event& event,
                             const core::Actions& actions) {
  impl_->OnActions(now, event, actions);
}

std::optional<TraceContext> NodeObserver::AttemptContext(
    const RequestId& request,
    AttemptNumber attempt) const {
  return impl_->AttemptContext(request, attempt);
}

}  // namespace umbertrail::telemetry
