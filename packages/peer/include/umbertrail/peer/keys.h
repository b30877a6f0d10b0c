#ifndef UMBERTRAIL_PEER_KEYS_H_
#define UMBERTRAIL_PEER_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "umbertrail/base.h"

namespace umbertrail::peer {

// A secret shared by all instances of a fleet.
struct PeerKey {
  std::string secret;
};

// Shortest secret accepted, in bytes.
inline constexpr size_t kMinPeerKeyBytes = 32;
// Most keys accepted at once: the old and the new one of a rotation, with room.
inline constexpr size_t kMaxPeerKeys = 4;

// Reads the text of a key file: one key a line in hex, of at least
// kMinPeerKeyBytes; empty lines and lines that start with '#' are skipped. Two
// instances link when they share any key; the accepting side's first shared key
// is used. To rotate, add the new key everywhere, then remove the old one.
// Fails with kInvalidArgument and the line's number, without the line.
Result<std::vector<PeerKey>> ParsePeerKeys(std::string_view text);

}  // namespace umbertrail::peer

#endif  // UMBERTRAIL_PEER_KEYS_H_
