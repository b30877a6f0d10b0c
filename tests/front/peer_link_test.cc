#include "umbertrail/front/peer_link.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "front/running_front.h"
#include "peer_message.h"

namespace umbertrail::front {
namespace {

using Udp = boost::asio::ip::udp;

// An instance's link on loopback, and a peer that sends what it is told.
class LinkWithPeer {
 public:
  LinkWithPeer()
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, testing::LoopbackSettings(store_), log_fd_),
        link_(std::make_shared<PeerLink>(state_, [this] { ++behind_; })),
        peer_(loop_,
              Udp::endpoint(boost::asio::ip::make_address_v4("127.0.0.2"), 0)) {
    REQUIRE(link_->Start());
  }
  ~LinkWithPeer() {
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
    // A datagram over loopback is there once it is sent.
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
  State& state() { return state_; }
  // How often the peer was seen to know more of the store.
  int behind() const { return behind_; }
  size_t Requests() const {
    return state_.board.At(TargetId("t"), BootNow()).size();
  }

 private:
  testing::StandInStore store_;
  int log_fd_;
  net::Loop loop_;
  State state_;
  std::shared_ptr<PeerLink> link_;
  Udp::socket peer_;
  int behind_ = 0;
};

// A peer's word of its last reading, against a message of ours.
PeerTrailer ReadingOf(State& state, uint64_t era, uint64_t revision) {
  PeerTrailer trailer;
  trailer.echo_ms = absl::ToUnixMillis(BootNow()) - 50;
  trailer.echo_incarnation = state.incarnation;
  trailer.reading_after_echo_ms = 1;
  trailer.era = era;
  trailer.revision = revision;
  return trailer;
}

PeerMessage MessageOf(uint64_t sequence) {
  PeerMessage message;
  message.incarnation = 9;
  message.sequence = sequence;
  return message;
}

TEST_CASE("a peer's reading of another era confirms nothing here") {
  LinkWithPeer both;
  State& state = both.state();
  state.known_store = {2, 40};
  both.Send(MessageOf(1), ReadingOf(state, 1, 30));
  CHECK(state.view.confirmed_at() == absl::InfinitePast());
  CHECK(both.behind() == 0);
  // A newer era is for the store to tell; the peer's word changes nothing.
  both.Send(MessageOf(2), ReadingOf(state, 3, 10));
  CHECK(state.view.confirmed_at() == absl::InfinitePast());
  CHECK(state.known_store.era == 2);
  CHECK(both.behind() == 1);
  both.Send(MessageOf(3), ReadingOf(state, 2, 40));
  CHECK(state.view.confirmed_at() > absl::InfinitePast());
}

TEST_CASE("a target that told a peer that it leaves gets nothing from here") {
  LinkWithPeer both;
  State& state = both.state();
  dispatch::TargetEntry entry;
  entry.id = TargetId("t");
  entry.born_ms = 7;
  state.view.Apply({1, dispatch::TargetChange{entry}}, BootNow());
  PeerMessage message = MessageOf(1);
  message.departures = {{"t", 6}, {"unknown", 9}};
  both.Send(message, {});
  CHECK(state.view.MayServe(*state.view.Find(entry.id)));  // Its last life.
  message = MessageOf(2);
  message.departures = {{"t", 7}};
  both.Send(message, {});
  CHECK_FALSE(state.view.MayServe(*state.view.Find(entry.id)));
}

TEST_CASE("a peer's newest message counts") {
  LinkWithPeer both;
  both.Send(9, 1, 2);
  CHECK(both.Requests() == 2);
  both.Send(9, 3, 1);
  CHECK(both.Requests() == 1);
  both.Send(9, 2, 4);  // Overtaken on its way.
  CHECK(both.Requests() == 1);
}

TEST_CASE("a peer that has started anew is heard whatever its number") {
  LinkWithPeer both;
  both.Send(9, 100, 2);
  both.Send(3, 1, 1);
  CHECK(both.Requests() == 1);
  both.Send(12, 1, 4);
  CHECK(both.Requests() == 4);
}

}  // namespace
}  // namespace umbertrail::front
