#ifndef UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_
#define UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/base.h"

// What instances tell each other, as msgpack arrays.

namespace umbertrail::front {

inline constexpr uint32_t kPeerMessageVersion = 2;

struct PeerWork {
  uint32_t age_ms = 0;
  uint32_t read_ms = 0;
  // 1: reading, 2: helping.
  uint8_t flags = 0;
  // 0: no bound on pauses.
  uint32_t gap_ms = 0;
  float worth = 0;
  // 0: not predicted.
  uint32_t expected_ms = 0;
  MSGPACK_DEFINE_ARRAY(age_ms, read_ms, flags, gap_ms, worth, expected_ms);
};

struct PeerTarget {
  std::string target;
  std::vector<PeerWork> work;
  MSGPACK_DEFINE_ARRAY(target, work);
};

struct PeerDeath {
  uint64_t content = 0;
  std::string target;
  MSGPACK_DEFINE_ARRAY(content, target);
};

struct PeerMessage {
  uint32_t version = kPeerMessageVersion;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // All of the sender's targets are named; others have nothing of it.
  bool whole = false;
  bool leaving = false;
  // Addresses of instances that the sender hears, without ports.
  std::vector<std::string> peers;
  std::vector<PeerTarget> targets;
  std::vector<PeerDeath> deaths;
  MSGPACK_DEFINE_ARRAY(version,
                       incarnation,
                       sequence,
                       whole,
                       leaving,
                       peers,
                       targets,
                       deaths);
};

// What follows a message, for one receiver. Times are milliseconds of their
// owner's clock.
struct PeerTrailer {
  // The sender's time of this message.
  int64_t sent_ms = 0;
  // The receiver's time of its own last message that the sender had; 0 where
  // there was none.
  int64_t heard_ms = 0;
  // From receiving that one to the sender's last reading of the store.
  int64_t reading_after_ms = 0;
  // The store's revision at that reading; 0 where there was none.
  uint64_t revision = 0;
  MSGPACK_DEFINE_ARRAY(sent_ms, heard_ms, reading_after_ms, revision);
};

struct PeerDatagram {
  PeerMessage message;
  PeerTrailer trailer;
};

std::string EncodePeerMessage(const PeerMessage& message);
// An error names what is wrong with the bytes.
std::string EncodePeerTrailer(const PeerTrailer& trailer);
Result<PeerDatagram> DecodePeerDatagram(absl::string_view bytes);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_
