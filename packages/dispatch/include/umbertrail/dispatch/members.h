#ifndef UMBERTRAIL_DISPATCH_MEMBERS_H_
#define UMBERTRAIL_DISPATCH_MEMBERS_H_

#include <map>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

// Gossip membership and failure detection. Each message carries a few members
// with the time since each was last heard from; the most recent entry of a
// member wins. Traffic per instance doesn't grow with the fleet, and a failed
// member expires everywhere, as no entry of it becomes more recent (van
// Renesse, Minsky and Hayden, "A gossip-style failure detection service",
// 1998).

namespace umbertrail::dispatch {

struct Member {
  InstanceId id;
  DataCentreId data_centre;
  double cpu_cores = 0;
  // When any instance last received a message from it.
  absl::Time last_heard = absl::InfinitePast();
  // It announced its shutdown.
  bool has_left = false;
};

class Members {
 public:
  // Peers contacted in one gossip round, and the interval between rounds.
  static constexpr size_t kGossipFanout = 3;
  static constexpr absl::Duration kGossipInterval = absl::Milliseconds(400);
  // Maximum members in one gossip message.
  static constexpr size_t kMaxMembersPerMessage = 32;

  explicit Members(Member self) : self_(std::move(self)) {}

  // Merges one gossip entry, unless a more recent one is known.
  void Merge(const Member& entry);
  // Marks a member that didn't answer a request as suspect, at least for a
  // minimum time and until a direct message or a later gossip entry refutes it.
  void Suspect(const InstanceId& id, absl::Time now);
  // Called when this instance received a message from the member itself.
  void ClearSuspicion(const InstanceId& id) { suspects_.erase(id); }
  bool IsSuspect(const InstanceId& id, absl::Time now) const;
  // Removes members without recent gossip, and suspicions that have ended.
  void RemoveExpired(absl::Time now);

  // Live members by id, this one included.
  std::vector<const Member*> Live(absl::Time now) const;
  int CountLive(absl::Time now) const;
  // Failure-detection timeout: a member without a newer entry for this long is
  // considered failed. It grows with the fleet, as each message carries only a
  // part of the members. Callers don't depend on it: a member that doesn't
  // answer a request is suspected at once.
  absl::Duration FailureTimeout() const;

  // Members for one gossip message: some of the most recently heard, the others
  // drawn at random. Includes members that left, until their timeout.
  std::vector<Member> SampleForGossip(absl::Time now,
                                      size_t count,
                                      std::mt19937_64& random) const;
  // Random live members for the next gossip round.
  std::vector<InstanceId> SamplePeers(absl::Time now,
                                      size_t count,
                                      std::mt19937_64& random) const;

 private:
  bool IsLive(const Member& member, absl::Time now) const;

  Member self_;
  std::map<InstanceId, Member> others_;
  std::map<InstanceId, absl::Time> suspects_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_MEMBERS_H_
