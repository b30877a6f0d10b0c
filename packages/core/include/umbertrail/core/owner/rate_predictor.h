#ifndef UMBERTRAIL_CORE_OWNER_RATE_PREDICTOR_H_
#define UMBERTRAIL_CORE_OWNER_RATE_PREDICTOR_H_

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::core {

namespace detail {

// A line y = intercept + slope * x, fitted by least squares over samples whose
// weights fade as newer ones come. Errors count relative to y, so that large
// samples do not drown small ones. Two fixed samples of the prior line keep
// the fit defined from the start.
class FadingLineFit {
 public:
  // `typical_x` is where the second prior sample lies; it must be positive.
  FadingLineFit(double intercept, double slope, double typical_x);

  // Adds a sample; a `y` more than four times off the fit counts as four times
  // off. Cost: constant.
  void Add(double x, double y);

  double At(double x) const { return intercept_ + slope_ * x; }
  double slope() const { return slope_; }

 private:
  void AddToSums(double x, double y, double weight);
  void Solve();

  double prior_intercept_;
  double prior_slope_;
  double typical_x_;
  double intercept_;
  double slope_;
  double sum_w_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

}  // namespace detail

// What was seen of one attempt that ran to its end.
struct RateSample {
  // Prompt tokens computed before its first token: its own without the matched
  // prefix, and those in front of it when it was granted.
  Tokens prefill;
  // Attempts running beside it, itself included.
  int batch = 1;
  // Whether a long prompt was being computed beside it.
  bool beside_long = false;
  absl::Duration first_token;
  absl::Duration total;
  Tokens generated;
};

// Predicts how long one target takes. Prefill time is fitted as a line over
// tokens, the time between two output tokens as a line over the batch; a
// short-term factor follows a target that slows down or recovers faster than
// the fit does. Cost of each call: constant.
class RatePredictor {
 public:
  RatePredictor();

  // Time from the start to the first token with `prefill` tokens to compute,
  // those in front included.
  absl::Duration FirstToken(Tokens prefill) const;

  // Time that the engine spends on `prefill` tokens alone.
  absl::Duration Prefill(Tokens prefill) const;

  // Time to generate `output` tokens in a batch of `batch` attempts, while a
  // long prompt is computed beside them or not.
  absl::Duration Decode(Tokens output, int batch, bool beside_long) const;

  // Learns from a finished attempt. A sample without a first token is ignored.
  void Learn(const RateSample& sample);

  // Whether a first token came so late that the target must have turned cold:
  // over four times and over two seconds past the prediction.
  static bool FarOver(absl::Duration predicted, absl::Duration seen);

 private:
  detail::FadingLineFit prefill_;
  detail::FadingLineFit interval_;
  detail::FadingLineFit interval_beside_long_;
  // Natural logarithm of seen over fitted first-token time, fading.
  double log_correction_ = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_RATE_PREDICTOR_H_
