#ifndef UMBERTRAIL_DISPATCH_PAUSE_WINDOW_H_
#define UMBERTRAIL_DISPATCH_PAUSE_WINDOW_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"

// Measures a target's decode speed by the pauses between the events of a
// stream.

namespace umbertrail::dispatch {

// Pauses of one stream at one target. Gives a typical pause for each full
// window: a low quantile, as passes that prefill other prompts last longer.
class PauseWindow {
 public:
  // Adds a pause; returns the typical one when the window is full, and then
  // starts the next window.
  std::optional<absl::Duration> Add(absl::Duration pause);
  // Discards the window, for example while reading from the target is paused
  // for a slow client: its pauses then don't show the target's speed.
  void Discard() { count_ = 0; }

 private:
  static constexpr size_t kSize = 5;

  std::array<absl::Duration, kSize> pauses_;
  size_t count_ = 0;
};

// Ratio of a measured pause to the modelled pass with the known work. If a
// prompt is prefilled there, only a pause above a pass with that prefill shows
// anything; nothing is returned otherwise.
std::optional<double> PauseRatio(const EngineModel& engine,
                                 const std::vector<WorkItem>& work,
                                 double prefill_slowdown,
                                 absl::Duration pause,
                                 absl::Time now);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PAUSE_WINDOW_H_
