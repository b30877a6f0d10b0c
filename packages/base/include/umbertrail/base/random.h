#ifndef UMBERTRAIL_BASE_RANDOM_H_
#define UMBERTRAIL_BASE_RANDOM_H_

#include <cstdint>
#include <memory>

namespace umbertrail {

// Injectable random number generator.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  // Uniform over all 64-bit values.
  virtual uint64_t Next() = 0;

  // Uniform over [0, bound). Precondition: bound > 0.
  uint64_t Below(uint64_t bound);

  // Uniform over [0, 1).
  double Fraction();
};

// Deterministic: the same seed gives the same numbers on every machine.
std::unique_ptr<RandomSource> MakeSeededRandom(uint64_t seed);

// Uses the system's random device, for incarnations and keys.
std::unique_ptr<RandomSource> MakeSystemRandom();

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_RANDOM_H_
