#ifndef UMBERTRAIL_DISPATCH_FLEET_SIZE_H_
#define UMBERTRAIL_DISPATCH_FLEET_SIZE_H_

#include <optional>

#include "absl/time/time.h"

namespace umbertrail::dispatch {

// What an instance tells others of the fleet's size.
struct FleetSizeReport {
  int instances = 0;
  // Time since an instance last knew of so many live ones.
  absl::Duration age;
};

// Number of instances among which the fleet's budgets are divided, as far as
// this instance knows. A restarted instance doesn't trust its own count, as it
// may be cut off from the others: until an older instance tells it, the size is
// unknown.
class FleetSize {
 public:
  // No fleet has more instances.
  static constexpr int kMaxInstances = 8192;

  enum class Start {
    // The only instance of its fleet, which starts for the first time.
    kAlone,
    // The whole fleet starts for the first time.
    kWithFleet,
    // Others may have run before.
    kLater,
  };

  FleetSize(Start start, absl::Time started_at)
      : start_(start), started_at_(started_at) {}

  // Live instances that this one knows of, itself included.
  void NoteLive(int instances, absl::Time now);
  // What another instance told.
  void Merge(const FleetSizeReport& report, absl::Time now);
  // What to tell other instances; nothing while the size is unknown.
  std::optional<FleetSizeReport> Report(absl::Time now) const;
  // Nothing while the size is unknown.
  std::optional<int> Divisor(absl::Time now) const;
  // The fleet has at least so many, or counts as if it had.
  int Minimum() const;

 private:
  bool IsKnown(absl::Time now) const;
  void Raise(int instances, absl::Time seen_at);

  Start start_;
  absl::Time started_at_;
  // An instance that knows the size has told it.
  bool was_told_ = false;
  // The largest number ever counted or told; doesn't decrease, as the others
  // may be cut off.
  int largest_ = 1;
  // The largest number within the retention time, and when it was seen last.
  // Only this is told, so that a fleet that shrinks forgets its former size.
  int recent_ = 1;
  absl::Time recent_at_ = absl::InfinitePast();
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FLEET_SIZE_H_
