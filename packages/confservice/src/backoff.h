#ifndef UMBERTRAIL_CONFSERVICE_SRC_BACKOFF_H_
#define UMBERTRAIL_CONFSERVICE_SRC_BACKOFF_H_

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::confservice::detail {

// Exponential back-off with full jitter: each wait is uniform between zero and
// a limit that doubles, so that many instances do not come back together.
class Backoff {
 public:
  Backoff(absl::Duration first,
          absl::Duration longest,
          std::unique_ptr<RandomSource> random)
      : first_(first),
        longest_(longest),
        limit_(first),
        random_(std::move(random)) {}

  // The wait after one more failure.
  absl::Duration Next() {
    const absl::Duration wait = limit_ * random_->Fraction();
    limit_ = std::min(limit_ * 2, longest_);
    return wait;
  }

  void Reset() { limit_ = first_; }

 private:
  const absl::Duration first_;
  const absl::Duration longest_;
  absl::Duration limit_;
  const std::unique_ptr<RandomSource> random_;
};

}  // namespace umbertrail::confservice::detail

#endif  // UMBERTRAIL_CONFSERVICE_SRC_BACKOFF_H_
