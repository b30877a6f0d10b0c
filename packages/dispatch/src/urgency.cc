#include "umbertrail/dispatch/urgency.h"

#include <algorithm>

namespace umbertrail::dispatch {

int UrgencyOf(const Route& route, const Account* account) {
  const int priority = account != nullptr && account->priority
                           ? *account->priority
                           : route.priority;
  return std::clamp(priority, kMostUrgent, kLeastUrgent);
}

}  // namespace umbertrail::dispatch
