#include "umbertrail/front/peer_link.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peer_message.h"
#include "umbertrail/dispatch/freshness.h"

#include "absl/strings/string_view.h"

namespace umbertrail::front {
namespace {

using Udp = boost::asio::ip::udp;

// Everything is told again this often, against lost datagrams.
constexpr absl::Duration kHeartbeat = absl::Milliseconds(400);
// Changes wait this long for others, for each peer that will be told.
constexpr absl::Duration kFlushWaitPerPeer = absl::Microseconds(100);
// A peer that has been silent for this is told no more, seeds aside.
constexpr absl::Duration kForgetPeer = absl::Seconds(20);
// Peers that one message names; over some messages all become known.
constexpr int kNamedPeers = 8;
constexpr uint8_t kReadingFlag = 1;
constexpr uint8_t kHelpingFlag = 2;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.find(':'));
}

PeerWork ToWire(const dispatch::WorkItem& item, absl::Time now) {
  PeerWork work;
  work.age_ms = static_cast<uint32_t>(
      std::max<int64_t>(0, absl::ToInt64Milliseconds(now - item.since)));
  work.read_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(item.read_time));
  work.flags = static_cast<uint8_t>((item.reading ? kReadingFlag : 0) |
                                    (item.helping ? kHelpingFlag : 0));
  if (item.expected != absl::InfiniteDuration()) {
    work.expected_ms =
        static_cast<uint32_t>(absl::ToInt64Milliseconds(item.expected));
  }
  work.gap_ms =
      item.gap_aim == absl::InfiniteDuration()
          ? 0
          : static_cast<uint32_t>(absl::ToInt64Milliseconds(item.gap_aim));
  work.worth = static_cast<float>(item.worth);
  return work;
}

dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now) {
  dispatch::WorkItem item;
  item.since = now - absl::Milliseconds(work.age_ms);
  item.read_time = absl::Milliseconds(work.read_ms);
  item.reading = (work.flags & kReadingFlag) != 0;
  item.helping = (work.flags & kHelpingFlag) != 0;
  if (work.expected_ms != 0) {
    item.expected = absl::Milliseconds(work.expected_ms);
  }
  item.gap_aim = work.gap_ms == 0 ? absl::InfiniteDuration()
                                  : absl::Milliseconds(work.gap_ms);
  item.worth = work.worth;
  return item;
}

}  // namespace

PeerLink::PeerLink(State& state, std::function<void()> on_behind)
    : state_(state),
      on_behind_(std::move(on_behind)),
      socket_(state.loop),
      heartbeat_(state.loop),
      flush_(state.loop) {
  for (const std::string& seed : state_.settings.seeds) {
    const std::string host = HostOf(seed);
    if (host != state_.settings.ip) {
      peers_[host].is_seed = true;
    }
  }
}

bool PeerLink::Start() {
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
    return false;
  }
  Receive();
  Heartbeat();
  return true;
}

void PeerLink::Stop() {
  PeerMessage message;
  message.incarnation = state_.life;
  message.sequence = ++sequence_;
  message.whole = true;
  message.leaving = true;
  SendToAll(EncodePeerMessage(message), /*also_silent=*/false);
  heartbeat_.Cancel();
  flush_.Cancel();
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
          self->Take(absl::string_view(self->buffer_.data(), bytes),
                     self->from_.address().to_string());
        }
        self->Receive();
      });
}

void PeerLink::Take(absl::string_view datagram, const std::string& from) {
  const absl::Time now = BootNow();
  const auto decoded = DecodePeerDatagram(datagram);
  if (!IsOk(decoded)) {
    state_.log.Write(EventLog::Level::kImportant, "peer_unreadable",
                     {{"from", absl::string_view(from)},
                      {"why", absl::string_view(ErrorOf(decoded).message)}},
                     now);
    return;
  }
  const PeerMessage& message = ValueOf(decoded).message;
  Peer& peer = peers_[from];
  const InstanceId id(from);
  if (message.incarnation == peer.incarnation &&
      message.sequence <= peer.last_sequence) {
    return;  // Overtaken by a newer one.
  }
  if (message.incarnation != peer.incarnation || message.whole) {
    state_.board.ForgetPeer(id);
  }
  peer.incarnation = message.incarnation;
  peer.last_sequence = message.sequence;
  peer.heard = now;
  if (message.leaving) {
    return;
  }
  peer.sent_ms = ValueOf(decoded).trailer.sent_ms;
  peer.received = now;
  TakeReading(ValueOf(decoded).trailer);
  state_.board.NotePeer(id, now);
  for (const PeerTarget& target : message.targets) {
    std::vector<dispatch::WorkItem> items;
    items.reserve(target.work.size());
    for (const PeerWork& work : target.work) {
      items.push_back(FromWire(work, now));
    }
    state_.board.SetPeer(id, TargetId(target.target), std::move(items));
  }
  for (const PeerDeath& death : message.deaths) {
    state_.poison.NoteDeath(
        {Fingerprint(death.content), TargetId(death.target)}, now);
  }
  for (const std::string& address : message.peers) {
    if (address != state_.settings.ip) {
      peers_.try_emplace(address);
    }
  }
}

void PeerLink::TakeReading(const PeerTrailer& trailer) {
  if (trailer.heard_ms == 0) {
    return;
  }
  dispatch::PeerReading reading;
  reading.our_message_sent = absl::FromUnixMillis(trailer.heard_ms);
  reading.reading_after_receipt = absl::Milliseconds(trailer.reading_after_ms);
  reading.revision = trailer.revision;
  if (dispatch::Confirms(reading, state_.known_revision)) {
    state_.view.Confirm(std::min(dispatch::MomentOf(reading), BootNow()));
  } else if (reading.revision > state_.known_revision) {
    on_behind_();
  }
}

void PeerLink::NameSomePeers(absl::Time now, std::vector<std::string>* out) {
  std::vector<std::string> heard;
  for (const auto& [address, peer] : peers_) {
    if (now - peer.heard < dispatch::LoadBoard::kPeerSilence) {
      heard.push_back(address);
    }
  }
  std::sample(heard.begin(), heard.end(), std::back_inserter(*out), kNamedPeers,
              state_.random);
}

std::string PeerLink::Encode(const std::vector<TargetId>& targets, bool whole) {
  const absl::Time now = BootNow();
  PeerMessage message;
  message.incarnation = state_.life;
  message.sequence = ++sequence_;
  message.whole = whole;
  if (whole) {
    NameSomePeers(now, &message.peers);
  }
  for (const TargetId& target : targets) {
    PeerTarget entry;
    entry.target = target.text();
    for (const dispatch::WorkItem& item : state_.board.OwnAt(target)) {
      entry.work.push_back(ToWire(item, now));
    }
    message.targets.push_back(std::move(entry));
  }
  for (const dispatch::Death& death : deaths_) {
    message.deaths.push_back({death.content.value(), death.target.text()});
  }
  deaths_.clear();
  return EncodePeerMessage(message);
}

void PeerLink::SendTo(const std::string& address,
                      const Peer& peer,
                      const std::string& bytes) {
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address_v4(address, error);
  if (error) {
    return;  // A peer named something that is no address.
  }
  PeerTrailer trailer;
  trailer.sent_ms = absl::ToUnixMillis(BootNow());
  if (peer.sent_ms != 0 && state_.view.has_config()) {
    trailer.heard_ms = peer.sent_ms;
    trailer.reading_after_ms = absl::ToInt64Milliseconds(absl::Floor(
        state_.view.confirmed_at() - peer.received, absl::Milliseconds(1)));
    trailer.revision = state_.known_revision;
  }
  const std::string datagram = bytes + EncodePeerTrailer(trailer);
  socket_.send_to(boost::asio::buffer(datagram),
                  Udp::endpoint(host, static_cast<unsigned short>(
                                          state_.settings.peer_port)),
                  0, error);
  // A full buffer costs one message; the next one tells the same and more.
}

void PeerLink::SendToAll(const std::string& bytes, bool also_silent) {
  const absl::Time now = BootNow();
  for (const auto& [address, peer] : peers_) {
    const bool talks = now - peer.heard < dispatch::LoadBoard::kPeerSilence;
    const bool may_return =
        also_silent && (peer.is_seed || now - peer.heard < kForgetPeer ||
                        peer.incarnation == 0);
    if (talks || may_return) {
      SendTo(address, peer, bytes);
    }
  }
}

void PeerLink::Heartbeat() {
  const absl::Time now = BootNow();
  state_.board.ForgetSilent(now);
  state_.view.ForgetLapsed(now);
  CountInstances(now);
  SendToAll(Encode(state_.board.OwnTargets(), /*whole=*/true),
            /*also_silent=*/true);
  (void)state_.board.TakeChanged();
  heartbeat_.Set(kHeartbeat, shared_from_this(), &PeerLink::Heartbeat);
}

void PeerLink::CountInstances(absl::Time now) {
  const auto heard =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return now - entry.second.heard < dispatch::LoadBoard::kPeerSilence;
      });
  state_.live_instances = static_cast<int>(heard) + 1;
  state_.instances = std::max(state_.instances, static_cast<int>(heard) + 1);
}

void PeerLink::FlushSoon() {
  if (flush_armed_) {
    return;
  }
  flush_armed_ = true;
  flush_.Set(kFlushWaitPerPeer * static_cast<double>(peers_.size() + 1),
             shared_from_this(), &PeerLink::Flush);
}

void PeerLink::Flush() {
  flush_armed_ = false;
  const std::vector<TargetId> changed = state_.board.TakeChanged();
  if (changed.empty() && deaths_.empty()) {
    return;
  }
  SendToAll(Encode(changed, /*whole=*/false), /*also_silent=*/false);
}

void PeerLink::TellDeaths(const std::vector<dispatch::Death>& deaths) {
  deaths_.insert(deaths_.end(), deaths.begin(), deaths.end());
  FlushSoon();
}

}  // namespace umbertrail::front
