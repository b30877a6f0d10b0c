#include "umbertrail/front/peer_link.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "front/running_front.h"
#include "peer_message.h"

namespace umbertrail::front {
namespace {

using Udp = boost::asio::ip::udp;

// A PeerLink on loopback and a socket that plays its peer.
class LinkFixture {
 public:
  LinkFixture()
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, testing::LoopbackSettings(store_), log_fd_),
        link_(std::make_shared<PeerLink>(state_,
                                         [this] { ++peer_ahead_calls_; })),
        peer_(loop_,
              Udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.2"),
                            static_cast<uint16_t>(state_.settings.peer_port))) {
    REQUIRE_FALSE(link_->Start());
  }
  ~LinkFixture() {
    link_->Stop();
    close(log_fd_);
  }

  void Send(uint64_t incarnation, uint64_t sequence, int requests) {
    PeerMessage message;
    message.incarnation = incarnation;
    message.sequence = sequence;
    message.full_report = true;
    message.targets = {
        {"t", std::vector<PeerWork>(static_cast<size_t>(requests))}};
    const std::string bytes =
        EncodePeerMessage(message) + EncodePeerTrailer(PeerTrailer());
    peer_.send_to(
        boost::asio::buffer(bytes),
        Udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"),
                      static_cast<uint16_t>(state_.settings.peer_port)));
    // Datagrams over loopback arrive synchronously.
    loop_.poll();
  }
  void Send(const PeerMessage& message, const PeerTrailer& trailer) {
    const std::string bytes =
        EncodePeerMessage(message) + EncodePeerTrailer(trailer);
    peer_.send_to(
        boost::asio::buffer(bytes),
        Udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"),
                      static_cast<uint16_t>(state_.settings.peer_port)));
    loop_.poll();
  }
  // The entries in the messages that the peer has received, if any.
  std::optional<PeerConfigEntries> ReceiveEntries() {
    std::optional<PeerConfigEntries> entries;
    for (const PeerMessage& message : ReceiveAll()) {
      if (!message.config_entries.empty()) {
        entries = message.config_entries.front();
      }
    }
    return entries;
  }
  // True if the peer has been asked for entries.
  bool ReceiveConfigRequest() {
    const std::vector<PeerMessage> messages = ReceiveAll();
    return std::any_of(messages.begin(), messages.end(),
                       [](const PeerMessage& message) {
                         return !message.config_requests.empty();
                       });
  }
  State& state() { return state_; }
  // Number of calls of `on_peer_ahead`.
  int peer_ahead_calls() const { return peer_ahead_calls_; }
  size_t RequestCount() const {
    return state_.board.LoadAt(TargetId("t"), BootNow()).size();
  }

 private:
  std::vector<PeerMessage> ReceiveAll() {
    std::vector<PeerMessage> messages;
    std::array<char, 65536> buffer;
    while (peer_.available() > 0) {
      const size_t n = peer_.receive(boost::asio::buffer(buffer));
      const auto decoded =
          DecodePeerDatagram(absl::string_view(buffer.data(), n));
      REQUIRE(IsOk(decoded));
      messages.push_back(ValueOf(decoded).message);
    }
    return messages;
  }

  testing::StandInStore store_;
  int log_fd_;
  net::Loop loop_;
  State state_;
  std::shared_ptr<PeerLink> link_;
  Udp::socket peer_;
  int peer_ahead_calls_ = 0;
};

// A peer's reading of the store, 1 ms after it received a message from here.
PeerTrailer StoreReading(State& state, uint64_t era, uint64_t revision) {
  PeerTrailer trailer;
  trailer.echo_ms = absl::ToUnixMillis(BootNow()) - 50;
  trailer.echo_incarnation = state.incarnation;
  trailer.reading_after_echo_ms = 1;
  trailer.era = era;
  trailer.revision = revision;
  return trailer;
}

PeerMessage NewMessage(uint64_t sequence) {
  PeerMessage message;
  message.incarnation = 9;
  message.sequence = sequence;
  return message;
}

TEST_CASE("a store reading from another era does not confirm the view") {
  LinkFixture link;
  State& state = link.state();
  state.known_store = {2, 40};
  link.Send(NewMessage(1), StoreReading(state, 1, 30));
  CHECK(state.view.confirmed_at() == absl::InfinitePast());
  CHECK(link.peer_ahead_calls() == 0);
  // A newer era is adopted only from the store itself.
  link.Send(NewMessage(2), StoreReading(state, 3, 10));
  CHECK(state.view.confirmed_at() == absl::InfinitePast());
  CHECK(state.known_store.era == 2);
  CHECK(link.peer_ahead_calls() == 1);
  link.Send(NewMessage(3), StoreReading(state, 2, 40));
  CHECK(state.view.confirmed_at() > absl::InfinitePast());
}

TEST_CASE("a departure reported by a peer takes the target out of service") {
  LinkFixture link;
  State& state = link.state();
  dispatch::TargetEntry entry;
  entry.id = TargetId("t");
  entry.born_ms = 7;
  state.view.Apply({1, dispatch::TargetChange{entry}}, BootNow());
  PeerMessage message = NewMessage(1);
  message.departures = {{"t", 6}, {"unknown", 9}};
  link.Send(message, {});
  // An earlier incarnation left; the current one still serves.
  CHECK(state.view.MayServe(*state.view.Find(entry.id)));
  message = NewMessage(2);
  message.departures = {{"t", 7}};
  link.Send(message, {});
  CHECK_FALSE(state.view.MayServe(*state.view.Find(entry.id)));
}

TEST_CASE("a target's limit that a peer tells is known, and so is its end") {
  LinkFixture link;
  State& state = link.state();
  const TargetId target("t");
  dispatch::TargetEntry entry;
  entry.id = target;
  entry.born_ms = 7;
  state.view.Apply({1, dispatch::TargetChange{entry}}, BootNow());
  PeerMessage message = NewMessage(1);
  message.limits = {{"t", 7, true, 2.5, 300}, {"unknown", 9, true, 1, 0}};
  link.Send(message, {});
  const dispatch::TargetLimit* limit = state.limits.Find(target, 7);
  REQUIRE(limit != nullptr);
  CHECK(limit->rate == 2.5);
  CHECK(state.limits.Find(TargetId("unknown"), 9) == nullptr);
  // Of an earlier response, told late.
  message = NewMessage(2);
  message.limits = {{"t", 7, false, 0, 5000}};
  link.Send(message, {});
  CHECK(state.limits.Find(target, 7) != nullptr);
  message = NewMessage(3);
  message.limits = {{"t", 7, false, 0, 0}};
  link.Send(message, {});
  CHECK(state.limits.Find(target, 7) == nullptr);
}

dispatch::FleetConfig ConfigWithRoutes(uint64_t version, int routes) {
  dispatch::FleetConfig config;
  config.version = version;
  for (int i = 0; i < routes; ++i) {
    dispatch::Route route;
    route.prefix = absl::StrCat("/", i, "/");
    config.routes.push_back(route);
  }
  return config;
}

// All entries of the instance's configuration, asked for part by part.
std::vector<uint64_t> FetchEntries(LinkFixture* link) {
  std::vector<uint64_t> entries;
  uint64_t sequence = 0;
  bool done = false;
  while (!done) {
    PeerMessage message = NewMessage(++sequence);
    message.config_requests = {{entries.empty() ? 0 : entries.back() + 1}};
    link->Send(message, {});
    const auto parts = link->ReceiveEntries();
    REQUIRE(parts);
    CHECK(parts->version == 9);
    entries.insert(entries.end(), parts->entries.begin(), parts->entries.end());
    done = parts->is_last;
  }
  return entries;
}

TEST_CASE("a peer that asks gets all entries of the configuration in force") {
  LinkFixture link;
  const dispatch::FleetConfig config = ConfigWithRoutes(9, 700);
  link.state().view.Apply({1, dispatch::ConfigChange{config}}, BootNow());
  const std::vector<uint64_t> fetched = FetchEntries(&link);
  const std::vector<dispatch::ConfigEntry> all = dispatch::EntriesOf(config);
  REQUIRE(fetched.size() == all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    CHECK(fetched[i] == all[i].value());
  }
}

TEST_CASE("a peer with a configuration that the store lost is asked for it") {
  LinkFixture link;
  State& state = link.state();
  const dispatch::FleetConfig config = ConfigWithRoutes(5, 2);
  state.view.Apply({1, dispatch::ConfigChange{config}}, BootNow());
  state.known_store = {2, 12};
  state.config_agreement.RecordOwn({4, {1, 11}}, false, BootNow());
  state.config_agreement.RecordOwn({5, {2, 12}}, false, BootNow());
  PeerMessage message = NewMessage(1);
  message.config_claim = {9, 0x7F000002, 1, 40, 0, kSettled};
  link.Send(message, {});
  REQUIRE(link.ReceiveConfigRequest());
  const uint64_t kept = dispatch::EntryOf(config.routes[0]).value();
  message = NewMessage(2);
  message.config_entries = {{9, 0, {kept}, true}};
  link.Send(message, {});
  const auto trust = state.config_agreement.TrustAt(BootNow());
  CHECK(trust.extent() == dispatch::ConfigTrust::Extent::kConfirmed);
  CHECK(trust.Includes(dispatch::EntryOf(config.routes[0])));
  CHECK_FALSE(trust.Includes(dispatch::EntryOf(config.routes[1])));
}

// A settled instance's load reports state nothing; they were taken for messages
// of one that has just started.
TEST_CASE("only gossip tells whether an instance is settled") {
  LinkFixture link;
  State& state = link.state();
  state.config_agreement = dispatch::ConfigAgreement(
      dispatch::ConfigAgreement::Start::kLater, BootNow());
  const absl::Time read_at = BootNow();
  state.config_agreement.RecordOwn({5, {2, 12}}, false, read_at);
  const absl::Time together = read_at +
                              dispatch::ConfigAgreement::kMaxUnsettledTogether +
                              absl::Milliseconds(500);
  link.Send(NewMessage(1), {});
  CHECK(state.config_agreement.StandingAt(together) ==
        dispatch::ConfigAgreement::Standing::kUnsettled);
  PeerMessage gossip = NewMessage(2);
  gossip.config_claim.sender = kSettled;
  link.Send(gossip, {});
  CHECK(state.config_agreement.settled());
}

TEST_CASE("out-of-order messages are ignored") {
  LinkFixture link;
  link.Send(9, 1, 2);
  CHECK(link.RequestCount() == 2);
  link.Send(9, 3, 1);
  CHECK(link.RequestCount() == 1);
  link.Send(9, 2, 4);  // Out of order.
  CHECK(link.RequestCount() == 1);
}

TEST_CASE("a restarted peer's messages are accepted with any sequence number") {
  LinkFixture link;
  link.Send(9, 100, 2);
  link.Send(3, 1, 1);
  CHECK(link.RequestCount() == 1);
  link.Send(12, 1, 4);
  CHECK(link.RequestCount() == 4);
}

}  // namespace
}  // namespace umbertrail::front
