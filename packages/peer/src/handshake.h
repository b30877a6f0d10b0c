#ifndef UMBERTRAIL_PEER_HANDSHAKE_H_
#define UMBERTRAIL_PEER_HANDSHAKE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "umbertrail/base.h"
#include "umbertrail/peer/keys.h"

// Mutual proof of a shared key, and the sealing of frames after it.
//
//   opener   -> Hello   {version, self, nonce, ids of its keys}
//   acceptor -> Welcome {version, self, nonce, id of the key, proof}
//   opener   -> Proof   {proof}
//
// A proof is the HMAC under the shared key of a label and both nonces and
// identities, so neither side's proof can be reflected or used again. Each
// direction's frames are sealed under a key of their own, drawn from the same
// transcript.

namespace umbertrail::peer::detail {

// Version of the handshake and of the frames; the codec has its own.
inline constexpr uint32_t kLinkVersion = 1;
// Largest frame before authentication.
inline constexpr size_t kHandshakeFrameBytes = 2048;
// Bytes of the MAC that ends each sealed frame.
inline constexpr size_t kMacBytes = 16;

enum class HandshakeFault { kMalformed, kVersion, kKey };

// What both sides hold after a handshake.
struct Session {
  InstanceRef peer;
  std::string send_key;
  std::string receive_key;
};

template <typename T>
using HandshakeResult = std::variant<T, HandshakeFault>;

// The side that dials. One object for each link.
class OpenerHandshake {
 public:
  OpenerHandshake(InstanceRef self,
                  std::vector<PeerKey> keys,
                  RandomSource* random);

  // The first frame to send.
  std::string Hello();

  struct Opened {
    Session session;
    std::string proof;  // the last frame to send
  };
  HandshakeResult<Opened> OnWelcome(std::string_view frame);

 private:
  InstanceRef self_;
  std::vector<PeerKey> keys_;
  std::string nonce_;
};

// The side that is dialled. One object for each link.
class AcceptorHandshake {
 public:
  AcceptorHandshake(InstanceRef self,
                    std::vector<PeerKey> keys,
                    RandomSource* random);

  // The frame to answer with.
  HandshakeResult<std::string> OnHello(std::string_view frame);
  // Precondition: OnHello() succeeded.
  HandshakeResult<Session> OnProof(std::string_view frame) const;

 private:
  InstanceRef self_;
  std::vector<PeerKey> keys_;
  std::string nonce_;
  std::string expected_proof_;
  Session session_;
};

// Seals the frames of one direction of a link: content, then MAC over the
// frame's number and content.
class FrameSealer {
 public:
  explicit FrameSealer(std::string key) : key_(std::move(key)) {}
  std::string Seal(std::string_view content);

 private:
  std::string key_;
  uint64_t next_ = 0;
};

// Opens what FrameSealer sealed, in the same order.
class FrameOpener {
 public:
  explicit FrameOpener(std::string key) : key_(std::move(key)) {}
  // The content; nothing when the frame was altered, repeated or left out.
  std::optional<std::string_view> Open(std::string_view frame);

 private:
  std::string key_;
  uint64_t next_ = 0;
};

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_HANDSHAKE_H_
