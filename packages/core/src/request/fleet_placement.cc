#include "umbertrail/core/request/fleet_placement.h"

#include <string>

#include "umbertrail/core/orders/wanted_state.h"

namespace umbertrail::core {

void FleetPlacement::OnFleetChanged() {
  by_model_.clear();
  by_service_.clear();
  memory_.clear();
  cold_budget_.clear();
  const manifest::Manifest* manifest = fleet_->manifest();
  if (manifest == nullptr) {
    return;
  }
  std::map<std::string, Tokens> memory_of_class;
  std::map<std::string, Tokens> cold_budget_of_class;
  for (const manifest::EngineClass& it : manifest->engine_classes) {
    memory_of_class[it.name] = it.memory;
    cold_budget_of_class[it.name] = it.cold_budget;
  }
  for (const TargetInfo& target : fleet_->targets()) {
    if (target.kind == TargetKind::kService) {
      by_service_[target.service].push_back(target.id);
    } else {
      memory_[target.id] = memory_of_class[target.engine_class];
      cold_budget_[target.id] = cold_budget_of_class[target.engine_class];
    }
  }
  for (const WantedTarget& it : WantedState(*manifest, fleet_->targets())) {
    by_model_[it.model].push_back(it.target);
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

Tokens FleetPlacement::ColdBudgetOf(const TargetId& target) const {
  const auto it = cold_budget_.find(target);
  return it == cold_budget_.end() ? Tokens(0) : it->second;
}

Tokens FleetPlacement::MemoryOf(const TargetId& target) const {
  const auto it = memory_.find(target);
  return it == memory_.end() ? Tokens(0) : it->second;
}

}  // namespace umbertrail::core
