#include "umbertrail/dispatch/load_forecast.h"

#include <algorithm>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

absl::Duration StreamTime(const WorkItem& item,
                          const EngineModel& engine,
                          size_t occupied) {
  const double events =
      item.expected_events > 0
          ? item.expected_events
          : engine.mean_output_tokens / std::max(engine.steps_per_pass, 1);
  return DecodePassTime(engine, static_cast<int>(occupied)) * events;
}

// Prefills finish in the order in which they were sent.
void FinishPrefills(absl::Time until, Candidate* candidate) {
  std::vector<WorkItem>& work = candidate->work;
  std::stable_sort(work.begin(), work.end(),
                   [](const WorkItem& a, const WorkItem& b) {
                     return a.sent_at < b.sent_at;
                   });
  absl::Time free = absl::InfinitePast();
  for (WorkItem& item : work) {
    if (!item.prefilling) {
      continue;
    }
    free =
        std::max(free, item.sent_at) + item.prefill_time * candidate->slowdown;
    if (free <= until) {
      item.prefilling = false;
      item.first_event_at = free;
    }
  }
}

}  // namespace

std::vector<Candidate> ForecastLoad(std::vector<Candidate> candidates,
                                    const EngineModel& engine,
                                    absl::Time now,
                                    absl::Duration after) {
  const absl::Time until = now + after;
  for (Candidate& candidate : candidates) {
    candidate.rate_wait =
        std::max(absl::ZeroDuration(), candidate.rate_wait - after);
    FinishPrefills(until, &candidate);
    std::vector<WorkItem>& work = candidate.work;
    const size_t occupied = work.size();
    work.erase(
        std::remove_if(work.begin(), work.end(),
                       [&](const WorkItem& item) {
                         const absl::Time start =
                             std::max(item.first_event_at, item.sent_at);
                         return !item.prefilling &&
                                (item.is_helper ||
                                 start + StreamTime(item, engine, occupied) <=
                                     until);
                       }),
        work.end());
  }
  return candidates;
}

}  // namespace umbertrail::dispatch
