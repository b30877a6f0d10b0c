#include <catch2/catch.hpp>

#include "umbertrail/core/owner/rate_predictor.h"

namespace umbertrail::core {
namespace {

RateSample SampleAt(double rate, int64_t prefill) {
  RateSample sample;
  sample.prefill = Tokens(prefill);
  sample.first_token =
      absl::Seconds(0.05 + static_cast<double>(prefill) / rate);
  sample.total = sample.first_token + absl::Seconds(3);
  sample.generated = Tokens(101);
  sample.batch = 4;
  return sample;
}

TEST_CASE("a predictor learns a target's rates over mixed lengths") {
  RatePredictor rates;
  auto random = MakeSeededRandom(3);
  for (int i = 0; i < 300; ++i) {
    const int64_t prompt = i % 50 == 0 ? 400000 : 1000;
    rates.Learn(
        SampleAt(4000.0, prompt + static_cast<int64_t>(random->Below(3000))));
  }
  const double at_short = absl::ToDoubleSeconds(rates.FirstToken(Tokens(2000)));
  const double at_long =
      absl::ToDoubleSeconds(rates.FirstToken(Tokens(400000)));
  CHECK(at_short == Approx(0.55).epsilon(0.1));
  CHECK(at_long == Approx(100.05).epsilon(0.1));
  const double decode =
      absl::ToDoubleSeconds(rates.Decode(Tokens(100), 4, false));
  CHECK(decode == Approx(3.0).epsilon(0.1));
}

TEST_CASE("one wild sample does not upset the fit") {
  RatePredictor rates;
  for (int i = 0; i < 100; ++i) {
    rates.Learn(SampleAt(10000.0, 1000 + 100 * (i % 40)));
  }
  const absl::Duration before = rates.FirstToken(Tokens(3000));
  RateSample wild = SampleAt(10000.0, 3000);
  wild.first_token = absl::Minutes(5);
  rates.Learn(wild);
  CHECK(rates.FirstToken(Tokens(3000)) < before * 1.5);
}

TEST_CASE("a first token is far over only by factor and by time") {
  CHECK_FALSE(
      RatePredictor::FarOver(absl::Milliseconds(100), absl::Seconds(1)));
  CHECK_FALSE(RatePredictor::FarOver(absl::Seconds(10), absl::Seconds(30)));
  CHECK(RatePredictor::FarOver(absl::Milliseconds(500), absl::Seconds(3)));
}

}  // namespace
}  // namespace umbertrail::core
