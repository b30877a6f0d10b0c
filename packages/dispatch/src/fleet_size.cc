#include "umbertrail/dispatch/fleet_size.h"

#include <algorithm>

namespace umbertrail::dispatch {

void FleetSize::NoteLive(int instances) {
  largest_ = std::max(largest_, instances);
}

}  // namespace umbertrail::dispatch
