#ifndef UMBERTRAIL_PEER_KEYS_H_
#define UMBERTRAIL_PEER_KEYS_H_

#include <string>

namespace umbertrail::peer {

// A secret shared by all instances of a fleet. Two instances link when they
// share any key; the accepting side's first shared key is used. To rotate, add
// the new key everywhere, then remove the old one.
struct PeerKey {
  std::string secret;
};

}  // namespace umbertrail::peer

#endif  // UMBERTRAIL_PEER_KEYS_H_
