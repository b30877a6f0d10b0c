#ifndef UMBERTRAIL_TELEMETRY_BOUNDED_LABELS_H_
#define UMBERTRAIL_TELEMETRY_BOUNDED_LABELS_H_

#include <cstddef>
#include <string>

#include "absl/container/flat_hash_set.h"

namespace umbertrail::telemetry {

// Keeps a metric's label values bounded: the first `limit` distinct values
// stand for themselves, all later ones become "other". Not thread-safe.
class BoundedLabels {
 public:
  explicit BoundedLabels(size_t limit);

  // The label to use for `value`; "none" for an empty one.
  std::string LabelFor(const std::string& value);

 private:
  const size_t limit_;
  absl::flat_hash_set<std::string> known_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_BOUNDED_LABELS_H_
