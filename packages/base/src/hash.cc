#include "umbertrail/base/hash.h"

#include <xxhash.h>

namespace umbertrail {

uint64_t StableHash(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

}  // namespace umbertrail
