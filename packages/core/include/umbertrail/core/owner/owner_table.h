#ifndef UMBERTRAIL_CORE_OWNER_OWNER_TABLE_H_
#define UMBERTRAIL_CORE_OWNER_OWNER_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"
#include "umbertrail/core/owner/holder_table.h"
#include "umbertrail/core/owner/owner_config.h"
#include "umbertrail/core/owner/target_owner.h"

namespace umbertrail::core {

// All targets that this instance owns or believes it owns. Messages about any
// other target are answered by a refusal. Times passed in never fall.
class OwnerTable {
 public:
  // The pointers must outlive the table.
  OwnerTable(OwnerConfig config,
             InstanceRef self,
             const FleetView* fleet,
             RandomSource* random,
             const Mutations* mutations);
  OwnerTable(const OwnerTable&) = delete;
  OwnerTable& operator=(const OwnerTable&) = delete;

  // -- Messages of receiving instances

  ProbeReply OnProbe(absl::Time now, const ProbeRequest& probe);
  // The reply says whether the attempt may run. A queued one gets AdmitReady
  // later, or an AdmitReply that refuses it.
  AdmitReply OnAdmit(absl::Time now,
                     const InstanceRef& from,
                     const AdmitRequest& request);
  void OnAlive(absl::Time now,
               const InstanceRef& from,
               const AttemptsAlive& alive);
  void OnSettled(absl::Time now,
                 const InstanceRef& from,
                 const AttemptSettled& settled,
                 Actions* actions);

  // -- Targets

  void OnReport(absl::Time now,
                const TargetId& target,
                const TargetReport& report,
                Actions* actions);
  void OnUnreachable(absl::Time now,
                     const TargetUnreachable& event,
                     Actions* actions);

  // -- Instances

  void OnHandover(absl::Time now,
                  const InstanceRef& from,
                  const OwnerHandover& handover);
  // Any message of a peer shows that this life goes on. The other handlers
  // note their own senders.
  void OnPeerHeard(absl::Time now, const InstanceRef& peer);
  // That life is known to be over.
  void OnPeerIncarnationGone(absl::Time now,
                             const InstanceRef& peer,
                             Actions* actions);
  // Manifest or lists changed.
  void OnFleetChanged(absl::Time now, Actions* actions);
  // Hands each owned target to its successor and grants nothing from now on.
  void OnStop(absl::Time now, Actions* actions);

  // -- Time

  // Polls what is due, expires reservations and refuses what can't finish.
  void OnTick(absl::Time now, Actions* actions);
  absl::Time NextWakeup() const;

  // Whether nothing is charged to any target and nothing waits.
  bool Idle() const;
  // The targets that this instance may act for. Cost: linear in them.
  std::vector<TargetStatus> Status(absl::Time now) const;

 private:
  void NoteInstances(absl::Time now);
  TargetOwner* Find(const TargetId& target);
  // Finds the target's owner, or makes it when this instance has a claim.
  TargetOwner* FindOrClaim(absl::Time now, const TargetId& target);
  TargetOwner* Add(const TargetId& target);

  const OwnerConfig config_;
  HolderTable holders_;
  OwnerContext context_;
  std::map<TargetId, std::unique_ptr<TargetOwner>> owners_;
  // A claim may come with time alone, so all are looked at now and then.
  absl::Time next_scan_ = absl::InfinitePast();
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_OWNER_TABLE_H_
