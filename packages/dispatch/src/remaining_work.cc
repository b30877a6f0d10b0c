#include "umbertrail/dispatch/remaining_work.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>

#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/output_estimator.h"

namespace umbertrail::dispatch {
namespace {

constexpr double kTokensPerK = 1000;
// A request has ended for certain after this multiple of its expected time to
// the end, and decodes for certain before 1 minus the excess of it.
constexpr double kCertainEnd = 1.5;

double ExpectedEvents(const EngineModel& engine, const WorkItem& item) {
  return item.expected_events > 0 ? item.expected_events
                                  : DefaultEvents(engine);
}

// Probability that a request whose end is expected after `to_end` still runs
// after `from_now`.
double ShareStillRunning(absl::Duration to_end, absl::Duration from_now) {
  if (from_now <= absl::ZeroDuration()) {
    return 1;
  }
  if (to_end <= absl::ZeroDuration()) {
    return 0;
  }
  return std::clamp(kCertainEnd - absl::FDivDuration(from_now, to_end), 0.0,
                    1.0);
}

}  // namespace

absl::Duration DecodePassTime(const EngineModel& engine,
                              const RemainingWork::DecodeLoad& load) {
  return absl::Milliseconds(
      engine.steps_per_pass *
      (engine.step_ms + engine.step_ms_per_request * load.decoding +
       engine.step_ms_per_1k_context * load.context_tokens / kTokensPerK));
}

RemainingWork::RemainingWork(const EngineModel& engine,
                             const std::vector<WorkItem>& work,
                             const TargetSpeed& speed,
                             absl::Time now)
    : engine_(engine), work_(work), speed_(speed), now_(now) {
  DecodeLoad load;
  for (const WorkItem& item : work) {
    if (!item.prefilling && !item.is_helper) {
      load.decoding += 1;
      load.context_tokens += static_cast<double>(item.prompt.value());
    }
  }
  pass_ = DecodePassTime(engine, load) * speed.decode_slowdown;
}

absl::Duration RemainingWork::TimeToFirstEvent(const WorkItem& item) const {
  if (!item.prefilling) {
    return absl::ZeroDuration();
  }
  // A prediction that has passed says nothing; then the prefill is next.
  const absl::Duration predicted =
      item.sent_at + item.time_to_first_event - now_;
  const absl::Duration least = pass_;
  return predicted < absl::InfiniteDuration() ? std::max(predicted, least)
                                              : least;
}

absl::Duration RemainingWork::SlotTime(const WorkItem& item) const {
  const double expected = ExpectedEvents(engine_, item);
  if (item.prefilling) {
    return item.prefill_time * speed_.prefill_slowdown + expected * pass_;
  }
  // An older build doesn't report the time of the first event.
  const absl::Time first =
      item.first_event_at > absl::InfinitePast()
          ? item.first_event_at
          : std::min(now_, item.sent_at + item.prefill_time);
  const double received =
      pass_ > absl::ZeroDuration()
          ? 1 + std::max(0.0, absl::FDivDuration(now_ - first, pass_))
          : expected;
  return RemainingEvents(expected, received) * pass_;
}

absl::Duration RemainingWork::TimeToEnd(const WorkItem& item) const {
  return item.prefilling
             ? TimeToFirstEvent(item) + ExpectedEvents(engine_, item) * pass_
             : SlotTime(item);
}

absl::Duration RemainingWork::TimeUntilSlot(int slots, int urgency) const {
  const auto occupied =
      std::count_if(work_.begin(), work_.end(),
                    [](const WorkItem& item) { return !item.is_helper; });
  if (occupied < slots) {
    return absl::ZeroDuration();
  }
  std::vector<const WorkItem*> order;
  order.reserve(static_cast<size_t>(occupied));
  for (const WorkItem& item : work_) {
    if (!item.is_helper && (!item.prefilling || item.urgency <= urgency)) {
      order.push_back(&item);
    }
  }
  // Decoding requests have slots; the others get theirs in this order.
  std::sort(order.begin(), order.end(),
            [](const WorkItem* a, const WorkItem* b) {
              return std::tie(a->prefilling, a->urgency, a->sent_at) <
                     std::tie(b->prefilling, b->urgency, b->sent_at);
            });
  const auto slot_count = static_cast<size_t>(std::max(slots, 1));
  // Times at which slots free up, the earliest on top.
  std::vector<absl::Duration> free;
  free.reserve(order.size() + 1);
  const auto later = std::greater<absl::Duration>();
  for (const WorkItem* item : order) {
    absl::Duration start = absl::ZeroDuration();
    if (free.size() >= slot_count) {
      std::pop_heap(free.begin(), free.end(), later);
      start = free.back();
      free.pop_back();
    }
    free.push_back(start + SlotTime(*item));
    std::push_heap(free.begin(), free.end(), later);
  }
  return free.size() < slot_count ? absl::ZeroDuration() : free.front();
}

double RemainingWork::DecodingShareAt(const WorkItem& item,
                                      absl::Duration from_now) const {
  if (item.is_helper ||
      (item.prefilling && TimeToFirstEvent(item) > from_now)) {
    return 0;
  }
  return ShareStillRunning(TimeToEnd(item), from_now);
}

RemainingWork::DecodeLoad RemainingWork::DecodeLoadAt(
    absl::Duration from_now) const {
  DecodeLoad load;
  for (const WorkItem& item : work_) {
    const double share = DecodingShareAt(item, from_now);
    load.decoding += share;
    load.context_tokens += share * static_cast<double>(item.prompt.value());
  }
  return load;
}

Tokens RemainingWork::MemoryAt(absl::Duration from_now) const {
  double tokens = 0;
  for (const WorkItem& item : work_) {
    // A helper's part is held until the whole prompt has been read.
    const absl::Duration end =
        item.is_helper ? TimeToFirstEvent(item) : TimeToEnd(item);
    tokens += ShareStillRunning(end, from_now) *
              static_cast<double>(item.prompt.value());
  }
  return Tokens(static_cast<int64_t>(tokens));
}

}  // namespace umbertrail::dispatch
