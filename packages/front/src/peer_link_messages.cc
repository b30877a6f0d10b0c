#include "umbertrail/front/peer_link.h"

#include <algorithm>
#include <iterator>

#include "config_exchange.h"
#include "peer_codec.h"
#include "peer_message.h"
#include "peer_output.h"

// What an instance puts into its messages, and how they are sent.

namespace umbertrail::front {
namespace {

using Udp = boost::asio::ip::udp;

// Members per message in a fleet where all instances gossip with each other.
constexpr size_t kMembersInSmallFleet = 8;
// Maximum departures, and likewise limits, per message.
constexpr size_t kMaxDisseminated = 32;

}  // namespace

PeerMessage PeerLink::NewMessage() {
  PeerMessage message;
  message.incarnation = state_.incarnation;
  message.sequence = ++sequence_;
  message.data_centre = state_.settings.data_centre.text();
  message.reaches_targets = serves_others_ && state_.view.has_config() &&
                            !state_.links.lost() &&
                            !state_.settings.control_address.empty();
  message.cpu_millicores =
      static_cast<uint32_t>(state_.settings.cpu_cores * 1000);
  return message;
}

void PeerLink::AddGossip(PeerMessage* message, absl::Time now) {
  const bool small_fleet =
      dispatch::AllInstancesAreHomes(state_.live_instances);
  EncodeMembers(state_.members.SampleForGossip(
                    now,
                    small_fleet ? kMembersInSmallFleet
                                : dispatch::Members::kMaxMembersPerMessage,
                    state_.random),
                now, message);
  EncodeFleetSize(state_.fleet_size.Report(now), message);
  for (const PendingDeparture& departure : pending_departures_) {
    if (message->departures.size() < kMaxDisseminated) {
      message->departures.push_back(
          {departure.target.text(), departure.born_ms});
    }
  }
  AddCrashes(message, now);
  AddLimits(message, now);
  AddRouteOutputs(state_.outputs, now, state_.random, message);
  config_exchange_->AddClaim(message, now);
}

void PeerLink::AddCrashes(PeerMessage* message, absl::Time now) {
  EncodeLastTrial(state_.block_trials.last(), now, message);
  const dispatch::CrashEvidence::Report report =
      state_.crash_evidence.ToTell(now);
  for (const dispatch::TargetCrash& crash : report.crashes) {
    message->crashes.push_back(ToWire(crash, now));
  }
  for (const dispatch::AnsweredContent& answer : report.answers) {
    message->answers.push_back(ToWire(answer, now));
  }
}

void PeerLink::AddLimits(PeerMessage* message, absl::Time now) {
  const std::vector<dispatch::TargetLimit> limits = state_.limits.ToTell(now);
  std::vector<dispatch::TargetLimit> chosen;
  std::sample(limits.begin(), limits.end(), std::back_inserter(chosen),
              kMaxDisseminated, state_.random);
  for (const dispatch::TargetLimit& limit : chosen) {
    message->limits.push_back(ToWire(limit, now));
  }
}

void PeerLink::AddLoadReport(const std::vector<TargetId>& targets,
                             PeerMessage* message,
                             absl::Time now) const {
  for (const TargetId& target : targets) {
    PeerTarget entry;
    entry.target = target.text();
    for (const dispatch::WorkItem& item : state_.board.OwnLoadAt(target)) {
      entry.work.push_back(ToWire(item, now));
    }
    message->targets.push_back(std::move(entry));
  }
}

void PeerLink::AddOutcomes(const std::vector<TargetId>& targets,
                           PeerMessage* message) {
  for (const TargetId& target : targets) {
    const auto found = state_.unreported_outcomes.find(target);
    if (found == state_.unreported_outcomes.end()) {
      continue;
    }
    const UnreportedOutcomes& outcomes = found->second;
    PeerOutcome wire;
    wire.target = target.text();
    wire.successes = static_cast<uint32_t>(outcomes.successes);
    wire.failures = static_cast<uint32_t>(outcomes.failures);
    wire.first_events = static_cast<uint32_t>(outcomes.first_events);
    if (outcomes.first_events > 0) {
      wire.latency_ratio = static_cast<float>(outcomes.latency_ratio_sum /
                                              outcomes.first_events);
    }
    if (outcomes.pause_windows > 0) {
      wire.pause_windows = static_cast<uint32_t>(outcomes.pause_windows);
      wire.pause_ms = static_cast<float>(absl::ToDoubleMilliseconds(
          outcomes.pause_sum / outcomes.pause_windows));
    }
    message->outcomes.push_back(std::move(wire));
  }
}

void PeerLink::Send(const InstanceId& to, const PeerMessage& message) {
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address_v4(to.text(), error);
  if (error || to.text() == state_.settings.ip) {
    return;
  }
  PeerTrailer trailer;
  trailer.sent_ms = absl::ToUnixMillis(BootNow());
  const auto peer = peers_.find(to);
  if (peer != peers_.end() && peer->second.sent_ms != 0 &&
      state_.view.has_config()) {
    trailer.echo_ms = peer->second.sent_ms;
    trailer.echo_incarnation = peer->second.incarnation;
    trailer.reading_after_echo_ms = absl::ToInt64Milliseconds(
        absl::Floor(state_.view.confirmed_at() - peer->second.received,
                    absl::Milliseconds(1)));
    trailer.revision = state_.known_store.revision;
    trailer.era = state_.known_store.era;
  }
  const std::string datagram =
      EncodePeerMessage(message) + EncodePeerTrailer(trailer);
  socket_.send_to(boost::asio::buffer(datagram),
                  Udp::endpoint(host, static_cast<unsigned short>(
                                          state_.settings.peer_port)),
                  0, error);
  // A message lost to a full buffer is superseded by the next one.
}

}  // namespace umbertrail::front
