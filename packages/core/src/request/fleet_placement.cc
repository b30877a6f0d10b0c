#include "umbertrail/core/request/fleet_placement.h"

#include <set>

namespace umbertrail::core {

void FleetPlacement::OnFleetChanged() {
  by_model_.clear();
  by_service_.clear();
  memory_.clear();
  const manifest::Manifest* manifest = fleet_->manifest();
  if (manifest == nullptr) {
    return;
  }
  std::map<std::string, Tokens> memory_of_class;
  for (const manifest::EngineClass& it : manifest->engine_classes) {
    memory_of_class[it.name] = it.memory;
  }
  std::set<std::pair<DataCentreId, ModelId>> deployed;
  for (const manifest::Deployment& it : manifest->deployments) {
    if (it.targets > 0) {
      deployed.insert({it.data_centre, it.model});
    }
  }
  for (const TargetInfo& target : fleet_->targets()) {
    if (target.kind == TargetKind::kService) {
      by_service_[target.service].push_back(target.id);
      continue;
    }
    memory_[target.id] = memory_of_class[target.engine_class];
    for (const manifest::Model& model : manifest->models) {
      if (deployed.count({target.data_centre, model.id}) != 0) {
        by_model_[model.id].push_back(target.id);
      }
    }
  }
}

std::vector<TargetId> FleetPlacement::CandidatesFor(const RequestSpec& spec,
                                                    absl::Time now) const {
  const std::vector<TargetId>* all = nullptr;
  if (spec.kind == RequestKind::kCompletion) {
    const auto it = by_model_.find(spec.model);
    all = it == by_model_.end() ? nullptr : &it->second;
  } else {
    const auto it = by_service_.find(spec.service);
    all = it == by_service_.end() ? nullptr : &it->second;
  }
  std::vector<TargetId> candidates;
  if (all == nullptr) {
    return candidates;
  }
  for (const TargetId& it : *all) {
    if (!fleet_->Barred(it, now).has_value()) {
      candidates.push_back(it);
    }
  }
  return candidates;
}

Tokens FleetPlacement::MemoryOf(const TargetId& target) const {
  const auto it = memory_.find(target);
  return it == memory_.end() ? Tokens(0) : it->second;
}

}  // namespace umbertrail::core
