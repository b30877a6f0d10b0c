#include "umbertrail/telemetry/bounded_labels.h"

namespace umbertrail::telemetry {

BoundedLabels::BoundedLabels(size_t limit) : limit_(limit) {}

std::string BoundedLabels::LabelFor(const std::string& value) {
  if (value.empty()) {
    return "none";
  }
  if (known_.contains(value)) {
    return value;
  }
  if (known_.size() >= limit_) {
    return "other";
  }
  known_.insert(value);
  return value;
}

}  // namespace umbertrail::telemetry
