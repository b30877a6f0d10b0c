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

inline constexpr uint32_t kPeerMessageVersion = 4;

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
  // Tokens of its prompt, or of its part.
  uint32_t prompt = 0;
  MSGPACK_DEFINE_ARRAY(age_ms,
                       read_ms,
                       flags,
                       gap_ms,
                       worth,
                       expected_ms,
                       prompt);
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

// A member of the fleet, as the sender last heard of it.
struct PeerMember {
  // Its IPv4 address.
  uint32_t address = 0;
  // Place of its data centre's name in PeerMessage::data_centres.
  uint32_t data_centre = 0;
  // Thousandths of a processor core.
  uint32_t processor = 0;
  uint32_t heard_ms_ago = 0;
  bool left = false;
  MSGPACK_DEFINE_ARRAY(address, data_centre, processor, heard_ms_ago, left);
};

// A question to a shard's home: where should this request go?
struct PeerAsk {
  uint64_t id = 0;
  std::string service;
  // Empty: the shard spans data centres.
  std::string data_centre;
  uint32_t buckets = 1;
  uint32_t bucket = 0;
  bool by_engine = false;
  uint64_t prompt = 0;
  uint32_t aim_ms = 0;
  // 0: no bound on pauses.
  uint32_t gap_ms = 0;
  uint32_t waited_ms = 0;
  uint32_t left_ms = 0;
  std::vector<std::string> excluded;
  std::vector<std::string> no_helpers;
  MSGPACK_DEFINE_ARRAY(id,
                       service,
                       data_centre,
                       buckets,
                       bucket,
                       by_engine,
                       prompt,
                       aim_ms,
                       gap_ms,
                       waited_ms,
                       left_ms,
                       excluded,
                       no_helpers);
};

// A home's answer. Where a target is named, its place is held for some time.
struct PeerOffer {
  uint64_t id = 0;
  // How many targets it chose among.
  uint32_t among = 0;
  // Empty: none can serve the request in time.
  std::string target;
  std::vector<std::string> helpers;
  uint64_t reserve_each = 0;
  uint32_t first_event_ms = 0;
  float cost = 0;
  uint32_t retry_after_ms = 0;
  // -1: no engine was asked.
  int64_t soonest_ms = -1;
  MSGPACK_DEFINE_ARRAY(id,
                       among,
                       target,
                       helpers,
                       reserve_each,
                       first_event_ms,
                       cost,
                       retry_after_ms,
                       soonest_ms);
};

// A life of a target that said that it leaves.
struct PeerDeparture {
  std::string target;
  int64_t born_ms = 0;
  MSGPACK_DEFINE_ARRAY(target, born_ms);
};

// How a target's requests went at the sender since its last message.
struct PeerOutcome {
  std::string target;
  uint32_t successes = 0;
  uint32_t failures = 0;
  // First events, and the mean of their times against the predicted ones.
  uint32_t first_events = 0;
  float pace = 0;
  MSGPACK_DEFINE_ARRAY(target, successes, failures, first_events, pace);
};

struct PeerMessage {
  uint32_t version = kPeerMessageVersion;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string data_centre;
  // Thousandths of a processor core.
  uint32_t processor = 0;
  // All of the sender's targets that concern the receiver are named; the sender
  // has nothing at others.
  bool whole = false;
  bool leaving = false;
  // The receiver is to tell the members that it knows.
  bool wants_words = false;
  // Names of the members' data centres.
  std::vector<std::string> data_centres;
  std::vector<PeerMember> members;
  std::vector<PeerTarget> targets;
  std::vector<PeerDeath> deaths;
  std::vector<PeerDeparture> departures;
  std::vector<PeerOutcome> outcomes;
  std::vector<PeerAsk> asks;
  std::vector<PeerOffer> offers;
  MSGPACK_DEFINE_ARRAY(version,
                       incarnation,
                       sequence,
                       data_centre,
                       processor,
                       whole,
                       leaving,
                       wants_words,
                       data_centres,
                       members,
                       targets,
                       deaths,
                       departures,
                       outcomes,
                       asks,
                       offers);
};

// What follows a message, for one receiver. Times are milliseconds of their
// owner's clock.
struct PeerTrailer {
  // The sender's time of this message.
  int64_t sent_ms = 0;
  // The receiver's time of its own last message that the sender had; 0 where
  // there was none. And the incarnation that sent it.
  int64_t heard_ms = 0;
  uint64_t heard_incarnation = 0;
  // From receiving that one to the sender's last reading of the store.
  int64_t reading_after_ms = 0;
  // The store's revision at that reading; 0 where there was none. And its era.
  uint64_t revision = 0;
  uint64_t era = 0;
  MSGPACK_DEFINE_ARRAY(sent_ms,
                       heard_ms,
                       heard_incarnation,
                       reading_after_ms,
                       revision,
                       era);
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
