#ifndef UMBERTRAIL_CORE_FLEET_FLEET_H_
#define UMBERTRAIL_CORE_FLEET_FLEET_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet/config.h"
#include "umbertrail/core/fleet/exchange.h"
#include "umbertrail/core/fleet/freshness.h"
#include "umbertrail/core/fleet/manifest_store.h"
#include "umbertrail/core/fleet/membership.h"
#include "umbertrail/core/fleet/ownership.h"
#include "umbertrail/core/fleet/part_store.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"

namespace umbertrail::core {

// What one node knows of the fleet: the manifest in force, how fresh it is,
// who is there, and who owns which target. Composes one class per concern and
// carries words between them. Not thread-safe.
class Fleet : public FleetView {
 public:
  // `random` and `mutations` must outlive the fleet. The instance's data centre
  // is taken from the list that others see, not from its own word.
  Fleet(FleetConfig config,
        InstanceRef self,
        const DataCentreId& data_centre,
        RandomSource* random,
        const Mutations* mutations);

  // FleetView.
  const manifest::Manifest* manifest() const override;
  const std::vector<TargetInfo>& targets() const override;
  const TargetInfo* FindTarget(const TargetId& id) const override;
  const std::vector<InstanceInfo>& instances() const override;
  std::vector<InstanceInfo> HeardSince(absl::Time since) const override;
  std::vector<InstanceId> Ranking(const TargetId& target) const override;
  OwnerClaim ClaimOf(const TargetId& target, absl::Time now) const override;
  std::optional<Reason> Barred(const TargetId& target,
                               absl::Time now) const override;
  bool ListConfirmed(absl::Time now) const override;
  bool MayDispatch(absl::Time now) const override;

  // Events, each with its time, which never falls.
  void OnHeadRead(absl::Time now, const HeadRead& event, Actions* actions);
  void OnPartRead(absl::Time now, const PartRead& event, Actions* actions);
  void OnInstanceList(absl::Time now,
                      const InstanceListRead& event,
                      Actions* actions);
  void OnTargetList(absl::Time now,
                    const TargetListRead& event,
                    Actions* actions);
  void OnConfigUnreachable(absl::Time now);

  // Every received envelope passes here first. HeadQuery, HeadOffer,
  // PartRequest and PartReply are answered here; the rest is left to the
  // caller. Returns a former incarnation of the sender's address that is now
  // known to be over, if any.
  std::optional<InstanceRef> OnPeer(absl::Time now,
                                    const PeerEnvelope& envelope,
                                    Actions* actions);
  // This instance was asked to leave: it ranks behind the others from now on,
  // as the others will see it by its envelopes.
  void OnStopping(absl::Time now);
  void OnPeerUnreachable(absl::Time now, const InstanceId& peer);

  void OnTargetReport(absl::Time now,
                      const TargetId& target,
                      const TargetReport& report);
  void OnTargetUnreachable(absl::Time now, const TargetUnreachable& event);

  // Call at NextWakeup(), whatever else happens: a late tick is a pause.
  void OnTick(absl::Time now, Actions* actions);
  absl::Time NextWakeup() const;

  // Whether callers should be sent here: manifest and both lists are known,
  // the start's comparison is done, and new work may be dispatched.
  bool Ready(absl::Time now) const;
  ManifestRevision revision() const;
  // Time since the revision was last confirmed; infinite before the first.
  absl::Duration FreshnessAge(absl::Time now) const;
  // The incarnation heard last at an address.
  std::optional<InstanceRef> IncarnationOf(const InstanceId& id) const;

  uint64_t stale_heads_ignored() const;
  uint64_t conflicting_heads_refused() const;
  // What an operator should know of the manifest: why the last was refused,
  // whose parts lack, or which fence isn't known. Empty when all is well.
  std::string manifest_fault() const;

  // Grows whenever manifest, lists, ranking or a mark changes.
  uint64_t generation() const { return generation_; }

 private:
  void Advance(absl::Time now);
  void ListsChanged(absl::Time now);
  void MarksChanged(absl::Time now);
  void ManifestChanged(absl::Time now,
                       const std::optional<InstanceId>& source,
                       Actions* actions);
  void TakeHead(absl::Time now,
                const manifest::Head& head,
                const std::optional<InstanceId>& source,
                Actions* actions);
  void ApplyParts(absl::Time now,
                  const std::optional<InstanceId>& source,
                  Actions* actions);
  void AnswerQuery(const PeerEnvelope& from,
                   const HeadQuery& query,
                   Actions* actions);
  void TakeOffer(absl::Time now,
                 const InstanceId& from,
                 const HeadOffer& offer,
                 std::optional<absl::Time> asked_at,
                 Actions* actions);
  void TakePart(absl::Time now,
                const std::string& hash,
                const std::string& bytes,
                const std::optional<InstanceId>& source,
                Actions* actions);
  void AskWhereNeeded(absl::Time now, Actions* actions);
  int ListedOthers() const;

  const FleetConfig config_;
  const InstanceRef self_;
  const Mutations* const mutations_;
  ManifestStore store_;
  PartStore parts_;
  Freshness freshness_;
  Membership membership_;
  Ownership ownership_;
  Exchange exchange_;
  absl::Time next_tick_ = absl::InfinitePast();
  // Peers that answered while the start's comparison went on.
  std::set<InstanceId> answered_;
  uint64_t generation_ = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_FLEET_H_
