#include "umbertrail/front/peer_link.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "config_exchange.h"
#include "peer_codec.h"
#include "peer_message.h"
#include "peer_output.h"
#include "umbertrail/dispatch/freshness.h"

#include "absl/strings/string_view.h"

namespace umbertrail::front {
namespace {

using Udp = boost::asio::ip::udp;

// Full load reports are resent at this interval to make up for lost datagrams.
constexpr absl::Duration kHeartbeat = dispatch::Members::kGossipInterval;
// Changes are batched for this long per receiving instance, up to a bound that
// no caller notices.
constexpr absl::Duration kFlushDelayPerPeer = absl::Microseconds(100);
constexpr absl::Duration kMaxFlushDelay = absl::Milliseconds(2);
// Departures are disseminated for this long, which reaches everyone.
constexpr absl::Duration kDisseminationTime = absl::Seconds(3);
// An instance that serves requests for others was heard within this time.
constexpr absl::Duration kStandInHeard = absl::Milliseconds(1500);
// News that arrive within this time are forwarded together.
constexpr absl::Duration kForwardDelay = absl::Milliseconds(100);
// Maximum number of tracked senders.
constexpr size_t kMaxPeers = dispatch::FleetSize::kMaxInstances;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.find(':'));
}

}  // namespace

PeerLink::PeerLink(State& state, std::function<void()> on_peer_ahead)
    : state_(state),
      on_peer_ahead_(std::move(on_peer_ahead)),
      config_exchange_(std::make_unique<ConfigExchange>(state)),
      socket_(state.loop),
      heartbeat_(state.loop),
      flush_(state.loop),
      forward_(state.loop),
      ask_(state.loop) {
  for (const std::string& seed : state_.settings.seeds) {
    const std::string host = HostOf(seed);
    if (host != state_.settings.ip) {
      seeds_.emplace_back(host);
    }
  }
}

PeerLink::~PeerLink() = default;

boost::system::error_code PeerLink::Start() {
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address_v4(state_.settings.ip, error);
  if (!error) {
    socket_.open(Udp::v4(), error);
  }
  if (!error) {
    socket_.bind(Udp::endpoint(address, static_cast<unsigned short>(
                                            state_.settings.peer_port)),
                 error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    boost::system::error_code ignored;
    socket_.close(ignored);
    return error;
  }
  Receive();
  Heartbeat();
  return {};
}

void PeerLink::Stop() {
  PeerMessage message = NewMessage();
  message.full_report = true;
  message.leaving = true;
  for (const dispatch::Member* member : state_.members.Live(BootNow())) {
    Send(member->id, message);
  }
  heartbeat_.Cancel();
  flush_.Cancel();
  ask_.Cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), from_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t bytes) {
        if (!self->socket_.is_open()) {
          return;
        }
        if (!error) {
          self->HandleDatagram(absl::string_view(self->buffer_.data(), bytes),
                               self->from_.address().to_string());
        }
        self->Receive();
      });
}

void PeerLink::HandleDatagram(absl::string_view datagram,
                              const std::string& from) {
  const absl::Time now = BootNow();
  const auto decoded = DecodePeerDatagram(datagram);
  if (!IsOk(decoded)) {
    state_.log.Write(EventLog::Level::kImportant, "peer_unreadable",
                     {{"from", absl::string_view(from)},
                      {"why", absl::string_view(ErrorOf(decoded).message)}},
                     now);
    return;
  }
  const InstanceId id(from);
  if (peers_.size() >= kMaxPeers && peers_.count(id) == 0) {
    return;
  }
  const PeerMessage& message = ValueOf(decoded).message;
  Peer& peer = peers_[id];
  const bool is_new = message.incarnation != peer.incarnation;
  const bool out_of_order = !is_new && message.sequence <= peer.last_sequence;
  if (is_new) {
    state_.board.RemovePeer(id);
  }
  if (!out_of_order) {
    peer.incarnation = message.incarnation;
    peer.last_sequence = message.sequence;
    peer.heard = now;
    peer.reaches_targets = message.reaches_targets && !message.leaving;
    peer.sent_ms = ValueOf(decoded).trailer.sent_ms;
    peer.received = now;
    MergeMembers(message, id, now);
    ApplyLoadReport(message, id, now);
    ApplyTargetEvents(message, now);
    ApplyCrashes(message, now);
    MergeRouteOutputs(message, now, &state_.outputs);
    if (config_exchange_->HandleMessage(message, id, now)) {
      ScheduleForward();
    }
    CheckConfig();
  }
  if (message.leaving) {
    return;
  }
  ApplyStoreReading(ValueOf(decoded).trailer);
  for (const PeerPlacementReply& reply : message.placement_replies) {
    state_.placer->HandleReply(id, reply.id, FromWire(reply));
  }
  Reply(message, id);
}

void PeerLink::MergeMembers(const PeerMessage& message,
                            const InstanceId& from,
                            absl::Time now) {
  dispatch::Member sender;
  sender.id = from;
  sender.data_centre = DataCentreId(message.data_centre);
  sender.cpu_cores = message.cpu_millicores / 1000.0;
  sender.last_heard = now;
  sender.has_left = message.leaving;
  state_.members.Merge(sender);
  state_.members.ClearSuspicion(from);
  for (const dispatch::Member& member : DecodeMembers(message, now)) {
    state_.members.Merge(member);
  }
  if (const auto report = DecodeFleetSize(message)) {
    state_.fleet_size.Merge(*report, now);
  }
}

void PeerLink::ApplyLoadReport(const PeerMessage& message,
                               const InstanceId& from,
                               absl::Time now) {
  if (message.full_report || message.leaving) {
    state_.board.RemovePeer(from);
  }
  if (message.leaving) {
    return;
  }
  state_.board.RecordHeartbeat(from, now);
  for (const PeerTarget& target : message.targets) {
    std::vector<dispatch::WorkItem> items;
    items.reserve(target.work.size());
    for (const PeerWork& work : target.work) {
      items.push_back(FromWire(work, now));
    }
    if (!state_.board.SetPeerLoad(from, TargetId(target.target),
                                  std::move(items))) {
      state_.log.Write(EventLog::Level::kNormal, "peer_load_dropped",
                       {{"from", absl::string_view(from.text())},
                        {"target", absl::string_view(target.target)},
                        {"items", static_cast<int64_t>(target.work.size())}},
                       now);
    }
  }
}

void PeerLink::ApplyTargetEvents(const PeerMessage& message, absl::Time now) {
  for (const PeerDeparture& report : message.departures) {
    const TargetId target(report.target);
    if (state_.MarkLeaving(target, report.born_ms, now)) {
      pending_departures_.push_back(
          {target, report.born_ms, now + kDisseminationTime});
    }
  }
  for (const PeerLimit& wire : message.limits) {
    const auto limit = FromWire(wire, now);
    if (limit && state_.view.Find(limit->target) != nullptr) {
      state_.RecordLimit(*limit, now);
    }
  }
  for (const PeerOutcome& outcome : message.outcomes) {
    const TargetId target(outcome.target);
    if (state_.view.Find(target) == nullptr) {
      continue;
    }
    state_.health[target].MergePeerOutcomes(
        {static_cast<int>(outcome.successes),
         static_cast<int>(outcome.failures),
         static_cast<int>(outcome.first_events), outcome.latency_ratio},
        now);
    state_.RecordPauses(target, absl::Milliseconds(outcome.pause_ms),
                        outcome.pause_windows, now);
  }
}

void PeerLink::ApplyCrashes(const PeerMessage& message, absl::Time now) {
  if (const auto last_trial = DecodeLastTrial(message, now)) {
    state_.block_trials.Merge(*last_trial);
  }
  for (const PeerAnswer& answer : message.answers) {
    state_.crash_evidence.MergeAnswer(FromWire(answer, now));
  }
  bool news = false;
  for (const PeerCrash& report : message.crashes) {
    news = state_.crash_evidence.Merge(FromWire(report, now), now) || news;
  }
  if (news) {
    state_.LogNewBlocks(now);
  }
  // In small fleets whoever detects a crash tells everyone.
  if (news && !dispatch::AllInstancesAreHomes(state_.live_instances)) {
    ScheduleForward();
  }
}

void PeerLink::ScheduleForward() {
  if (!forward_armed_) {
    forward_armed_ = true;
    forward_.Set(kForwardDelay, shared_from_this(), &PeerLink::Forward);
  }
}

void PeerLink::Forward() {
  forward_armed_ = false;
  SendGossip(BootNow());
}

void PeerLink::CheckConfig() {
  const absl::Time now = BootNow();
  config_exchange_->Update(now);
  const auto question = state_.config_agreement.TakeQuestion(now);
  if (!question) {
    return;
  }
  PeerMessage message = NewMessage();
  message.config_requests.push_back({question->from.value()});
  Send(question->holder, message);
  // An answer may be lost.
  ask_.Set(dispatch::ConfigAgreement::kAskInterval, shared_from_this(),
           &PeerLink::CheckConfig);
}

void PeerLink::ApplyStoreReading(const PeerTrailer& trailer) {
  if (trailer.echo_ms == 0) {
    return;
  }
  dispatch::StoreReadReport reading;
  reading.our_incarnation = trailer.echo_incarnation;
  reading.our_message_sent = absl::FromUnixMillis(trailer.echo_ms);
  reading.read_after_receipt =
      absl::Milliseconds(trailer.reading_after_echo_ms);
  reading.revision = trailer.revision;
  reading.era = trailer.era;
  if (dispatch::IsAhead(reading, state_.known_store)) {
    on_peer_ahead_();
  } else if (dispatch::Confirms(reading, state_.known_store) &&
             dispatch::IsValidReport(reading, state_.incarnation, BootNow())) {
    state_.view.RecordConfirmation(dispatch::LocalReadTime(reading));
  }
}

void PeerLink::Reply(const PeerMessage& message, const InstanceId& from) {
  if (message.placement_requests.empty() && message.config_requests.empty() &&
      !message.wants_gossip) {
    return;
  }
  PeerMessage answer = NewMessage();
  config_exchange_->AddEntries(message, &answer);
  for (const PeerPlacementRequest& request : message.placement_requests) {
    answer.placement_replies.push_back(ToWire(
        request.id,
        state_.placer->HandleRequest(
            from, FromWire(request, DataCentreId(message.data_centre)))));
  }
  if (message.wants_gossip) {
    AddGossip(&answer, BootNow());
  }
  Send(from, answer);
}

PeerLink::TargetsByHome PeerLink::GroupByHome(
    const std::vector<TargetId>& targets,
    absl::Time now) {
  TargetsByHome by_home;
  for (const TargetId& target : targets) {
    const dispatch::TargetEntry* entry = state_.view.Find(target);
    const dispatch::Shard* shard =
        entry == nullptr ? nullptr : state_.Shards().Of(*entry);
    if (shard == nullptr) {
      continue;  // The target is gone.
    }
    for (const InstanceId& home : state_.HomesOf(*shard, now)) {
      by_home[home].push_back(target);
    }
  }
  return by_home;
}

std::vector<InstanceId> PeerLink::ChooseGossipPartners(absl::Time now) {
  const size_t count = dispatch::AllInstancesAreHomes(state_.live_instances)
                           ? static_cast<size_t>(state_.live_instances)
                           : dispatch::Members::kGossipFanout;
  std::vector<InstanceId> partners =
      state_.members.SamplePeers(now, count, state_.random);
  // A silent seed may have restarted, or may not know this instance yet.
  std::vector<InstanceId> silent;
  std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(silent),
               [&](const InstanceId& seed) {
                 const auto peer = peers_.find(seed);
                 return peer == peers_.end() ||
                        now - peer->second.heard >
                            state_.members.FailureTimeout();
               });
  std::sample(silent.begin(), silent.end(), std::back_inserter(partners),
              partners.empty() ? silent.size() : 1, state_.random);
  return partners;
}

void PeerLink::Heartbeat() {
  const absl::Time now = BootNow();
  state_.board.RemoveTimedOutPeers(now);
  state_.view.RemoveExpired(now);
  state_.members.RemoveExpired(now);
  state_.limits.Forget([this](const TargetId& target) {
    return state_.view.Find(target) == nullptr;
  });
  state_.CountInstances(now);
  state_.CheckLinks(now);
  state_.crash_evidence.RemoveExpired(now);
  CheckConfig();
  if (state_.placer) {
    state_.placer->SampleLoad(now);
  }
  pending_departures_.erase(
      std::remove_if(pending_departures_.begin(), pending_departures_.end(),
                     [&](const PendingDeparture& d) { return now >= d.until; }),
      pending_departures_.end());
  TargetsByHome by_home = GroupByHome(state_.board.OwnTargets(), now);
  const std::vector<InstanceId> partners = ChooseGossipPartners(now);
  const std::set<InstanceId> gossip_partners(partners.begin(), partners.end());
  for (const InstanceId& partner : partners) {
    by_home.try_emplace(partner);
  }
  const bool small_fleet =
      dispatch::AllInstancesAreHomes(state_.live_instances);
  for (const auto& [to, targets] : by_home) {
    PeerMessage message = NewMessage();
    message.full_report = true;
    AddLoadReport(targets, &message, now);
    if (!small_fleet) {
      AddOutcomes(targets, &message);
    }
    if (gossip_partners.count(to) > 0) {
      message.wants_gossip = !small_fleet || !state_.config_agreement.settled();
      AddGossip(&message, now);
    }
    Send(to, message);
  }
  state_.unreported_outcomes.clear();
  heartbeat_.Set(kHeartbeat, shared_from_this(), &PeerLink::Heartbeat);
}

void PeerLink::ScheduleFlush() {
  if (flush_armed_) {
    return;
  }
  flush_armed_ = true;
  flush_.Set(std::min(kMaxFlushDelay,
                      kFlushDelayPerPeer * (state_.live_instances + 1)),
             shared_from_this(), &PeerLink::Flush);
}

void PeerLink::Flush() {
  flush_armed_ = false;
  const absl::Time now = BootNow();
  const bool small_fleet =
      dispatch::AllInstancesAreHomes(state_.live_instances);
  const std::vector<TargetId> changed = state_.board.TakeChangedTargets();
  const TargetsByHome by_home = GroupByHome(changed, now);
  for (const auto& [to, targets] : by_home) {
    PeerMessage message = NewMessage();
    AddLoadReport(targets, &message, now);
    if (!small_fleet) {
      AddOutcomes(targets, &message);
    }
    Send(to, message);
  }
  // Others have had pauses, but no change; the next heartbeat reports them.
  for (const TargetId& target : changed) {
    state_.unreported_outcomes.erase(target);
  }
}

void PeerLink::PublishCrashes() {
  SendGossip(BootNow());
}

void PeerLink::PublishDeparture(const TargetId& target, int64_t born_ms) {
  const absl::Time now = BootNow();
  pending_departures_.push_back({target, born_ms, now + kDisseminationTime});
  SendGossip(now);
}

void PeerLink::PublishLimit(const TargetId& target) {
  const absl::Time now = BootNow();
  SendGossip(now);
  // Homes place the requests of others, too, so they must know at once.
  for (const auto& [home, targets] : GroupByHome({target}, now)) {
    PeerMessage message = NewMessage();
    AddLimits(&message, now);
    Send(home, message);
  }
}

void PeerLink::SendGossip(absl::Time now) {
  for (const InstanceId& partner : ChooseGossipPartners(now)) {
    PeerMessage message = NewMessage();
    AddGossip(&message, now);
    Send(partner, message);
  }
}

std::optional<InstanceId> PeerLink::ChooseStandIn(
    const std::vector<InstanceId>& excluded) {
  const absl::Time now = BootNow();
  std::vector<InstanceId> possible;
  for (const auto& [id, peer] : peers_) {
    if (peer.reaches_targets && now - peer.heard <= kStandInHeard &&
        std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
      possible.push_back(id);
    }
  }
  if (possible.empty()) {
    return std::nullopt;
  }
  return possible[std::uniform_int_distribution<size_t>(
      0, possible.size() - 1)(state_.random)];
}

void PeerLink::SendPlacementRequest(const InstanceId& home,
                                    uint64_t id,
                                    const PlacementRequest& request) {
  PeerMessage message = NewMessage();
  message.placement_requests.push_back(ToWire(id, request));
  Send(home, message);
}

}  // namespace umbertrail::front
