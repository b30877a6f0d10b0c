#ifndef UMBERTRAIL_CORE_FLEET_VIEW_H_
#define UMBERTRAIL_CORE_FLEET_VIEW_H_

#include <optional>
#include <vector>

#include "umbertrail/core/types.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::core {

// How far an instance may act as a target's owner.
enum class OwnerClaim {
  kNone,      // another instance ranks before it
  kSettling,  // ranks first, waits out the list's lag: warm targets only
  kHalf,      // ranks first in a list that can't be confirmed: half of a cold
              // budget
  kFull,
};

// What a node knows of the fleet, for those who decide by it.
class FleetView {
 public:
  virtual ~FleetView() = default;

  // The manifest in force here; null before the first.
  virtual const manifest::Manifest* manifest() const = 0;

  // Targets of the list read last, in id order.
  virtual const std::vector<TargetInfo>& targets() const = 0;
  virtual const TargetInfo* FindTarget(const TargetId& id) const = 0;

  // Instances of the list read last, in id order.
  virtual const std::vector<InstanceInfo>& instances() const = 0;

  // Other instances that have spoken to this one since then, listed or not, in
  // id order. Their data centres are not told. Cost: linear in the peers known.
  virtual std::vector<InstanceInfo> HeardSince(absl::Time since) const = 0;

  // The instances that may own `target`, best first: live ones before those
  // known to be leaving or seen dead.
  virtual std::vector<InstanceId> Ranking(const TargetId& target) const = 0;

  // What this instance may do as the owner of `target`.
  virtual OwnerClaim ClaimOf(const TargetId& target, absl::Time now) const = 0;

  // Why no new work may go to `target` (closed data centre, leaving, not
  // listed); nothing when it may.
  virtual std::optional<Reason> Barred(const TargetId& target,
                                       absl::Time now) const = 0;

  // Whether the list of instances was read lately enough that an instance
  // missing from it is known to be missing.
  virtual bool ListConfirmed(absl::Time now) const = 0;

  // Whether this instance may dispatch new work: what it believes was
  // confirmed recently enough.
  virtual bool MayDispatch(absl::Time now) const = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_VIEW_H_
