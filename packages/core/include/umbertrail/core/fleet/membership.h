#ifndef UMBERTRAIL_CORE_FLEET_MEMBERSHIP_H_
#define UMBERTRAIL_CORE_FLEET_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <vector>

#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet/config.h"

namespace umbertrail::core {

// Instances and targets: what the lagging lists say, and what was learnt from
// peers and targets themselves. Lists never go back to an older version. A
// leaving mark holds for one incarnation of an instance or one boot of a
// target, whoever set it first, and nothing that is known of that life undoes
// it. A peer seen dead counts as dead until it is heard.
class Membership {
 public:
  Membership(const FleetConfig& config, InstanceId self);

  // Lists. Return whether the list changed.
  bool OnInstanceList(absl::Time now, const InstanceListRead& event);
  bool OnTargetList(absl::Time now, const TargetListRead& event);

  struct Hearing {
    // A mark or an incarnation changed.
    bool changed = false;
    // Another incarnation than the known one; it counts once it has answered a
    // query, since an envelope may be a late one of a life that is over.
    bool unconfirmed = false;
    // The incarnation that `from` has followed.
    std::optional<InstanceRef> former;
  };
  // An envelope came; `answered`: it answers a query of this instance.
  Hearing OnHeard(absl::Time now,
                  const InstanceRef& from,
                  bool leaving,
                  bool answered);
  // A peer was refused, reset or silent. Returns whether that is news.
  bool OnDead(absl::Time now, const InstanceId& id);
  // Peers seen dead that are due to be asked again, at most `limit`; they are
  // due next after the recheck interval.
  std::vector<InstanceId> TakeRechecks(absl::Time now, size_t limit);

  // A report of a target. Returns whether a mark changed.
  bool OnReport(const TargetId& id, const TargetReport& report);

  // Forgets what left the lists long ago. Returns whether `departed` changed.
  bool OnTick(absl::Time now);

  // In id order.
  const std::vector<InstanceInfo>& instances() const { return instances_; }
  const std::vector<TargetInfo>& targets() const { return targets_; }
  // Null when not listed. Cost: logarithmic.
  const InstanceInfo* FindInstance(const InstanceId& id) const;
  const TargetInfo* FindTarget(const TargetId& id) const;

  // An instance that went from the list without a word of leaving.
  struct Departed {
    InstanceInfo info;
    absl::Time at;
  };
  const std::vector<Departed>& departed() const { return departed_; }

  bool InstanceLeaving(const InstanceId& id) const;
  bool InstanceDead(const InstanceId& id) const;
  bool TargetLeaving(const TargetId& id) const;

  // The incarnation heard last at this address.
  std::optional<InstanceRef> IncarnationOf(const InstanceId& id) const;

  // As FleetView says.
  std::vector<InstanceInfo> HeardSince(absl::Time since) const;

  // When the instance list was last read, at its newest version.
  absl::Time instances_read_at() const { return instances_read_at_; }
  bool instances_known() const { return instances_known_; }
  bool targets_known() const { return targets_known_; }
  // Longest time for which a peer that isn't listed has talked to this
  // instance; zero when there is none. Those that are leaving don't count.
  absl::Duration UnlistedFor(absl::Time now) const;

 private:
  struct Peer {
    std::optional<Incarnation> incarnation;

    bool said_leaving = false;  // by this incarnation
    bool listed_leaving = false;
    // The incarnation known when the list said so.
    std::optional<Incarnation> listed_leaving_life;
    bool dead = false;
    absl::Time recheck_at;
    absl::Time heard_at = absl::InfinitePast();
    absl::Time unlisted_since = absl::InfiniteFuture();
    absl::Time missing_since = absl::InfiniteFuture();
  };
  struct Target {
    std::optional<BootId> boot;
    std::vector<BootId> over;
    bool said_leaving = false;  // by this boot
    bool listed_leaving = false;
    std::optional<BootId> listed_leaving_life;
    absl::Time missing_since = absl::InfiniteFuture();
  };

  void NoteDeparted(absl::Time now, const std::vector<InstanceInfo>& former);

  const FleetConfig config_;
  const InstanceId self_;
  std::vector<InstanceInfo> instances_;
  std::vector<TargetInfo> targets_;
  std::vector<Departed> departed_;
  std::map<InstanceId, Peer> peers_;
  std::map<TargetId, Target> marks_;
  uint64_t instances_version_ = 0;
  uint64_t targets_version_ = 0;
  bool instances_known_ = false;
  bool targets_known_ = false;
  absl::Time instances_read_at_ = absl::InfinitePast();
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_MEMBERSHIP_H_
