#ifndef UMBERTRAIL_BASE_HASH_H_
#define UMBERTRAIL_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace umbertrail {

// 64-bit hash of `data`, equal on every machine and in every build (XXH64). Not
// for secrets.
uint64_t StableHash(std::string_view data, uint64_t seed = 0);

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_HASH_H_
