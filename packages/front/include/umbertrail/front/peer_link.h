#ifndef UMBERTRAIL_FRONT_PEER_LINK_H_
#define UMBERTRAIL_FRONT_PEER_LINK_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/front/placer.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

class ConfigExchange;
struct PeerMessage;
struct PeerTrailer;

// Exchanges UDP datagrams with the other instances: load reports to the homes
// of targets, placement requests and replies, membership gossip, and the age of
// the local view of the store. Each message is self-contained and supersedes
// older ones, so lost or late datagrams are not retransmitted. Instances are
// discovered through the seeds and gossip.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  // `on_peer_ahead` runs when a peer has read a newer revision of the store.
  PeerLink(State& state, std::function<void()> on_peer_ahead);
  ~PeerLink();

  // Returns the error if the port can't be bound; it may be tried again.
  boost::system::error_code Start();
  bool started() const { return socket_.is_open(); }
  void Stop();
  // Schedules one load report that batches the changes made until it is sent.
  void ScheduleFlush();
  // Compares the configuration in force with what other instances have stated,
  // and asks one that holds a later configuration for its entries.
  void CheckConfig();
  // Tells others at once which crashes are known.
  void PublishCrashes();
  // Tells others, above all the target's homes, that its limit changed.
  void PublishLimit(const TargetId& target);
  // Announces that the target with birth time `born_ms` is leaving.
  void PublishDeparture(const TargetId& target, int64_t born_ms);
  // An instance heard of late that reaches targets, by chance.
  std::optional<InstanceId> ChooseStandIn(
      const std::vector<InstanceId>& excluded);
  // From now on others are told not to pass requests on to this instance.
  void StopServingOthers() { serves_others_ = false; }
  // Sends a placement request to a home.
  void SendPlacementRequest(const InstanceId& home,
                            uint64_t id,
                            const PlacementRequest& request);

 private:
  struct Peer {
    absl::Time heard = absl::InfinitePast();
    // Random per process start; not ordered.
    uint64_t incarnation = 0;
    uint64_t last_sequence = 0;
    bool reaches_targets = false;
    // Send time of its last message by its own clock, and local receive time.
    int64_t sent_ms = 0;
    absl::Time received;
  };
  // A target's announced departure, disseminated until `until`.
  struct PendingDeparture {
    TargetId target;
    int64_t born_ms = 0;
    absl::Time until;
  };
  using TargetsByHome = std::map<InstanceId, std::vector<TargetId>>;

  void Receive();
  void HandleDatagram(absl::string_view datagram, const std::string& from);
  void MergeMembers(const PeerMessage& message,
                    const InstanceId& from,
                    absl::Time now);
  // Replaces the sender's load at the reported targets.
  void ApplyLoadReport(const PeerMessage& message,
                       const InstanceId& from,
                       absl::Time now);
  void ApplyTargetEvents(const PeerMessage& message, absl::Time now);
  void ApplyCrashes(const PeerMessage& message, absl::Time now);
  // Gossips what has just become known, after a delay that batches it.
  void ScheduleForward();
  void Forward();
  // Confirms the local view by the peer's last reading of the store.
  void ApplyStoreReading(const PeerTrailer& trailer);
  void Reply(const PeerMessage& message, const InstanceId& from);

  void Heartbeat();
  void Flush();
  // Groups `targets` by the homes that receive their load reports.
  TargetsByHome GroupByHome(const std::vector<TargetId>& targets,
                            absl::Time now);
  // Instances to gossip with in this round.
  std::vector<InstanceId> ChooseGossipPartners(absl::Time now);
  PeerMessage NewMessage();
  void AddGossip(PeerMessage* message, absl::Time now);
  // Adds crashes of targets, and answers that clear contents of suspicion.
  void AddCrashes(PeerMessage* message, absl::Time now);
  // Adds what targets stated of their rate limits.
  void AddLimits(PeerMessage* message, absl::Time now);
  void SendGossip(absl::Time now);
  void AddLoadReport(const std::vector<TargetId>& targets,
                     PeerMessage* message,
                     absl::Time now) const;
  void AddOutcomes(const std::vector<TargetId>& targets, PeerMessage* message);
  void Send(const InstanceId& to, const PeerMessage& message);

  State& state_;
  std::function<void()> on_peer_ahead_;
  std::unique_ptr<ConfigExchange> config_exchange_;
  boost::asio::ip::udp::socket socket_;
  net::Timer heartbeat_;
  net::Timer flush_;
  net::Timer forward_;
  net::Timer ask_;
  bool serves_others_ = true;
  bool flush_armed_ = false;
  bool forward_armed_ = false;
  uint64_t sequence_ = 0;
  std::map<InstanceId, Peer> peers_;
  std::vector<InstanceId> seeds_;
  std::vector<PendingDeparture> pending_departures_;
  std::array<char, 65536> buffer_;
  boost::asio::ip::udp::endpoint from_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PEER_LINK_H_
