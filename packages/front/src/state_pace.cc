#include <algorithm>

#include "umbertrail/dispatch/pause_window.h"
#include "umbertrail/front/state.h"

// The decode speed of targets.

namespace umbertrail::front {
namespace {

// Windows that count in one report; no instance has more in so short a time.
constexpr int64_t kMaxPauseWindows = 100;

}  // namespace

void State::RecordPauses(const TargetId& target,
                         absl::Duration pause,
                         int64_t windows,
                         absl::Time now) {
  const dispatch::TargetEntry* entry = view.Find(target);
  if (windows <= 0 || entry == nullptr || !view.has_config()) {
    return;
  }
  const auto& services = view.config().services;
  const auto service = services.find(entry->service);
  if (service == services.end() || !service->second.engine) {
    return;
  }
  dispatch::TargetHealth& seen = health[target];
  const std::optional<double> ratio =
      dispatch::PauseRatio(*service->second.engine, board.LoadAt(target, now),
                           seen.slowdown(), pause, now);
  if (ratio) {
    seen.RecordPauses(
        *ratio, static_cast<int>(std::min(windows, kMaxPauseWindows)), now);
  }
}

void State::RecordOwnPause(const TargetId& target,
                           absl::Duration pause,
                           absl::Time now) {
  UnreportedOutcomes& outcomes = unreported_outcomes[target];
  ++outcomes.pause_windows;
  outcomes.pause_sum += pause;
  RecordPauses(target, pause, 1, now);
}

}  // namespace umbertrail::front
