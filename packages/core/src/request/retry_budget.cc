#include "umbertrail/core/request/retry_budget.h"

#include <algorithm>

namespace umbertrail::core {

void RetryBudget::Earn() {
  available_ = std::min(kCapacity, available_ + kPerRequest);
}

bool RetryBudget::Spend() {
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

}  // namespace umbertrail::core
