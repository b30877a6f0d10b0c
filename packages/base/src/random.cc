#include "umbertrail/base/random.h"

#include <random>

namespace umbertrail {
namespace {

class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

class SystemRandom : public RandomSource {
 public:
  uint64_t Next() override {
    const uint64_t high = device_();
    return (high << 32) | device_();
  }

 private:
  std::random_device device_;
};

}  // namespace

uint64_t RandomSource::Below(uint64_t bound) {
  return Next() % bound;
}

double RandomSource::Fraction() {
  constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * scale;
}

std::unique_ptr<RandomSource> MakeSeededRandom(uint64_t seed) {
  return std::make_unique<SeededRandom>(seed);
}

std::unique_ptr<RandomSource> MakeSystemRandom() {
  return std::make_unique<SystemRandom>();
}

}  // namespace umbertrail
