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
#include "umbertrail/front/placer.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

struct PeerMessage;
struct PeerTrailer;

// What this instance tells others and hears from them: its work, to the homes
// of the targets; questions for places and their answers; words of the members;
// and how old its knowledge of the store is. Each message stands alone and the
// newest counts, so they are datagrams: a late one would be worthless.
// Instances find each other through the seeds and through gossip.
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
  // That life of a target said that it leaves.
  void TellLeaving(const TargetId& target, int64_t born_ms);
  // Asks a home for a place.
  void Ask(const InstanceId& home, uint64_t id, const PlacementRequest& query);

 private:
  struct Peer {
    absl::Time heard = absl::InfinitePast();
    // Tells two lives of an instance apart; drawn at random, in no order.
    uint64_t incarnation = 0;
    uint64_t last_sequence = 0;
    // Its own time of its last message, and ours of receiving it.
    int64_t sent_ms = 0;
    absl::Time received;
  };
  // A death that is passed on for some time.
  struct Rumour {
    dispatch::Death death;
    absl::Time until;
  };
  // A target's word that it leaves, passed on as long.
  struct Departure {
    TargetId target;
    int64_t born_ms = 0;
    absl::Time until;
  };
  using Told = std::map<InstanceId, std::vector<TargetId>>;

  void Receive();
  void Take(absl::string_view datagram, const std::string& from);
  void TakeMembers(const PeerMessage& message,
                   const InstanceId& from,
                   absl::Time now);
  // Takes what the sender has at targets, unless a newer message came before.
  void TakeWork(const PeerMessage& message,
                const InstanceId& from,
                absl::Time now);
  void TakeReports(const PeerMessage& message, absl::Time now);
  // Takes what the peer's last reading of the store confirms here.
  void TakeReading(const PeerTrailer& trailer);
  void AnswerAll(const PeerMessage& message, const InstanceId& from);

  void Heartbeat();
  void Flush();
  // Which of `targets` each of their homes is to be told of.
  Told HomesOfTargets(const std::vector<TargetId>& targets, absl::Time now);
  // Those to exchange words with in this round.
  std::vector<InstanceId> Partners(absl::Time now);
  PeerMessage NewMessage();
  void AddWords(PeerMessage* message, absl::Time now);
  void TellPartners(absl::Time now);
  void AddWork(const std::vector<TargetId>& targets,
               PeerMessage* message,
               absl::Time now) const;
  void AddOutcomes(const std::vector<TargetId>& targets, PeerMessage* message);
  void Send(const InstanceId& to, const PeerMessage& message);

  State& state_;
  std::function<void()> on_behind_;
  boost::asio::ip::udp::socket socket_;
  net::Timer heartbeat_;
  net::Timer flush_;
  bool flush_armed_ = false;
  uint64_t sequence_ = 0;
  std::map<InstanceId, Peer> peers_;
  std::vector<InstanceId> seeds_;
  std::vector<Rumour> rumours_;
  std::vector<Departure> departures_;
  std::array<char, 65536> buffer_;
  boost::asio::ip::udp::endpoint from_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PEER_LINK_H_
