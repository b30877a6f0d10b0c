#ifndef UMBERTRAIL_CORE_REQUEST_FLEET_PLACEMENT_H_
#define UMBERTRAIL_CORE_REQUEST_FLEET_PLACEMENT_H_

#include <map>
#include <vector>

#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/request/placement.h"

namespace umbertrail::core {

// Placement by the wanted state of targets, which every instance derives alike
// from manifest and target list. Recomputed when the fleet changes.
class FleetPlacement : public Placement {
 public:
  // `fleet` must outlive this.
  explicit FleetPlacement(const FleetView* fleet) : fleet_(fleet) {}

  // Cost: one computation of the wanted state.
  void OnFleetChanged();

  std::vector<TargetId> CandidatesFor(const RequestSpec& spec,
                                      absl::Time now) const override;
  Tokens MemoryOf(const TargetId& target) const override;
  Tokens ColdBudgetOf(const TargetId& target) const override;

 private:
  const FleetView* fleet_;
  std::map<ModelId, std::vector<TargetId>> by_model_;
  std::map<ServiceId, std::vector<TargetId>> by_service_;
  std::map<TargetId, Tokens> memory_;
  std::map<TargetId, Tokens> cold_budget_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_FLEET_PLACEMENT_H_
