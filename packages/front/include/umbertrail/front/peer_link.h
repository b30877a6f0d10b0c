#ifndef UMBERTRAIL_FRONT_PEER_LINK_H_
#define UMBERTRAIL_FRONT_PEER_LINK_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/dispatch/poison.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

struct PeerTrailer;

// Tells the other instances what this one runs at which target, and hears the
// same of them. Each message stands alone and the newest counts, so they are
// datagrams: a late one would be worthless. Instances find each other through
// the seeds and through the addresses that peers name.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  // `on_behind` runs when a peer has read something newer of the store.
  PeerLink(State& state, std::function<void()> on_behind);

  // False when the port can't be bound.
  bool Start();
  void Stop();
  // Sends what changed soon, together with what changes meanwhile.
  void FlushSoon();
  void TellDeaths(const std::vector<dispatch::Death>& deaths);

 private:
  struct Peer {
    absl::Time heard;
    // Tells two lives of an instance apart; drawn at random, in no order.
    uint64_t incarnation = 0;
    uint64_t last_sequence = 0;
    // Its own time of its last message, and ours of receiving it.
    int64_t sent_ms = 0;
    absl::Time received;
    bool is_seed = false;
  };

  void Receive();
  void Take(absl::string_view datagram, const std::string& from);
  void Heartbeat();
  void Flush();
  void SendTo(const std::string& address,
              const Peer& peer,
              const std::string& bytes);
  // Takes what the peer's last reading of the store confirms here.
  void TakeReading(const PeerTrailer& trailer);
  void SendToAll(const std::string& bytes, bool also_silent);
  void NameSomePeers(absl::Time now, std::vector<std::string>* out);
  std::string Encode(const std::vector<TargetId>& targets, bool whole);
  void CountInstances(absl::Time now);

  State& state_;
  std::function<void()> on_behind_;
  boost::asio::ip::udp::socket socket_;
  net::Alarm heartbeat_;
  net::Alarm flush_;
  bool flush_armed_ = false;
  uint64_t sequence_ = 0;
  // By address without the port.
  std::map<std::string, Peer> peers_;
  std::vector<dispatch::Death> deaths_;
  std::array<char, 65536> buffer_;
  boost::asio::ip::udp::endpoint from_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PEER_LINK_H_
