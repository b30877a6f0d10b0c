#ifndef UMBERTRAIL_CORE_FLEET_OWNERSHIP_H_
#define UMBERTRAIL_CORE_FLEET_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <vector>

#include "umbertrail/core/fleet/config.h"
#include "umbertrail/core/fleet/membership.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::core {

// Length of a ranking: more instances than can be lost while the list lags.
inline constexpr size_t kMaxRanking = 16;

// Instances after the first whose lists may make them claim a target that they
// see nobody own.
inline constexpr size_t kContenders = 3;

// Score of an instance as the owner of a target, by rendezvous hash; the
// highest owns. An instance of the target's data centre draws several times, so
// that it wins more often. Equal on every instance.
uint64_t OwnerScore(const TargetId& target,
                    const InstanceInfo& instance,
                    const DataCentreId& target_data_centre);

// Who may own each target, and what this instance may do for those where it
// ranks first. Orders are kept per target and made anew when a list or a
// region changes; marks only move places within them.
class Ownership {
 public:
  // `membership` and `mutations` must outlive the object.
  Ownership(const FleetConfig& config,
            InstanceId self,
            const Membership* membership,
            const Mutations* mutations);

  // A list changed. Cost: targets times the instances of their region.
  void OnListsChanged(absl::Time now);
  // Another manifest is in force. Costs as much where regions changed, next to
  // nothing otherwise.
  void OnManifest(absl::Time now, const manifest::Manifest& manifest);
  // A mark of an instance changed. Cost: linear in targets.
  void OnMarksChanged(absl::Time now);
  // All claims settle anew.
  void OnPause(absl::Time now);

  std::vector<InstanceId> Ranking(const TargetId& target) const;
  OwnerClaim ClaimOf(const TargetId& target, absl::Time now) const;

  // Instances that stand beside this one at the top of a target's order, and
  // must each know when the other is gone: the contenders where it is first,
  // the first one where it is a contender, and those that went from the list
  // without a word and would stand there. In id order.
  std::vector<InstanceId> Rivals() const;

 private:
  struct Place {
    // Indices into the instance list, best score first.
    std::vector<uint16_t> order;
    // This instance ranks first since then; InfiniteFuture while it doesn't.
    absl::Time first_since = absl::InfiniteFuture();
    // Instances before this one that are listed as live and seen dead here.
    int dead_before = 0;
    // One of the next instances is listed as live and seen dead here.
    bool next_dead = false;
    // Another may claim half until then, by a list read earlier.
    absl::Time contested_until = absl::InfinitePast();
    // Those of them that went from the list.
    std::vector<InstanceId> suspects;
  };

  // Sorts the instances of `candidates` by their scores for `target`.
  void SortOrder(const TargetInfo& target,
                 const std::vector<uint16_t>& candidates,
                 Place* place) const;
  void SortAll(absl::Time now);
  void UpdatePlace(absl::Time now, Place* place) const;
  void NoteContest(absl::Time now, Place* place) const;
  void NoteSuspects(const TargetInfo& target, Place* place) const;
  bool Confirmed(absl::Time now) const;
  bool Doubted(absl::Time now) const;
  const InstanceId& IdAt(uint16_t index) const;

  const FleetConfig config_;
  const InstanceId self_;
  const Membership* const membership_;
  const Mutations* const mutations_;
  std::map<TargetId, Place> places_;
  std::map<DataCentreId, RegionId> regions_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_OWNERSHIP_H_
