#ifndef UMBERTRAIL_CORE_FLEET_EXCHANGE_H_
#define UMBERTRAIL_CORE_FLEET_EXCHANGE_H_

#include <map>
#include <optional>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/fleet/config.h"

namespace umbertrail::core {

// Whom a node asks what is in force, and when: a few random partners that
// change slowly, so that links stay few, and its rivals for targets, so that
// each learns in time when the other is gone.
class Exchange {
 public:
  // `random` must outlive the object.
  Exchange(const FleetConfig& config, InstanceId self, RandomSource* random);

  // The instances to choose partners from.
  void SetPeers(std::vector<InstanceId> live);
  void SetRivals(std::vector<InstanceId> rivals);

  // Asks one peer now, unless a query to it is outstanding or was sent within
  // the last tick's time: words that answer each other must not multiply.
  void Ask(absl::Time now, const InstanceId& peer, Actions* actions);
  // Asks some random peers now.
  void AskSome(absl::Time now, int count, Actions* actions);
  // Queries what is due. Returns peers that have left several in a row
  // unanswered.
  std::vector<InstanceId> OnTick(absl::Time now, Actions* actions);

  // When the query was sent that this answers; nothing when it is no answer to
  // an outstanding one.
  std::optional<absl::Time> OnAnswer(const InstanceId& peer, uint64_t nonce);
  void OnUnreachable(const InstanceId& peer);
  // Words that were asked for before a pause answer nothing.
  void OnPause();

  // Random partners and rivals, in id order.
  std::vector<InstanceId> Partners() const;

 private:
  struct Query {
    uint64_t nonce = 0;
    absl::Time sent_at;
  };
  struct Peer {
    std::optional<Query> outstanding;
    int unanswered = 0;
    absl::Time asked_at = absl::InfinitePast();
    absl::Time next_query = absl::InfinitePast();
  };

  void ChangePartners(absl::Time now);
  std::optional<InstanceId> RandomPeer();
  bool IsRegular(const InstanceId& id) const;

  const FleetConfig config_;
  const InstanceId self_;
  RandomSource* const random_;
  std::vector<InstanceId> live_;
  std::vector<InstanceId> rivals_;
  std::vector<InstanceId> partners_;
  absl::Time change_at_ = absl::InfinitePast();
  std::map<InstanceId, Peer> peers_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_EXCHANGE_H_
