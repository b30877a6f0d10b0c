#ifndef UMBERTRAIL_CORE_REQUEST_PLACEMENT_H_
#define UMBERTRAIL_CORE_REQUEST_PLACEMENT_H_

#include <vector>

#include "umbertrail/core/types.h"

namespace umbertrail::core {

// Says which targets should serve a request. The owners know what a target
// serves in truth; this only bounds whom to ask.
class Placement {
 public:
  virtual ~Placement() = default;

  // Targets meant to serve `spec`'s model or service, in id order, without
  // those barred at `now`.
  virtual std::vector<TargetId> CandidatesFor(const RequestSpec& spec,
                                              absl::Time now) const = 0;

  // KV memory of one target in tokens; zero when it is not known.
  virtual Tokens MemoryOf(const TargetId& target) const = 0;

  // What the target can bear just after its start; zero when not known.
  virtual Tokens ColdBudgetOf(const TargetId& target) const = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_PLACEMENT_H_
