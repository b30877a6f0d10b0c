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
  const manifest::Manifest* manifest() const override { return &manifest_; }
  const std::vector<TargetInfo>& targets() const override { return targets_; }
  const TargetInfo* FindTarget(const TargetId& id) const override {
    for (const TargetInfo& it : targets_) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }
  const std::vector<InstanceInfo>& instances() const override {
    return instances_;
  }
  std::vector<InstanceId> Ranking(const TargetId& target) const override {
    const auto it = owners_.find(target);
    return it == owners_.end() ? std::vector<InstanceId>() : it->second;
  }
  OwnerClaim ClaimOf(const TargetId&, absl::Time) const override {
    return claim_;
  }
  std::optional<Reason> Barred(const TargetId& target,
                               absl::Time) const override {
    return barred_.count(target) == 0 ? std::nullopt
                                      : std::optional(Reason::kNoTarget);
  }
  bool ListConfirmed(absl::Time) const override { return true; }
  bool MayDispatch(absl::Time) const override { return may_dispatch_; }

  manifest::Manifest manifest_;
  std::vector<TargetInfo> targets_;
  std::vector<InstanceInfo> instances_;
  std::map<TargetId, std::vector<InstanceId>> owners_;
  std::set<TargetId> barred_;
  OwnerClaim claim_ = OwnerClaim::kFull;
  bool may_dispatch_ = true;
};

// Candidates and memory that a test sets outright.
class FakePlacement : public Placement {
 public:
  std::vector<TargetId> CandidatesFor(const RequestSpec&,
                                      absl::Time) const override {
    return candidates_;
  }
  Tokens MemoryOf(const TargetId&) const override { return memory_; }

  std::vector<TargetId> candidates_;
  Tokens memory_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_FAKE_FLEET_H_
