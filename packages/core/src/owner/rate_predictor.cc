#include "umbertrail/core/owner/rate_predictor.h"

#include <algorithm>
#include <cmath>

namespace umbertrail::core {
namespace {

// Priors, in seconds and tokens; a few dozen attempts outweigh them.
constexpr double kPriorOverhead = 0.02;
constexpr double kPriorPrefillSlope = 1.0 / 10000.0;
constexpr double kTypicalPrefill = 4000.0;
constexpr double kPriorInterval = 0.015;
constexpr double kPriorIntervalBesideLong = 0.03;
constexpr double kPriorIntervalSlope = 0.0003;
constexpr double kTypicalBatch = 16.0;

// Weight that a sample keeps when a newer one comes.
constexpr double kFade = 0.98;
// Weight of each of the two prior samples.
constexpr double kPriorWeight = 2.0;
// Samples further off the fit than this factor are clipped.
constexpr double kClip = 4.0;
// A slope never falls below this part of its prior.
constexpr double kLeastSlope = 0.01;
// Smallest y that errors are taken relative to, in seconds.
constexpr double kLeastScale = 0.001;

// Part of the newest sample in the short-term factor, and the factor's bound.
constexpr double kCorrectionGain = 0.1;
const double kCorrectionBound = std::log(4.0);

constexpr double kFarOverFactor = 4.0;
constexpr absl::Duration kFarOverLeast = absl::Seconds(2);

}  // namespace

namespace detail {

FadingLineFit::FadingLineFit(double intercept, double slope, double typical_x)
    : prior_intercept_(intercept),
      prior_slope_(slope),
      typical_x_(typical_x),
      intercept_(intercept),
      slope_(slope) {}

void FadingLineFit::Add(double x, double y) {
  const double fitted = std::max(At(x), kLeastScale);
  const double clipped = std::clamp(y, fitted / kClip, fitted * kClip);
  sum_w_ *= kFade;
  sum_x_ *= kFade;
  sum_y_ *= kFade;
  sum_xx_ *= kFade;
  sum_xy_ *= kFade;
  AddToSums(x, clipped, 1.0 / (fitted * fitted));
  Solve();
}

void FadingLineFit::AddToSums(double x, double y, double weight) {
  sum_w_ += weight;
  sum_x_ += weight * x;
  sum_y_ += weight * y;
  sum_xx_ += weight * x * x;
  sum_xy_ += weight * x * y;
}

void FadingLineFit::Solve() {
  FadingLineFit all = *this;
  for (const double x : {0.0, typical_x_}) {
    const double y = prior_intercept_ + prior_slope_ * x;
    all.AddToSums(x, y, kPriorWeight / (y * y));
  }
  const double determinant = all.sum_w_ * all.sum_xx_ - all.sum_x_ * all.sum_x_;
  if (determinant <= 0) {
    return;
  }
  const double slope =
      (all.sum_w_ * all.sum_xy_ - all.sum_x_ * all.sum_y_) / determinant;
  slope_ = std::max(slope, prior_slope_ * kLeastSlope);
  intercept_ = std::max((all.sum_y_ - slope_ * all.sum_x_) / all.sum_w_, 0.0);
}

}  // namespace detail

RatePredictor::RatePredictor()
    : prefill_(kPriorOverhead, kPriorPrefillSlope, kTypicalPrefill),
      interval_(kPriorInterval, kPriorIntervalSlope, kTypicalBatch),
      interval_beside_long_(kPriorIntervalBesideLong,
                            kPriorIntervalSlope,
                            kTypicalBatch) {}

absl::Duration RatePredictor::FirstToken(Tokens prefill) const {
  const double fitted = prefill_.At(static_cast<double>(prefill.value()));
  return absl::Seconds(fitted * std::exp(log_correction_));
}

absl::Duration RatePredictor::Prefill(Tokens prefill) const {
  return absl::Seconds(prefill_.slope() * static_cast<double>(prefill.value()));
}

absl::Duration RatePredictor::Decode(Tokens output,
                                     int batch,
                                     bool beside_long) const {
  const detail::FadingLineFit& fit =
      beside_long ? interval_beside_long_ : interval_;
  return absl::Seconds(fit.At(batch)) * output.value();
}

void RatePredictor::Learn(const RateSample& sample) {
  if (sample.first_token <= absl::ZeroDuration()) {
    return;
  }
  const double x = static_cast<double>(sample.prefill.value());
  const double seen = absl::ToDoubleSeconds(sample.first_token);
  const double ratio = seen / std::max(prefill_.At(x), kLeastScale);
  const double bounded =
      std::clamp(std::log(ratio), -kCorrectionBound, kCorrectionBound);
  log_correction_ += kCorrectionGain * (bounded - log_correction_);
  prefill_.Add(x, seen);

  if (sample.generated <= Tokens(1)) {
    return;
  }
  const double decode =
      absl::ToDoubleSeconds(sample.total - sample.first_token);
  const auto steps = static_cast<double>(sample.generated.value() - 1);
  detail::FadingLineFit& fit =
      sample.beside_long ? interval_beside_long_ : interval_;
  fit.Add(sample.batch, decode / steps);
}

bool RatePredictor::FarOver(absl::Duration predicted, absl::Duration seen) {
  return seen > predicted * kFarOverFactor && seen > predicted + kFarOverLeast;
}

}  // namespace umbertrail::core
