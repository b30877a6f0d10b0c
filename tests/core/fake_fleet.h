#ifndef UMBERTRAIL_TESTS_CORE_FAKE_FLEET_H_
#define UMBERTRAIL_TESTS_CORE_FAKE_FLEET_H_

#include <map>
#include <set>
#include <vector>

#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/request/placement.h"

namespace umbertrail::core {

// A fleet whose state a test sets outright.
class FakeFleet : public FleetView {
 public:
  const manifest::Manifest* manifest() const override { return &declared; }
  const std::vector<TargetInfo>& targets() const override {
    return target_list;
  }
  const TargetInfo* FindTarget(const TargetId& id) const override {
    for (const TargetInfo& it : target_list) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }
  const std::vector<InstanceInfo>& instances() const override {
    return instance_list;
  }
  std::vector<InstanceInfo> HeardSince(absl::Time) const override {
    return heard;
  }
  std::vector<InstanceId> Ranking(const TargetId& target) const override {
    const auto it = owners.find(target);
    return it == owners.end() ? std::vector<InstanceId>() : it->second;
  }
  OwnerClaim ClaimOf(const TargetId&, absl::Time) const override {
    return claim;
  }
  std::optional<Reason> Barred(const TargetId& target,
                               absl::Time) const override {
    return barred.count(target) == 0 ? std::nullopt
                                     : std::optional(Reason::kNoTarget);
  }
  bool ListConfirmed(absl::Time) const override { return true; }
  bool MayDispatch(absl::Time) const override { return may_dispatch; }

  manifest::Manifest declared;
  std::vector<TargetInfo> target_list;
  std::vector<InstanceInfo> instance_list;
  std::vector<InstanceInfo> heard;
  std::map<TargetId, std::vector<InstanceId>> owners;
  std::set<TargetId> barred;
  OwnerClaim claim = OwnerClaim::kFull;
  bool may_dispatch = true;
};

// Candidates and memory that a test sets outright.
class FakePlacement : public Placement {
 public:
  std::vector<TargetId> CandidatesFor(const RequestSpec&,
                                      absl::Time) const override {
    return candidates;
  }
  Tokens MemoryOf(const TargetId&) const override { return memory; }
  Tokens ColdBudgetOf(const TargetId&) const override { return cold_budget; }

  std::vector<TargetId> candidates;
  Tokens memory;
  Tokens cold_budget{16000};
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_FAKE_FLEET_H_
