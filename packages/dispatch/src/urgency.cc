#include "umbertrail/dispatch/urgency.h"

#include <algorithm>
#include <cmath>

namespace umbertrail::dispatch {
namespace {

// Largest power of two by which urgency scales a value. Beyond it, one urgent
// stream would outweigh any number of less urgent requests.
constexpr int kMaxWeightSteps = 3;

}  // namespace

int UrgencyOf(const Route& route, const Account* account) {
  const int priority = account != nullptr && account->priority
                           ? *account->priority
                           : route.priority;
  return std::clamp(priority, kMostUrgent, kLeastUrgent);
}

double UrgencyWeight(int urgency, int reference) {
  return std::exp2(
      std::clamp(reference - urgency, -kMaxWeightSteps, kMaxWeightSteps));
}

}  // namespace umbertrail::dispatch
