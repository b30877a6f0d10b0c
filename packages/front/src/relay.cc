#include "umbertrail/front/relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "umbertrail/base/hash.h"
#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/route_table.h"
#include "umbertrail/dispatch/urgency.h"

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

// No attempt is started with less time left than this.
constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(30);
// Another instance accepts a connection, and acknowledges bytes, within this.
constexpr absl::Duration kPeerConnectTimeout = absl::Milliseconds(150);
constexpr absl::Duration kPeerAckTimeout = absl::Seconds(1);

absl::string_view ReasonPhrase(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

}  // namespace

Relay::Relay(State& state,
             std::shared_ptr<net::ServerConnection> client,
             Origin origin)
    : state_(state),
      client_(std::move(client)),
      origin_(origin),
      started_(BootNow()),
      waiting_since_(started_),
      deadline_(absl::InfiniteFuture()),
      deadline_alarm_(state.loop),
      first_event_alarm_(state.loop),
      wait_alarm_(state.loop),
      buffer_charge_(state.memory, net::MemoryUse::kResponses) {}

bool Relay::is_stream() const {
  return dispatch::IsStream(route_->repeat);
}

void Relay::Start() {
  client_->Watch(shared_from_this());
  if (!Admit()) {
    return;
  }
  contents_.whole = Fingerprint(
      StableHash(client_->request().target,
                 StableHash(account_.text(), StableHash(*client_->body()))));
  contents_.parts = facts_.shared_parts;
  const absl::Duration kept = std::min(facts_.time_left, route_->timeout);
  deadline_ = started_ + kept;
  deadline_alarm_.Set(kept, shared_from_this(), &Relay::OnDeadline);
  if (origin_ == Origin::kClient) {
    state_.RetryBudgetOf(service_id_, started_)
        .NoteRequest(started_, state_.fleet_size.Divisor(started_));
  } else {
    // The other instance has counted the request.
    attempts_ = facts_.attempts_before.value_or(0);
  }
  PlaceAndSend();
}

bool Relay::Admit() {
  auto read = adapter::ReadRequest(client_->request());
  if (const auto* fault = std::get_if<std::string>(&read)) {
    state_.log.Write(EventLog::Level::kImportant, "unreadable",
                     {{"why", absl::string_view(*fault)}}, started_);
    Refuse(Refusal::kBadRequest, absl::ZeroDuration());
    return false;
  }
  facts_ = std::get<adapter::RequestMetadata>(read);
  const dispatch::AdmissionBounds bounds{state_.settings.revoke,
                                         state_.settings.strict_revocation};
  const auto admitted =
      dispatch::Admit(state_.view, state_.config_agreement.TrustAt(started_),
                      {facts_.host, facts_.path, facts_.key}, bounds, started_);
  if (const auto* refusal = std::get_if<Refusal>(&admitted)) {
    Refuse(*refusal, absl::Seconds(1));
    return false;
  }
  const auto& allowed = std::get<dispatch::Admitted>(admitted);
  config_ = state_.view.shared_config();
  route_ = allowed.route;
  if (allowed.account != nullptr) {
    account_ = allowed.account->id;
  }
  urgency_ = dispatch::UrgencyOf(*route_, allowed.account);
  service_id_ = dispatch::ChooseService(*route_, state_.Random());
  const auto service = config_->services.find(service_id_);
  service_ = service == config_->services.end() ? nullptr : &service->second;
  return true;
}

void Relay::PlaceAndSend() {
  if (RefuseIfBlocked(BootNow())) {
    return;
  }
  if (state_.links.lost() && SendThroughPeer()) {
    return;
  }
  RequestPlacement(
      [](Relay& relay, const PlacementReply& reply) { relay.OnPlaced(reply); });
}

bool Relay::SendThroughPeer() {
  const absl::Time now = BootNow();
  if (origin_ == Origin::kInstance || attempts_ >= route_->max_attempts ||
      !HasTimeForAttempt(now)) {
    return false;
  }
  const auto peer = state_.choose_stand_in(tried_peers_);
  const std::string& own_control = state_.settings.control_address;
  const size_t colon = own_control.rfind(':');
  if (!peer || colon == std::string::npos) {
    return false;
  }
  // All instances use the same port.
  const auto endpoint =
      net::ParseEndpoint(absl::StrCat(peer->text(), own_control.substr(colon)));
  if (!endpoint) {
    return false;
  }
  peer_ = *peer;
  tried_peers_.push_back(peer_);
  target_ = TargetId();
  adapter::RelayOptions options;
  options.time_left = deadline_ - now;
  options.attempts = attempts_;
  if (response_started_) {
    options.last_event = framer_.last_event_id();
  }
  const net::RequestHead head =
      adapter::WriteRelayedRequest(client_->request(), options);
  BeginAttempt(now);
  state_.log.Write(EventLog::Level::kNormal, "passed_on",
                   {{"request", facts_.id.text()},
                    {"instance", peer_.text()},
                    {"attempt", static_cast<int64_t>(attempts_)}},
                   now);
  connection_ = state_.peer_pool.Acquire(TargetId(peer_.text()), *endpoint);
  connection_->Call(*endpoint, kPeerConnectTimeout, kPeerAckTimeout,
                    net::WriteRequestHead(head, client_->body()->size()),
                    client_->body(), client_->request().method == "HEAD",
                    weak_from_this());
  return true;
}

void Relay::BeginAttempt(absl::Time now) {
  StopProcessWatch();
  first_event_alarm_.Cancel();
  sent_at_ = now;
  ++attempts_;
  response_mode_ = ResponseMode::kUndecided;
  target_sent_events_ = false;
  pauses_.Discard();
  reading_was_paused_ = false;
  not_executed_ = false;
  buffered_body_.clear();
  discarded_bytes_ = 0;
  (void)framer_.TakeRemainder();
}

bool Relay::RefuseIfBlocked(absl::Time now) {
  if (!state_.IsBlocked(contents_, now)) {
    return false;
  }
  is_trial_ = attempts_ == 0 && (is_trial_ || state_.TakeTrial(contents_, now));
  if (!is_trial_) {
    Refuse(Refusal::kPoison, dispatch::CrashEvidence::kBlockRetention);
  }
  return !is_trial_;
}

void Relay::OnPlaced(const PlacementReply& reply) {
  candidate_count_ = reply.candidate_count;
  earliest_first_event_ = reply.result.min_time_to_first_event;
  const absl::Duration next_accepting =
      state_.ShortestBackoff(service_id_, BootNow());
  if (reply.candidate_count == 0) {
    Refuse(Refusal::kNoTarget, next_accepting < absl::InfiniteDuration()
                                   ? next_accepting
                                   : absl::Milliseconds(500));
  } else if (!reply.result.decision) {
    if (WaitForPlace(reply.ask_again)) {
      return;
    }
    Refuse(Refusal::kOverloaded,
           std::min(next_accepting,
                    reply.result.retry_after * (1 + state_.Random() / 2)));
  } else {
    SendTo(*reply.result.decision);
  }
}

void Relay::SendTo(const dispatch::PlacementDecision& placed) {
  if (placed.reserve_per_helper > Tokens(0)) {
    ReserveAndSend(placed);
  } else {
    Send(placed);
  }
}

dispatch::RequestProfile Relay::ProfileAt(absl::Time now) const {
  dispatch::RequestProfile profile;
  profile.prompt = facts_.prompt;
  profile.aim = route_->aim;
  profile.max_event_gap = route_->gap_aim;
  profile.elapsed = now - waiting_since_;
  profile.time_remaining = deadline_ - waiting_since_;
  // Without urgencies all are alike.
  profile.urgency = state_.features.urgency ? urgency_ : 0;
  profile.is_retry = attempts_ > 0 || response_started_;
  if (!account_.empty()) {
    profile.account = AccountHash(StableHash(account_.text()));
  }
  if (state_.features.output_estimates) {
    profile.expected_events = ExpectedEvents(now);
  }
  return profile;
}

void Relay::RequestPlacement(void (*callback)(Relay& relay,
                                              const PlacementReply& reply)) {
  PlacementRequest placement_request;
  placement_request.shard.service = service_id_;
  placement_request.sender_data_centre = state_.settings.data_centre;
  placement_request.profile = ProfileAt(BootNow());
  placement_request.use_engine_model =
      service_ != nullptr && service_->engine && is_stream() &&
      state_.mode == dispatch::PlacementMode::kPredicted;
  placement_request.excluded_targets = tried_targets_;
  for (TargetId& target : state_.TargetsInBackoff(BootNow())) {
    placement_request.excluded_targets.push_back(std::move(target));
  }
  placement_request.excluded_helpers = excluded_helpers_;
  state_.placer->Place(
      std::move(placement_request),
      [weak = weak_from_this(), callback](const PlacementReply& reply) {
        const auto self = weak.lock();
        if (self && !self->finished_) {
          callback(*self, reply);
        }
      });
}

bool Relay::MayMoveToAnotherTarget(absl::Time now) const {
  return connection_ != nullptr && response_mode_ != ResponseMode::kStream &&
         dispatch::MayRunAgain(route_->repeat) &&
         CheckRetry(now) == RetryDecision::kAllowed;
}

void Relay::OnFirstEventOverdue() {
  const absl::Time now = BootNow();
  if (finished_ || !connection_ || response_mode_ == ResponseMode::kStream) {
    return;
  }
  state_.RecordFailure(target_, now);
  state_.RecordFirstEvent(target_, predicted_first_event_, now - sent_at_);
  // The target may still execute the request although it has sent no event.
  if (!MayMoveToAnotherTarget(now)) {
    return;
  }
  if (state_.links.lost()) {
    if (state_.choose_stand_in(tried_peers_) &&
        state_.TakeRetry(service_id_, facts_.id, now)) {
      may_have_run_ = true;
      DisconnectFromTarget();
      PlaceAndSend();
    }
    return;
  }
  tried_targets_.push_back(target_);
  RequestPlacement([](Relay& relay, const PlacementReply& reply) {
    relay.OnAlternativePlaced(reply);
  });
}

void Relay::OnAlternativePlaced(const PlacementReply& reply) {
  const absl::Time now = BootNow();
  if (tried_targets_.empty() || tried_targets_.back() != target_) {
    return;  // The attempt failed meanwhile and was retried elsewhere.
  }
  // The first event may have arrived during the placement request.
  if (!reply.result.decision ||
      reply.result.decision->reserve_per_helper > Tokens(0) ||
      !MayMoveToAnotherTarget(now) ||
      !state_.TakeRetry(service_id_, facts_.id, now)) {
    tried_targets_.pop_back();
    return;
  }
  state_.metrics.CountAttempt("overdue");
  state_.log.Write(
      EventLog::Level::kImportant, "attempt_overdue",
      {{"request", facts_.id.text()},
       {"target", target_.text()},
       {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
       {"expected_ms", absl::ToInt64Milliseconds(predicted_first_event_)}},
      now);
  may_have_run_ = true;
  DisconnectFromTarget();
  SendTo(*reply.result.decision);
}

void Relay::Send(const dispatch::PlacementDecision& placed) {
  const absl::Time now = BootNow();
  const dispatch::TargetEntry* entry = state_.view.Find(placed.target);
  if (entry == nullptr || !state_.view.MayServe(*entry) ||
      state_.InBackoff(placed.target, now)) {
    // The target left or asked for back-off during placement or reservation.
    Refuse(Refusal::kNoTarget, absl::Milliseconds(200));
    return;
  }
  if (RefuseIfBlocked(now)) {
    return;
  }
  if (!placed.charged_to_limit && !state_.ChargeLimit(*entry, now)) {
    // The target stated a limit during placement or reservation.
    ReleaseTargetResources();
    tried_targets_.push_back(placed.target);
    PlaceAndSend();
    return;
  }
  const auto endpoint = net::ParseEndpoint(entry->address);
  peer_ = InstanceId();
  target_ = placed.target;
  target_born_ms_ = entry->born_ms;
  adapter::ForwardOptions send;
  send.target = placed.target;
  send.account = account_;
  send.time_left = deadline_ - now;
  if (state_.features.urgency) {
    send.urgency = urgency_;
  }
  if (response_started_) {
    send.last_event = framer_.last_event_id();
  }
  send.helpers = HelperAddresses(placed);
  const net::RequestHead head = adapter::WriteRequest(client_->request(), send);
  if (work_ids_.empty()) {
    RegisterWork(placed);
  }
  reservation_used_ = true;
  state_.rates[target_].NoteSend(now);
  predicted_first_event_ = placed.time_to_first_event;
  BeginAttempt(now);
  state_.log.Write(
      EventLog::Level::kNormal, "sent",
      {{"request", facts_.id.text()},
       {"target", target_.text()},
       {"attempt", static_cast<int64_t>(attempts_)},
       {"prompt", facts_.prompt.value()},
       {"helpers", static_cast<int64_t>(placed.helpers.size())},
       {"expected_events", expected_events_},
       {"expected_ms", absl::ToInt64Milliseconds(predicted_first_event_)}},
      now);
  connection_ = state_.pool.Acquire(target_, *endpoint);
  connection_->Call(
      *endpoint, TargetPool::kConnectTimeout, TargetPool::kAckTimeout,
      net::WriteRequestHead(head, client_->body()->size()), client_->body(),
      client_->request().method == "HEAD", weak_from_this());
  if (is_stream()) {
    first_event_alarm_.Set(
        dispatch::RerouteTimeout(predicted_first_event_, route_->aim,
                                 route_->gap_aim),
        shared_from_this(), &Relay::OnFirstEventOverdue);
  }
}

bool Relay::HasTimeForAttempt(absl::Time now) const {
  return deadline_ - now > kMinAttemptTime;
}

absl::string_view Relay::NameOf(RetryDecision reason) {
  switch (reason) {
    case RetryDecision::kAllowed:
      return "";
    case RetryDecision::kMayHaveRun:
      return "may_have_run";
    case RetryDecision::kResponseStarted:
      return "answer_begun";
    case RetryDecision::kAttemptsExhausted:
      return "sends_used";
    case RetryDecision::kDeadlineTooClose:
      return "no_time";
    case RetryDecision::kBudgetExhausted:
      return "budget_spent";
  }
  return "";
}

Relay::RetryDecision Relay::CheckRetry(absl::Time now) const {
  if (may_have_run_ && !dispatch::MayRunAgain(route_->repeat)) {
    return RetryDecision::kMayHaveRun;
  }
  if (response_started_ &&
      (!stream_started_ || framer_.last_event_id().empty())) {
    return RetryDecision::kResponseStarted;
  }
  if (attempts_ >= route_->max_attempts) {
    return RetryDecision::kAttemptsExhausted;
  }
  return HasTimeForAttempt(now) ? RetryDecision::kAllowed
                                : RetryDecision::kDeadlineTooClose;
}

bool Relay::AcquireRetry(absl::Time now) {
  retry_decision_ = CheckRetry(now);
  if (retry_decision_ == RetryDecision::kAllowed &&
      !state_.TakeRetry(service_id_, facts_.id, now)) {
    retry_decision_ = RetryDecision::kBudgetExhausted;
  }
  return retry_decision_ == RetryDecision::kAllowed;
}

void Relay::RetryOrRefuse(Refusal refusal) {
  const absl::Time now = BootNow();
  if (peer_.empty()) {
    tried_targets_.push_back(target_);
  }
  if (target_sent_events_) {
    waiting_since_ = now;
  }
  if (AcquireRetry(now)) {
    PlaceAndSend();
    return;
  }
  Refuse(refusal, absl::Milliseconds(300));
}

void Relay::Refuse(Refusal refusal, absl::Duration retry_after) {
  if (finished_) {
    return;
  }
  const int status = dispatch::StatusOf(refusal, may_have_run_);
  state_.metrics.CountRefusal(dispatch::NameOf(refusal), may_have_run_);
  state_.log.Write(
      EventLog::Level::kImportant, "refused",
      {{"request", facts_.id.text()},
       {"why", dispatch::NameOf(refusal)},
       {"status", static_cast<int64_t>(status)},
       {"may_have_run", may_have_run_},
       {"sends", static_cast<int64_t>(attempts_)},
       {"not_again", NameOf(retry_decision_)},
       {"targets", static_cast<int64_t>(candidate_count_)},
       {"soonest_ms", earliest_first_event_ == absl::InfiniteDuration()
                          ? -1
                          : absl::ToInt64Milliseconds(earliest_first_event_)},
       {"left_ms", route_ == nullptr
                       ? -1
                       : absl::ToInt64Milliseconds(deadline_ - BootNow())},
       {"config_age_ms", absl::ToInt64Milliseconds(
                             BootNow() - state_.view.config_confirmed_at())},
       {"cut", response_started_}},
      BootNow());
  if (response_started_) {
    client_->Abort();
    Finish("cut");
    return;
  }
  net::ResponseHead head;
  head.status = status;
  head.reason = std::string{ReasonPhrase(status)};
  if (status == 503) {
    head.headers.Add("Retry-After",
                     absl::StrCat(absl::ToDoubleSeconds(retry_after)));
  }
  client_->Respond(std::move(head), "");
  Finish("refused");
}

void Relay::Finish(absl::string_view outcome) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_alarm_.Cancel();
  first_event_alarm_.Cancel();
  wait_alarm_.Cancel();
  DisconnectFromTarget();
  const absl::Time now = BootNow();
  if (route_ != nullptr) {
    state_.metrics.CountRequest(route_->repeat, outcome, now - started_);
  }
  EventLog::Fields fields = {
      {"request", facts_.id.text()},
      {"outcome", outcome},
      {"target_status", static_cast<int64_t>(response_head_.status)},
      {"target", target_.text()},
      {"sends", static_cast<int64_t>(attempts_)},
      {"not_again", NameOf(retry_decision_)},
      {"took_ms", absl::ToInt64Milliseconds(now - started_)}};
  AddLatencyFields(&fields);
  state_.log.Write(EventLog::Level::kNormal, "ended", fields, now);
}

void Relay::AddLatencyFields(EventLog::Fields* fields) const {
  if (route_ == nullptr) {
    return;
  }
  fields->push_back({"route", absl::string_view(route_->name)});
  fields->push_back({"aim_ms", absl::ToInt64Milliseconds(route_->aim)});
  if (!is_stream()) {
    return;
  }
  fields->push_back({"prompt", facts_.prompt.value()});
  if (time_to_first_event_ < absl::InfiniteDuration()) {
    fields->push_back(
        {"first_event_ms", absl::ToInt64Milliseconds(time_to_first_event_)});
    fields->push_back(
        {"longest_pause_ms", absl::ToInt64Milliseconds(max_event_gap_)});
  }
  if (route_->gap_aim < absl::InfiniteDuration()) {
    fields->push_back(
        {"pause_aim_ms", absl::ToInt64Milliseconds(route_->gap_aim)});
  }
}

void Relay::DisconnectFromTarget() {
  ReleaseTargetResources();
  StopProcessWatch();
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
}

void Relay::OnDeadline() {
  if (finished_) {
    return;
  }
  may_have_run_ = may_have_run_ || (connection_ && connection_->sent());
  DisconnectFromTarget();
  Refuse(Refusal::kTimeUsedUp, absl::ZeroDuration());
}

void Relay::OnClientGone() {
  Finish("client_gone");
}

}  // namespace umbertrail::front
