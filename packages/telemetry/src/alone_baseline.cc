#include "umbertrail/telemetry/alone_baseline.h"

#include <algorithm>

namespace umbertrail::telemetry {
namespace {

// Guards the ratio against a first token that came within the clock's grain.
constexpr absl::Duration kLeastTime = absl::Microseconds(100);

size_t SizeIndex(Tokens prompt, size_t sizes) {
  size_t index = 0;
  for (int64_t n = prompt.value(); n > 1 && index + 1 < sizes; n /= 2) {
    ++index;
  }
  return index;
}

}  // namespace

double AloneBaseline::Observe(absl::Time now,
                              Tokens prompt,
                              absl::Duration first_token) {
  Window& window = windows_.at(SizeIndex(prompt, kSizes));
  if (now - window.start >= kAloneWindow) {
    // A window that ended long ago says nothing any more.
    const bool adjoining = now - window.start < 2 * kAloneWindow;
    window.fastest_before =
        adjoining ? window.fastest : absl::InfiniteDuration();
    window.fastest = absl::InfiniteDuration();
    window.start = now;
  }
  const absl::Duration seen = std::max(first_token, kLeastTime);
  window.fastest = std::min(window.fastest, seen);
  const absl::Duration alone = std::min(window.fastest, window.fastest_before);
  return absl::FDivDuration(seen, std::min(alone, seen));
}

}  // namespace umbertrail::telemetry
