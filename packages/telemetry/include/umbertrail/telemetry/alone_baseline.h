#ifndef UMBERTRAIL_TELEMETRY_ALONE_BASELINE_H_
#define UMBERTRAIL_TELEMETRY_ALONE_BASELINE_H_

#include <array>
#include <cstddef>
#include <optional>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::telemetry {

// The fastest first token of a window counts as the time "alone".
inline constexpr absl::Duration kAloneWindow = absl::Minutes(10);

// Predicts the first token time that a short prompt would see on an otherwise
// idle fleet: the fastest one of prompts of like size (within a factor of two)
// in this window and the one before. It follows a fleet that becomes slower
// within two windows. Not thread-safe.
class AloneBaseline {
 public:
  // Adds what a prompt of `prompt` tokens saw and returns its slowdown: at
  // least 1, and 1 for the first of its size.
  double Observe(absl::Time now, Tokens prompt, absl::Duration first_token);

 private:
  // Sizes by powers of two; the last one takes everything larger.
  static constexpr size_t kSizes = 16;

  struct Window {
    absl::Time start = absl::InfinitePast();
    absl::Duration fastest = absl::InfiniteDuration();
    absl::Duration fastest_before = absl::InfiniteDuration();
  };

  std::array<Window, kSizes> windows_{};
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_ALONE_BASELINE_H_
