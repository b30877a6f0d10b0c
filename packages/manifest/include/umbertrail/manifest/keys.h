#ifndef UMBERTRAIL_MANIFEST_KEYS_H_
#define UMBERTRAIL_MANIFEST_KEYS_H_

#include <string>
#include <string_view>

#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

// Hex digits of a SHA-256.
inline constexpr size_t kHashDigits = 64;

// Lower-case hex SHA-256 of `bytes`: the name of a part's content.
std::string ContentHash(std::string_view bytes);

// True for kHashDigits lower-case hex digits.
bool IsContentHash(std::string_view text);

// What a manifest stores of an account's key: the lower-case hex SHA-256 of
// `salt` followed by `secret`.
std::string HashKey(std::string_view salt, std::string_view secret);

// Whether `secret` is the key of `account`. Takes the same time for every
// secret of one length, whatever it has in common with the key.
bool VerifyKey(const ClientAccount& account, std::string_view secret);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_KEYS_H_
