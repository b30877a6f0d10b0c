#ifndef UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_
#define UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_

#include "absl/time/time.h"
#include "peer_message.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/members.h"
#include "umbertrail/front/placer.h"

// The decisions' types as instances tell them to each other, and back. Times go
// as spans from the moment of sending.

namespace umbertrail::front {

PeerWork ToWire(const dispatch::WorkItem& item, absl::Time now);
dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now);

// Members whose id is no IPv4 address are left out.
void WriteMembers(const std::vector<dispatch::Member>& members,
                  absl::Time now,
                  PeerMessage* message);
std::vector<dispatch::Member> ReadMembers(const PeerMessage& message,
                                          absl::Time now);

PeerQuery ToWire(uint64_t id, const PlaceQuery& query);
// `from` is the asker's data centre.
PlaceQuery FromWire(const PeerQuery& ask, const DataCentreId& from);

PeerOffer ToWire(uint64_t id, const PlaceOffer& offer);
PlaceOffer FromWire(const PeerOffer& offer);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_PEER_CODEC_H_
