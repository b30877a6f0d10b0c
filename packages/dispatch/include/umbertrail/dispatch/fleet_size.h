#ifndef UMBERTRAIL_DISPATCH_FLEET_SIZE_H_
#define UMBERTRAIL_DISPATCH_FLEET_SIZE_H_

namespace umbertrail::dispatch {

// Number of instances among which the fleet's budgets are divided, as far as
// this instance knows.
class FleetSize {
 public:
  // Live instances that this one knows of, itself included.
  void NoteLive(int instances);
  int Divisor() const { return largest_; }

 private:
  // A partitioned instance doesn't know how many others there are.
  static constexpr int kMinInstances = 8;

  // The largest number seen; never decreases.
  int largest_ = kMinInstances;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FLEET_SIZE_H_
