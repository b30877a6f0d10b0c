#include "umbertrail/dispatch/pause_window.h"

#include <algorithm>

#include "umbertrail/dispatch/pass_time.h"
#include "umbertrail/dispatch/placement.h"

namespace umbertrail::dispatch {
namespace {

// Index of the typical pause among the sorted ones of a window. The shortest
// may follow events that were received late.
constexpr size_t kTypical = 1;

}  // namespace

std::optional<absl::Duration> PauseWindow::Add(absl::Duration pause) {
  pauses_[count_++] = pause;
  if (count_ < kSize) {
    return std::nullopt;
  }
  count_ = 0;
  std::nth_element(pauses_.begin(), pauses_.begin() + kTypical, pauses_.end());
  return pauses_[kTypical];
}

std::optional<double> PauseRatio(const EngineModel& engine,
                                 const std::vector<WorkItem>& work,
                                 double prefill_slowdown,
                                 absl::Duration pause,
                                 absl::Time now) {
  const absl::Duration backlog = PrefillBacklog(work, prefill_slowdown, now);
  PassLoad load = ComputePassLoad(work, backlog, prefill_slowdown);
  // The stream whose pause it is may not be known there any more.
  load.decoding = std::max(load.decoding, 1);
  const bool prefills =
      std::any_of(work.begin(), work.end(),
                  [](const WorkItem& item) { return item.prefilling; });
  const absl::Duration pass =
      PassTimeWithPrefill(engine, load, Tokens(0), absl::ZeroDuration());
  if (pass <= absl::ZeroDuration()) {
    return std::nullopt;
  }
  const double ratio = absl::FDivDuration(pause, pass);
  // A prefill that is overdue takes an unknown time.
  if (prefills && (ratio <= 1 || backlog == absl::ZeroDuration())) {
    return std::nullopt;
  }
  return ratio;
}

}  // namespace umbertrail::dispatch
