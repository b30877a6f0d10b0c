#ifndef UMBERTRAIL_TOOLS_MEASURE_STATIC_FLEET_H_
#define UMBERTRAIL_TOOLS_MEASURE_STATIC_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "engine_fake.h"
#include "umbertrail/core/fleet_view.h"

namespace umbertrail::measure {

// A fleet of equal engines "e0", "e1", ... that one instance owns for good.
class StaticFleet : public core::FleetView {
 public:
  StaticFleet(const EngineSpec& spec, int engines) {
    manifest_.engine_classes.push_back(
        {"engine", false, Tokens(spec.memory), Tokens(spec.cold_budget)});
    for (int i = 0; i < engines; ++i) {
      core::TargetInfo info;
      info.id = TargetId("e" + std::to_string(i));
      info.engine_class = "engine";
      index_[info.id] = targets_.size();
      targets_.push_back(info);
    }
  }

  const manifest::Manifest* manifest() const override { return &manifest_; }
  const std::vector<core::TargetInfo>& targets() const override {
    return targets_;
  }
  const core::TargetInfo* FindTarget(const TargetId& id) const override {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &targets_[it->second];
  }
  const std::vector<core::InstanceInfo>& instances() const override {
    return instances_;
  }
  std::vector<core::InstanceInfo> HeardSince(absl::Time) const override {
    return {};
  }
  std::vector<InstanceId> Ranking(const TargetId&) const override { return {}; }
  core::OwnerClaim ClaimOf(const TargetId&, absl::Time) const override {
    return core::OwnerClaim::kFull;
  }
  std::optional<core::Reason> Barred(const TargetId&,
                                     absl::Time) const override {
    return std::nullopt;
  }
  bool ListConfirmed(absl::Time) const override { return true; }
  bool MayDispatch(absl::Time) const override { return true; }

 private:
  manifest::Manifest manifest_;
  std::vector<core::TargetInfo> targets_;
  absl::flat_hash_map<TargetId, size_t> index_;
  std::vector<core::InstanceInfo> instances_;
};

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_STATIC_FLEET_H_
