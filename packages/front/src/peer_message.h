#ifndef UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_
#define UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "umbertrail/base.h"

// Wire format of messages between instances, as msgpack arrays by position.

namespace umbertrail::front {

inline constexpr uint32_t kPeerMessageVersion = 8;

// A work item at a target.
struct PeerWork {
  uint32_t age_ms = 0;
  uint32_t prefill_ms = 0;
  // 1: prefill in progress, 2: helper.
  uint8_t flags = 0;
  // Maximum time between events that the client wants; 0: no limit.
  uint32_t max_gap_ms = 0;
  float weight = 0;
  // Predicted time to first event; 0: none.
  uint32_t expected_ms = 0;
  // Length of the prompt, or of a helper's part, in tokens.
  uint32_t prompt = 0;
  // 0 is the most urgent.
  uint8_t urgency = 0;
  // Expected events of the response; 0: unknown.
  float expected_events = 0;
  // Time since the first event, plus one; 0: none yet.
  uint32_t first_event_ms_ago_plus_1 = 0;
  // Hash of the client account; 0: none.
  uint64_t account = 0;
  // Tokens of memory that it occupies until the response ends, plus one; 0: as
  // many as `prompt`.
  uint64_t memory_plus_1 = 0;
  MSGPACK_DEFINE_ARRAY(age_ms,
                       prefill_ms,
                       flags,
                       max_gap_ms,
                       weight,
                       expected_ms,
                       prompt,
                       urgency,
                       expected_events,
                       first_event_ms_ago_plus_1,
                       account,
                       memory_plus_1);
};

// The sender's work at a target.
struct PeerTarget {
  std::string target;
  std::vector<PeerWork> work;
  MSGPACK_DEFINE_ARRAY(target, work);
};

// A target's incarnation that crashed, with the fingerprints of requests that
// it had in hand and of the parts of their prompts.
struct PeerCrash {
  std::string target;
  int64_t born_ms = 0;
  uint32_t age_ms = 0;
  std::vector<uint64_t> wholes;
  std::vector<uint64_t> parts;
  MSGPACK_DEFINE_ARRAY(target, born_ms, age_ms, wholes, parts);
};

inline constexpr uint32_t kNoTrial = 0xffffffff;

// When a target last answered a request with this content completely.
struct PeerAnswer {
  uint64_t content = 0;
  uint32_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(content, age_ms);
};

// A member of the fleet as known to the sender.
struct PeerMember {
  // IPv4 address.
  uint32_t address = 0;
  // Index into PeerMessage::data_centres.
  uint32_t data_centre = 0;
  uint32_t cpu_millicores = 0;
  uint32_t last_heard_ms_ago = 0;
  bool left = false;
  MSGPACK_DEFINE_ARRAY(address,
                       data_centre,
                       cpu_millicores,
                       last_heard_ms_ago,
                       left);
};

// A placement request to a shard's home.
struct PeerPlacementRequest {
  uint64_t id = 0;
  std::string service;
  // Empty: the shard spans data centres.
  std::string data_centre;
  uint32_t buckets = 1;
  uint32_t bucket = 0;
  bool by_engine = false;
  uint64_t prompt = 0;
  uint32_t first_event_goal_ms = 0;
  // 0: no limit.
  uint32_t max_gap_ms = 0;
  uint32_t waited_ms = 0;
  uint32_t remaining_ms = 0;
  std::vector<std::string> excluded;
  std::vector<std::string> excluded_helpers;
  uint8_t urgency = 0;
  float expected_events = 0;
  // Hash of the client account; 0: none.
  uint64_t account = 0;
  // The request was sent to a target before, which failed.
  bool is_retry = false;
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
                       excluded_helpers,
                       urgency,
                       expected_events,
                       account,
                       is_retry);
};

// A home's reply to a request. The slot at an offered target is reserved for a
// limited time.
struct PeerPlacementReply {
  uint64_t id = 0;
  // Number of targets considered.
  uint32_t candidates = 0;
  // Empty: no target can serve the request in time.
  std::string target;
  std::vector<std::string> helpers;
  // Tokens of memory to reserve at each helper; with `tickets`, the largest.
  uint64_t reserve_per_helper = 0;
  uint32_t first_event_ms = 0;
  float cost = 0;
  uint32_t retry_after_ms = 0;
  // Earliest first event at any engine; -1: no engine was considered.
  int64_t earliest_first_event_ms = -1;
  // The request is charged to the rate limit that the target states.
  bool charged_to_limit = false;
  // Without a target: the requester is expected to ask again after this time;
  // 0: the request is to be refused.
  uint32_t ask_again_ms = 0;
  // Capacity of the shard in idle targets; negative: not stated.
  float capacity = -1;
  // Tokens of memory to reserve at each of `helpers`; empty:
  // `reserve_per_helper` at all.
  std::vector<uint64_t> tickets;
  MSGPACK_DEFINE_ARRAY(id,
                       candidates,
                       target,
                       helpers,
                       reserve_per_helper,
                       first_event_ms,
                       cost,
                       retry_after_ms,
                       earliest_first_event_ms,
                       charged_to_limit,
                       ask_again_ms,
                       capacity,
                       tickets);
};

// A target that announced its departure, identified by its birth time.
struct PeerDeparture {
  std::string target;
  int64_t born_ms = 0;
  MSGPACK_DEFINE_ARRAY(target, born_ms);
};

// The rate limit that a target's incarnation stated, or its end.
struct PeerLimit {
  std::string target;
  int64_t born_ms = 0;
  bool limited = false;
  // Requests per second from all instances together.
  double rate = 0;
  // Time since an instance received the response.
  uint32_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(target, born_ms, limited, rate, age_ms);
};

// Outcomes of the sender's requests at a target since its last message.
struct PeerOutcome {
  std::string target;
  uint32_t successes = 0;
  uint32_t failures = 0;
  // First events, and the mean ratio of their actual to their predicted times.
  uint32_t first_events = 0;
  float latency_ratio = 0;
  // Windows of pauses between events, and their mean typical pause. A home
  // knows all work at the target and derives its decode speed.
  uint32_t pause_windows = 0;
  float pause_ms = 0;
  MSGPACK_DEFINE_ARRAY(target,
                       successes,
                       failures,
                       first_events,
                       latency_ratio,
                       pause_windows,
                       pause_ms);
};

// The sender's own samples of the output of a route's streams. Logarithms and
// their variances are in hundredths, weights in tenths of a sample.
struct PeerRouteOutput {
  uint64_t route = 0;
  uint32_t events_weight = 0;
  int32_t events_mean = 0;
  uint32_t events_variance = 0;
  // Of the ratio of actual events to the client's hint.
  uint32_t hint_weight = 0;
  int32_t hint_mean = 0;
  uint32_t hint_variance = 0;
  MSGPACK_DEFINE_ARRAY(route,
                       events_weight,
                       events_mean,
                       events_variance,
                       hint_weight,
                       hint_mean,
                       hint_variance);
};

// Whether the sender knows what other instances know. Messages other than
// gossip don't state it, nor do older builds.
inline constexpr uint8_t kSettlementNotStated = 0;
inline constexpr uint8_t kUnsettled = 1;
inline constexpr uint8_t kSettled = 2;

// The latest configuration that the sender knows an instance to hold.
struct PeerConfigClaim {
  // 0: none stated.
  uint64_t version = 0;
  // IPv4 address of the holder.
  uint32_t holder = 0;
  // The store's era and revision when the holder last read it.
  uint64_t era = 0;
  uint64_t revision = 0;
  // Time since the holder stated this.
  uint32_t age_ms = 0;
  uint8_t sender = kSettlementNotStated;
  MSGPACK_DEFINE_ARRAY(version, holder, era, revision, age_ms, sender);
};

// Asks for the entries of the receiver's configuration, from one digest on.
struct PeerConfigRequest {
  uint64_t from = 0;
  MSGPACK_DEFINE_ARRAY(from);
};

// Digests of the sender's configuration, in their order.
struct PeerConfigEntries {
  uint64_t version = 0;
  // As in the request.
  uint64_t from = 0;
  std::vector<uint64_t> entries;
  bool is_last = false;
  MSGPACK_DEFINE_ARRAY(version, from, entries, is_last);
};

struct PeerMessage {
  uint32_t version = kPeerMessageVersion;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string data_centre;
  uint32_t cpu_millicores = 0;
  // `targets` is complete for this receiver: the sender has no work at other
  // targets.
  bool full_report = false;
  bool leaving = false;
  // The sender has links to targets and serves requests of other instances.
  bool reaches_targets = false;
  // Requests the receiver's gossip in reply.
  bool wants_gossip = false;
  // Size of the fleet as known to the sender, and the time since any instance
  // saw so many; 0: none stated.
  uint32_t fleet_size = 0;
  uint32_t fleet_size_age_ms = 0;
  // Data centres of `members`.
  std::vector<std::string> data_centres;
  std::vector<PeerMember> members;
  std::vector<PeerTarget> targets;
  std::vector<PeerCrash> crashes;
  std::vector<PeerAnswer> answers;
  // The sender knows when the fleet last tried blocked content; kNoTrial: it
  // never did.
  bool knows_last_trial = false;
  uint32_t last_trial_ms_ago = 0;
  std::vector<PeerDeparture> departures;
  std::vector<PeerLimit> limits;
  std::vector<PeerOutcome> outcomes;
  std::vector<PeerPlacementRequest> placement_requests;
  std::vector<PeerPlacementReply> placement_replies;
  // Only in gossip.
  std::vector<PeerRouteOutput> route_outputs;
  PeerConfigClaim config_claim;
  // At most one of each.
  std::vector<PeerConfigRequest> config_requests;
  std::vector<PeerConfigEntries> config_entries;
  MSGPACK_DEFINE_ARRAY(version,
                       incarnation,
                       sequence,
                       data_centre,
                       cpu_millicores,
                       full_report,
                       leaving,
                       reaches_targets,
                       wants_gossip,
                       fleet_size,
                       fleet_size_age_ms,
                       data_centres,
                       members,
                       targets,
                       crashes,
                       answers,
                       knows_last_trial,
                       last_trial_ms_ago,
                       departures,
                       limits,
                       outcomes,
                       placement_requests,
                       placement_replies,
                       route_outputs,
                       config_claim,
                       config_requests,
                       config_entries);
};

// Follows the message in a datagram; specific to its receiver. Timestamps are
// in milliseconds by the clock of the instance they refer to.
struct PeerTrailer {
  // When the sender sent this message.
  int64_t sent_ms = 0;
  // `sent_ms` of the last message received from the receiver, 0 if none, and
  // the incarnation that sent it.
  int64_t echo_ms = 0;
  uint64_t echo_incarnation = 0;
  // Time from receiving that message to the sender's last reading of the store;
  // may be negative.
  int64_t reading_after_echo_ms = 0;
  // Revision and era of the store at that reading; 0 if none.
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
std::string EncodePeerTrailer(const PeerTrailer& trailer);
// The error describes what is malformed.
Result<PeerDatagram> DecodePeerDatagram(absl::string_view bytes);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_PEER_MESSAGE_H_
