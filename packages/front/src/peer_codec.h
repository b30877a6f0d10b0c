#ifndef UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_
#define UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_

#include <optional>

#include "absl/time/time.h"
#include "peer_message.h"
#include "umbertrail/dispatch/config_agreement.h"
#include "umbertrail/dispatch/fleet_size.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/members.h"
#include "umbertrail/dispatch/target_limits.h"
#include "umbertrail/front/placer.h"

// Converts between the types of placement and the wire format. Points in time
// are sent as durations relative to the time of sending.

namespace umbertrail::front {

PeerWork ToWire(const dispatch::WorkItem& item, absl::Time now);
dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now);

// Adds `members` to `message`, except those whose id is not an IPv4 address.
void EncodeMembers(const std::vector<dispatch::Member>& members,
                   absl::Time now,
                   PeerMessage* message);
std::vector<dispatch::Member> DecodeMembers(const PeerMessage& message,
                                            absl::Time now);

void EncodeFleetSize(const std::optional<dispatch::FleetSizeReport>& report,
                     PeerMessage* message);
// Nothing if the sender stated no size, or an impossible one.
std::optional<dispatch::FleetSizeReport> DecodeFleetSize(
    const PeerMessage& message);

void EncodeLastTrial(std::optional<absl::Time> last_trial,
                     absl::Time now,
                     PeerMessage* message);
// Nothing if the sender doesn't know.
std::optional<absl::Time> DecodeLastTrial(const PeerMessage& message,
                                          absl::Time now);

PeerCrash ToWire(const dispatch::TargetCrash& crash, absl::Time now);
dispatch::TargetCrash FromWire(const PeerCrash& wire, absl::Time now);
PeerAnswer ToWire(const dispatch::AnsweredContent& answer, absl::Time now);
dispatch::AnsweredContent FromWire(const PeerAnswer& wire, absl::Time now);
PeerLimit ToWire(const dispatch::TargetLimit& limit, absl::Time now);
// Nothing if the rate is impossible.
std::optional<dispatch::TargetLimit> FromWire(const PeerLimit& wire,
                                              absl::Time now);

// None if its holder's id is not an IPv4 address.
std::optional<PeerConfigClaim> ToWire(const dispatch::ConfigClaim& claim,
                                      absl::Time now);
// None if no claim is stated.
std::optional<dispatch::ConfigClaim> FromWire(const PeerConfigClaim& wire,
                                              absl::Time now);
PeerConfigEntries ToWire(const dispatch::ConfigEntriesPage& page);
dispatch::ConfigEntriesPage FromWire(const PeerConfigEntries& wire);

PeerPlacementRequest ToWire(uint64_t id, const PlacementRequest& request);
// `from` is the data centre of the sender.
PlacementRequest FromWire(const PeerPlacementRequest& wire,
                          const DataCentreId& from);

PeerPlacementReply ToWire(uint64_t id, const PlacementReply& reply);
PlacementReply FromWire(const PeerPlacementReply& wire);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_
