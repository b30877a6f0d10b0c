#ifndef UMBERTRAIL_DISPATCH_REMAINING_WORK_H_
#define UMBERTRAIL_DISPATCH_REMAINING_WORK_H_

#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/pass_time.h"

// Forecast of the work at a model engine, from the expected output of each
// request there and the time since its first event.

namespace umbertrail::dispatch {

// Ratios of a target's measured to its modelled times; 1 as modelled.
struct TargetSpeed {
  double prefill_slowdown = 1;
  double decode_slowdown = 1;
};

// Forecasts for one target at the time of construction. Refers to its
// arguments, which must outlive it. Durations count from that time.
class RemainingWork {
 public:
  RemainingWork(const EngineModel& engine,
                const std::vector<WorkItem>& work,
                const TargetSpeed& speed,
                absl::Time now);

  // A pass without prefill, at present.
  absl::Duration pass() const { return pass_; }
  // Time until a request of `urgency` that is sent now gets a slot. More urgent
  // requests, and earlier ones of the same urgency, get theirs before. Zero if
  // a slot is free.
  absl::Duration TimeUntilSlot(int slots, int urgency) const;
  // Time until the request's last event if it needs not wait for a slot.
  absl::Duration TimeToEnd(const WorkItem& item) const;
  // Expected part of the request's decoding that lies after `from_now`: 1 if it
  // surely decodes then, 0 if it has surely ended or not begun.
  double DecodingShareAt(const WorkItem& item, absl::Duration from_now) const;
  // Load of the pass at that time, without prefill.
  struct DecodeLoad {
    double decoding = 0;
    double context_tokens = 0;
  };
  DecodeLoad DecodeLoadAt(absl::Duration from_now) const;
  // Expected memory that prompts, and parts of them, occupy at that time.
  Tokens MemoryAt(absl::Duration from_now) const;

 private:
  // Time until the first event; zero if it has come.
  absl::Duration TimeToFirstEvent(const WorkItem& item) const;
  // Time that the request occupies its slot from now on.
  absl::Duration SlotTime(const WorkItem& item) const;

  const EngineModel& engine_;
  const std::vector<WorkItem>& work_;
  TargetSpeed speed_;
  absl::Time now_;
  absl::Duration pass_;
};

// Duration of a pass without prefill at that load.
absl::Duration DecodePassTime(const EngineModel& engine,
                              const RemainingWork::DecodeLoad& load);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_REMAINING_WORK_H_
