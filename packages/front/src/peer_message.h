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
  uint32_t prefill_ms = 0;
  // 1: reading, 2: helping.
  uint8_t flags = 0;
  // 0: no bound on pauses.
  uint32_t max_gap_ms = 0;
  float weight = 0;
  // 0: not predicted.
  uint32_t expected_ms = 0;
  // Tokens of its prompt, or of its part.
  uint32_t prompt = 0;
  MSGPACK_DEFINE_ARRAY(age_ms,
                       prefill_ms,
                       flags,
                       max_gap_ms,
                       weight,
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
  uint32_t cpu_millicores = 0;
  uint32_t last_heard_ms_ago = 0;
  bool left = false;
  MSGPACK_DEFINE_ARRAY(address,
                       data_centre,
                       cpu_millicores,
                       last_heard_ms_ago,
                       left);
};

// A question to a shard's home: where should this request go?
struct PeerQuery {
  uint64_t id = 0;
  std::string service;
  // Empty: the shard spans data centres.
  std::string data_centre;
  uint32_t buckets = 1;
  uint32_t bucket = 0;
  bool by_engine = false;
  uint64_t prompt = 0;
  uint32_t first_event_goal_ms = 0;
  // 0: no bound on pauses.
  uint32_t max_gap_ms = 0;
  uint32_t waited_ms = 0;
  uint32_t remaining_ms = 0;
  std::vector<std::string> excluded;
  std::vector<std::string> excluded_helpers;
  MSGPACK_DEFINE_ARRAY(id,
                       service,
                       data_centre,
                       buckets,
                       bucket,
                       by_engine,
                       prompt,
                       first_event_goal_ms,
                       max_gap_ms,
                       waited_ms,
                       remaining_ms,
                       excluded,
                       excluded_helpers);
};

// A home's answer. Where a target is named, its place is held for some time.
struct PeerOffer {
  uint64_t id = 0;
  // How many targets it chose among.
  uint32_t candidates = 0;
  // Empty: none can serve the request in time.
  std::string target;
  std::vector<std::string> helpers;
  uint64_t reserve_per_helper = 0;
  uint32_t first_event_ms = 0;
  float cost = 0;
  uint32_t retry_after_ms = 0;
  // -1: no engine was asked.
  int64_t earliest_first_event_ms = -1;
  MSGPACK_DEFINE_ARRAY(id,
                       candidates,
                       target,
                       helpers,
                       reserve_per_helper,
                       first_event_ms,
                       cost,
                       retry_after_ms,
                       earliest_first_event_ms);
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
  float latency_ratio = 0;
  MSGPACK_DEFINE_ARRAY(target,
                       successes,
                       failures,
                       first_events,
                       latency_ratio);
};

struct PeerMessage {
  uint32_t version = kPeerMessageVersion;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string data_centre;
  // Thousandths of a processor core.
  uint32_t cpu_millicores = 0;
  // All of the sender's targets that concern the receiver are named; the sender
  // has nothing at others.
  bool full_report = false;
  bool leaving = false;
  // The receiver is to tell the members that it knows.
  bool wants_gossip = false;
  // Names of the members' data centres.
  std::vector<std::string> data_centres;
  std::vector<PeerMember> members;
  std::vector<PeerTarget> targets;
  std::vector<PeerDeath> deaths;
  std::vector<PeerDeparture> departures;
  std::vector<PeerOutcome> outcomes;
  std::vector<PeerQuery> queries;
  std::vector<PeerOffer> offers;
  MSGPACK_DEFINE_ARRAY(version,
                       incarnation,
                       sequence,
                       data_centre,
                       cpu_millicores,
                       full_report,
                       leaving,
                       wants_gossip,
                       data_centres,
                       members,
                       targets,
                       deaths,
                       departures,
                       outcomes,
                       queries,
                       offers);
};

// What follows a message, for one receiver. Times are milliseconds of their
// owner's clock.
struct PeerTrailer {
  // The sender's time of this message.
  int64_t sent_ms = 0;
  // The receiver's time of its own last message that the sender had; 0 where
  // there was none. And the incarnation that sent it.
  int64_t echo_ms = 0;
  uint64_t echo_incarnation = 0;
  // From receiving that one to the sender's last reading of the store.
  int64_t reading_after_echo_ms = 0;
  // The store's revision at that reading; 0 where there was none. And its era.
  uint64_t revision = 0;
  uint64_t era = 0;
  MSGPACK_DEFINE_ARRAY(sent_ms,
                       echo_ms,
                       echo_incarnation,
                       reading_after_echo_ms,
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
