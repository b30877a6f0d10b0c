#ifndef UMBERTRAIL_CORE_REQUEST_RETRY_BUDGET_H_
#define UMBERTRAIL_CORE_REQUEST_RETRY_BUDGET_H_

namespace umbertrail::core {

// Bounds an instance's retries to a share of its requests, so that failing
// targets are not buried under repeats of the work that failed.
class RetryBudget {
 public:
  // Every request earns this share of a retry.
  static constexpr double kPerRequest = 0.1;
  // Retries that an idle instance may still make, and the most it saves up.
  static constexpr double kCapacity = 20.0;

  // A new request arrived.
  void Earn();

  // Takes one retry; false when none is left.
  bool Spend();

  double available() const { return available_; }

 private:
  double available_ = kCapacity;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_RETRY_BUDGET_H_
