#ifndef UMBERTRAIL_DISPATCH_MEMBERS_H_
#define UMBERTRAIL_DISPATCH_MEMBERS_H_

#include <map>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

// The instances of the fleet, as gossip tells them. Each message names a few
// members with the time since they were heard of; the youngest word of a member
// counts. What an instance sends for this doesn't grow with the fleet, and a
// member that ends is forgotten everywhere because nobody's word of it gets any
// younger (van Renesse, Minsky and Hayden, "A gossip-style failure detection
// service", 1998).

namespace umbertrail::dispatch {

struct Member {
  InstanceId id;
  DataCentreId data_centre;
  // Its share of a processor, in cores.
  double cpu_cores = 0;
  // When somebody last heard of it.
  absl::Time last_heard = absl::InfinitePast();
  // It said that it ends.
  bool has_left = false;
};

class Members {
 public:
  // Instances with which words are exchanged in one round, and the time between
  // rounds.
  static constexpr size_t kGossipFanout = 3;
  static constexpr absl::Duration kGossipInterval = absl::Milliseconds(400);
  // Members that one message names.
  static constexpr size_t kMaxMembersPerMessage = 32;

  explicit Members(Member self) : self_(std::move(self)) {}

  // Takes a word of a member, unless a younger one is known.
  void Merge(const Member& word);
  // It kept silent when it was asked: it is passed over until it is heard here
  // or there is word of it from later, and for a while at least.
  void Suspect(const InstanceId& id, absl::Time now);
  // It was heard by this instance itself.
  void ClearSuspicion(const InstanceId& id) { suspects_.erase(id); }
  bool IsSuspect(const InstanceId& id, absl::Time now) const;
  // Drops members of whom there has been no word for long.
  void RemoveExpired(absl::Time now);

  // Members of whom there was word lately, this one included, by id.
  std::vector<const Member*> Live(absl::Time now) const;
  int CountLive(absl::Time now) const;
  // A member is taken for gone after this long without a word of it: longer in
  // a larger fleet, as messages name a part of the members each. Nobody waits
  // for a silent one meanwhile: whoever asks it in vain suspects it at once.
  absl::Duration FailureTimeout() const;

  // Live members to name in a message: some of those heard of last, the others
  // drawn at random.
  std::vector<Member> SampleForGossip(absl::Time now,
                                      size_t count,
                                      std::mt19937_64& random) const;
  // Other live members to exchange words with.
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
