#include "umbertrail/front/relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "umbertrail/base/hash.h"
#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/route_table.h"

namespace umbertrail::front {
namespace {

using dispatch::Refusal;

// A machine that lives answers within this, also across data centres.
constexpr absl::Duration kConnectLimit = absl::Milliseconds(300);
// Sent bytes stay unacknowledged no longer than this at a living target.
constexpr absl::Duration kTargetSilence = absl::Seconds(3);
// Less time than this is not worth another attempt.
constexpr absl::Duration kMinTimeToTry = absl::Milliseconds(30);
// Helpers that may turn out to have no memory before a prompt is refused.
constexpr size_t kMaxHelpersWithoutMemory = 3;

absl::string_view ReasonOf(int status) {
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

Relay::Relay(State& state, std::shared_ptr<net::ServerConnection> client)
    : state_(state),
      client_(std::move(client)),
      started_(BootNow()),
      waits_since_(started_),
      deadline_(absl::InfiniteFuture()),
      deadline_alarm_(state.loop),
      overdue_alarm_(state.loop) {}

bool Relay::is_stream() const {
  return dispatch::IsStream(route_->repeat);
}

void Relay::Start() {
  client_->Watch(shared_from_this());
  if (!Admit()) {
    return;
  }
  content_ = Fingerprint(
      StableHash(client_->request().target,
                 StableHash(account_.text(), StableHash(*client_->body()))));
  const absl::Duration kept = std::min(facts_.time_left, route_->timeout);
  deadline_ = started_ + kept;
  deadline_alarm_.Set(kept, shared_from_this(), &Relay::OnDeadline);
  state_.RetryBudgetOf(service_id_).NoteRequest(started_);
  TryPlace();
}

bool Relay::Admit() {
  auto read = adapter::ReadRequest(client_->request());
  if (const auto* fault = std::get_if<std::string>(&read)) {
    state_.log.Write(EventLog::Level::kImportant, "unreadable",
                     {{"why", absl::string_view(*fault)}}, started_);
    Refuse(Refusal::kBadRequest, absl::ZeroDuration());
    return false;
  }
  facts_ = std::get<adapter::RequestFacts>(read);
  const dispatch::AdmissionBounds bounds{state_.settings.revoke,
                                         state_.settings.strict_revocation};
  const auto admitted = dispatch::Admit(
      state_.view, {facts_.host, facts_.path, facts_.key}, bounds, started_);
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
  service_id_ = dispatch::ChooseService(*route_, state_.Random());
  const auto service = config_->services.find(service_id_);
  service_ = service == config_->services.end() ? nullptr : &service->second;
  return true;
}

void Relay::TryPlace() {
  const absl::Time now = BootNow();
  if (state_.poison.IsPoison(content_, now)) {
    Refuse(Refusal::kPoison, dispatch::PoisonRegister::kMemory);
    return;
  }
  Place([](Relay& relay, const PlaceOffer& offer) { relay.OnPlaced(offer); });
}

void Relay::OnPlaced(const PlaceOffer& offer) {
  placed_among_ = offer.among;
  soonest_ = offer.result.soonest;
  const absl::Duration wanted = state_.ShortestBackoff(service_id_, BootNow());
  if (offer.among == 0) {
    Refuse(Refusal::kNoTarget, wanted < absl::InfiniteDuration()
                                   ? wanted
                                   : absl::Milliseconds(500));
  } else if (!offer.result.placed) {
    Refuse(
        Refusal::kOverloaded,
        std::min(wanted, offer.result.retry_after * (1 + state_.Random() / 2)));
  } else {
    SendTo(*offer.result.placed);
  }
}

void Relay::SendTo(const dispatch::Placed& placed) {
  if (placed.reserve_each > Tokens(0)) {
    SendJointly(placed);
  } else {
    Send(placed);
  }
}

dispatch::Shape Relay::ShapeAt(absl::Time now) const {
  dispatch::Shape shape;
  shape.prompt = facts_.prompt;
  shape.aim = route_->aim;
  shape.gap_aim = route_->gap_aim;
  shape.waited = now - waits_since_;
  shape.left = deadline_ - waits_since_;
  return shape;
}

void Relay::Place(void (*then)(Relay& relay, const PlaceOffer& offer)) {
  PlaceQuery query;
  query.shard.service = service_id_;
  query.from = state_.settings.data_centre;
  query.shape = ShapeAt(BootNow());
  query.by_engine = service_ != nullptr && service_->engine && is_stream() &&
                    state_.mode == dispatch::PlacementMode::kPredicted;
  query.excluded = tried_;
  for (TargetId& target : state_.TargetsInBackoff(BootNow())) {
    query.excluded.push_back(std::move(target));
  }
  query.no_helpers = no_helpers_;
  state_.placer->Place(std::move(query), [weak = weak_from_this(),
                                          then](const PlaceOffer& offer) {
    const auto self = weak.lock();
    if (self && !self->ended_) {
      then(*self, offer);
    }
  });
}

bool Relay::MayLeaveForAnother(absl::Time now) const {
  return connection_ != nullptr && use_ != AnswerUse::kStream &&
         dispatch::MayRunAgain(route_->repeat) &&
         WhyNotAgain(now) == NotAgain::kMayTry;
}

void Relay::OnOverdue() {
  const absl::Time now = BootNow();
  if (ended_ || !connection_ || use_ == AnswerUse::kStream) {
    return;
  }
  state_.RecordFailure(target_, now);
  state_.RecordFirstEvent(target_, predicted_, now - sent_at_);
  // What waits there may run, although nothing has come of it.
  if (!MayLeaveForAnother(now)) {
    return;
  }
  tried_.push_back(target_);
  Place([](Relay& relay, const PlaceOffer& offer) {
    relay.OnPlacedWhileOverdue(offer);
  });
}

void Relay::OnPlacedWhileOverdue(const PlaceOffer& offer) {
  const absl::Time now = BootNow();
  if (tried_.empty() || tried_.back() != target_) {
    return;  // It failed meanwhile and went on elsewhere.
  }
  // Its first event may have come while another place was looked for.
  if (!offer.result.placed || offer.result.placed->reserve_each > Tokens(0) ||
      !MayLeaveForAnother(now) ||
      !state_.RetryBudgetOf(service_id_).Take(now, state_.instances)) {
    tried_.pop_back();
    return;
  }
  state_.metrics.CountAttempt("overdue");
  state_.log.Write(EventLog::Level::kImportant, "attempt_overdue",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
                    {"expected_ms", absl::ToInt64Milliseconds(predicted_)}},
                   now);
  may_have_run_ = true;
  LeaveTarget();
  SendTo(*offer.result.placed);
}

void Relay::SendJointly(const dispatch::Placed& placed) {
  memory_ = std::make_shared<JointMemory>(state_, state_.NextReservation(),
                                          placed.reserve_each);
  memory_->Reserve(placed.helpers,
                   [weak = weak_from_this(), placed](const TargetId* without) {
                     const auto self = weak.lock();
                     if (!self || self->ended_) {
                       return;
                     }
                     if (without == nullptr) {
                       self->Send(placed);
                       return;
                     }
                     self->memory_.reset();
                     self->no_helpers_.push_back(*without);
                     if (self->no_helpers_.size() <= kMaxHelpersWithoutMemory) {
                       self->TryPlace();
                     } else {
                       self->Refuse(Refusal::kOverloaded, absl::Seconds(1));
                     }
                   });
}

void Relay::BeginWork(const dispatch::Placed& placed) {
  const dispatch::EngineModel* engine =
      service_ != nullptr && service_->engine ? &*service_->engine : nullptr;
  const absl::Time now = BootNow();
  for (const auto& [target, item] :
       dispatch::WorkOf(ShapeAt(now), engine, placed, now)) {
    work_.push_back(state_.board.Begin(target, item));
  }
}

void Relay::EndWork() {
  for (const dispatch::WorkId id : work_) {
    state_.board.End(id);
  }
  work_.clear();
  if (memory_) {
    memory_->Release();
    memory_.reset();
  }
}

void Relay::Send(const dispatch::Placed& placed) {
  const absl::Time now = BootNow();
  const dispatch::TargetEntry* entry = state_.view.Find(placed.target);
  if (entry == nullptr || !state_.view.MayServe(*entry) ||
      state_.InBackoff(placed.target, now)) {
    // It left, or was asked too much, while a place there or memory was sought.
    if (memory_) {
      memory_->Release();
      memory_.reset();
    }
    Refuse(Refusal::kNoTarget, absl::Milliseconds(200));
    return;
  }
  const auto endpoint = net::ParseEndpoint(entry->address);
  target_ = placed.target;
  born_ms_ = entry->born_ms;
  adapter::SendFacts send;
  send.target = placed.target;
  send.account = account_;
  send.time_left = deadline_ - now;
  if (answer_begun_) {
    send.last_event = framer_.last_id();
  }
  for (const TargetId& helper : placed.helpers) {
    const dispatch::TargetEntry* found = state_.view.Find(helper);
    if (found != nullptr) {
      send.helpers.push_back({found->address, memory_ ? memory_->name() : ""});
    }
  }
  const net::RequestHead head = adapter::WriteRequest(client_->request(), send);
  BeginWork(placed);
  state_.rates[target_].NoteSend(now);
  predicted_ = placed.first_event;
  sent_at_ = now;
  ++sends_;
  use_ = AnswerUse::kNone;
  gave_events_ = false;
  not_run_ = false;
  buffered_.clear();
  (void)framer_.TakeRest();
  state_.log.Write(EventLog::Level::kNormal, "sent",
                   {{"request", facts_.id.text()},
                    {"target", target_.text()},
                    {"attempt", static_cast<int64_t>(sends_)},
                    {"prompt", facts_.prompt.value()},
                    {"helpers", static_cast<int64_t>(placed.helpers.size())},
                    {"expected_ms", absl::ToInt64Milliseconds(predicted_)}},
                   now);
  connection_ = state_.pool.Take(target_, *endpoint);
  connection_->Call(*endpoint, kConnectLimit, kTargetSilence,
                    net::WriteRequestHead(head, client_->body()->size()),
                    client_->body(), client_->request().method == "HEAD",
                    weak_from_this());
  if (is_stream()) {
    overdue_alarm_.Set(
        dispatch::OverdueLimit(predicted_, route_->aim, route_->gap_aim),
        shared_from_this(), &Relay::OnOverdue);
  }
}

bool Relay::HasTimeToTry(absl::Time now) const {
  return deadline_ - now > kMinTimeToTry;
}

absl::string_view Relay::NameOf(NotAgain reason) {
  switch (reason) {
    case NotAgain::kMayTry:
      return "";
    case NotAgain::kMayHaveRun:
      return "may_have_run";
    case NotAgain::kAnswerBegun:
      return "answer_begun";
    case NotAgain::kSendsUsed:
      return "sends_used";
    case NotAgain::kNoTime:
      return "no_time";
    case NotAgain::kBudgetSpent:
      return "budget_spent";
  }
  return "";
}

Relay::NotAgain Relay::WhyNotAgain(absl::Time now) const {
  if (may_have_run_ && !dispatch::MayRunAgain(route_->repeat)) {
    return NotAgain::kMayHaveRun;
  }
  if (answer_begun_ && (!stream_begun_ || framer_.last_id().empty())) {
    return NotAgain::kAnswerBegun;
  }
  if (sends_ >= route_->max_attempts) {
    return NotAgain::kSendsUsed;
  }
  return HasTimeToTry(now) ? NotAgain::kMayTry : NotAgain::kNoTime;
}

bool Relay::TakeFurtherSend(absl::Time now) {
  not_again_ = WhyNotAgain(now);
  if (not_again_ == NotAgain::kMayTry &&
      !state_.RetryBudgetOf(service_id_).Take(now, state_.instances)) {
    not_again_ = NotAgain::kBudgetSpent;
  }
  return not_again_ == NotAgain::kMayTry;
}

void Relay::TryAgainOrEnd(Refusal refusal) {
  const absl::Time now = BootNow();
  tried_.push_back(target_);
  if (gave_events_) {
    waits_since_ = now;
  }
  if (TakeFurtherSend(now)) {
    TryPlace();
    return;
  }
  Refuse(refusal, absl::Milliseconds(300));
}

void Relay::Refuse(Refusal refusal, absl::Duration retry_after) {
  if (ended_) {
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
       {"sends", static_cast<int64_t>(sends_)},
       {"not_again", NameOf(not_again_)},
       {"targets", static_cast<int64_t>(placed_among_)},
       {"soonest_ms", soonest_ == absl::InfiniteDuration()
                          ? -1
                          : absl::ToInt64Milliseconds(soonest_)},
       {"left_ms", route_ == nullptr
                       ? -1
                       : absl::ToInt64Milliseconds(deadline_ - BootNow())},
       {"config_age_ms",
        absl::ToInt64Milliseconds(BootNow() - state_.view.confirmed_at())},
       {"cut", answer_begun_}},
      BootNow());
  if (answer_begun_) {
    client_->Cut();
    Finish("cut");
    return;
  }
  net::ResponseHead head;
  head.status = status;
  head.reason = std::string{ReasonOf(status)};
  if (status == 503) {
    head.headers.Add("Retry-After",
                     absl::StrCat(absl::ToDoubleSeconds(retry_after)));
  }
  client_->Answer(std::move(head), "");
  Finish("refused");
}

void Relay::Finish(absl::string_view outcome) {
  if (ended_) {
    return;
  }
  ended_ = true;
  deadline_alarm_.Cancel();
  overdue_alarm_.Cancel();
  LeaveTarget();
  const absl::Time now = BootNow();
  if (route_ != nullptr) {
    state_.metrics.CountRequest(route_->repeat, outcome, now - started_);
  }
  EventLog::Fields fields = {
      {"request", facts_.id.text()},
      {"outcome", outcome},
      {"target_status", static_cast<int64_t>(answer_.status)},
      {"target", target_.text()},
      {"sends", static_cast<int64_t>(sends_)},
      {"not_again", NameOf(not_again_)},
      {"took_ms", absl::ToInt64Milliseconds(now - started_)}};
  AddPromptness(&fields);
  state_.log.Write(EventLog::Level::kNormal, "ended", fields, now);
}

void Relay::AddPromptness(EventLog::Fields* fields) const {
  if (route_ == nullptr) {
    return;
  }
  fields->push_back({"route", absl::string_view(route_->name)});
  fields->push_back({"aim_ms", absl::ToInt64Milliseconds(route_->aim)});
  if (!is_stream()) {
    return;
  }
  fields->push_back({"prompt", facts_.prompt.value()});
  if (first_event_after_ < absl::InfiniteDuration()) {
    fields->push_back(
        {"first_event_ms", absl::ToInt64Milliseconds(first_event_after_)});
    fields->push_back(
        {"longest_pause_ms", absl::ToInt64Milliseconds(longest_pause_)});
  }
  if (route_->gap_aim < absl::InfiniteDuration()) {
    fields->push_back(
        {"pause_aim_ms", absl::ToInt64Milliseconds(route_->gap_aim)});
  }
}

void Relay::LeaveTarget() {
  EndWork();
  if (connection_) {
    connection_->Close();
    connection_.reset();
  }
}

void Relay::OnDeadline() {
  if (ended_) {
    return;
  }
  may_have_run_ = may_have_run_ || (connection_ && connection_->sent());
  LeaveTarget();
  Refuse(Refusal::kTimeUsedUp, absl::ZeroDuration());
}

void Relay::OnClientGone() {
  Finish("client_gone");
}

}  // namespace umbertrail::front
