#ifndef UMBERTRAIL_MANIFEST_KEYS_H_
#define UMBERTRAIL_MANIFEST_KEYS_H_

#include <string>
#include <string_view>

#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

// Length of a hex-encoded SHA-256.
inline constexpr size_t kHashDigits = 64;

// Lower-case hex SHA-256 of `bytes`, used to address the content of a part.
std::string ContentHash(std::string_view bytes);

// True for kHashDigits lower-case hex digits.
bool IsContentHash(std::string_view text);

// Hash of an account's key as stored in a manifest: the lower-case hex SHA-256
// of `salt` followed by `secret`.
std::string HashKey(std::string_view salt, std::string_view secret);

// Whether `secret` is the key of `account`. Run time depends only on the length
// of `secret`.
bool VerifyKey(const ClientAccount& account, std::string_view secret);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_KEYS_H_
