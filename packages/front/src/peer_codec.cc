#include "peer_codec.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cmath>

namespace umbertrail::front {
namespace {

constexpr uint8_t kPrefillFlag = 1;
constexpr uint8_t kHelperFlag = 2;
constexpr double kMillicoresPerCore = 1000;
// No instance sends more buckets.
constexpr uint32_t kMaxBuckets = 65536;

uint32_t ToMillis(absl::Duration duration) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

template <typename Id>
std::vector<std::string> ToStrings(const std::vector<Id>& ids) {
  std::vector<std::string> texts;
  texts.reserve(ids.size());
  for (const Id& id : ids) {
    texts.push_back(id.text());
  }
  return texts;
}

std::vector<TargetId> ToTargetIds(const std::vector<std::string>& texts) {
  std::vector<TargetId> ids;
  ids.reserve(texts.size());
  for (const std::string& text : texts) {
    ids.emplace_back(text);
  }
  return ids;
}

}  // namespace

PeerWork ToWire(const dispatch::WorkItem& item, absl::Time now) {
  PeerWork work;
  work.age_ms = ToMillis(now - item.since);
  work.prefill_ms = ToMillis(item.read_time);
  work.flags = static_cast<uint8_t>((item.reading ? kPrefillFlag : 0) |
                                    (item.helping ? kHelperFlag : 0));
  if (item.expected != absl::InfiniteDuration()) {
    work.expected_ms = ToMillis(item.expected);
  }
  work.max_gap_ms =
      item.gap_aim == absl::InfiniteDuration() ? 0 : ToMillis(item.gap_aim);
  work.weight = static_cast<float>(item.worth);
  work.prompt = static_cast<uint32_t>(
      std::clamp<int64_t>(item.prompt.value(), 0, UINT32_MAX));
  return work;
}

dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now) {
  dispatch::WorkItem item;
  item.since = now - absl::Milliseconds(work.age_ms);
  item.read_time = absl::Milliseconds(work.prefill_ms);
  item.reading = (work.flags & kPrefillFlag) != 0;
  item.helping = (work.flags & kHelperFlag) != 0;
  if (work.expected_ms != 0) {
    item.expected = absl::Milliseconds(work.expected_ms);
  }
  item.gap_aim = work.max_gap_ms == 0 ? absl::InfiniteDuration()
                                      : absl::Milliseconds(work.max_gap_ms);
  item.worth = work.weight;
  item.prompt = Tokens(work.prompt);
  return item;
}

void EncodeMembers(const std::vector<dispatch::Member>& members,
                   absl::Time now,
                   PeerMessage* message) {
  std::vector<std::string>& names = message->data_centres;
  for (const dispatch::Member& member : members) {
    boost::system::error_code error;
    const auto address =
        boost::asio::ip::make_address_v4(member.id.text(), error);
    if (error) {
      continue;
    }
    auto name =
        std::find(names.begin(), names.end(), member.data_centre.text());
    if (name == names.end()) {
      name = names.insert(name, member.data_centre.text());
    }
    PeerMember wire;
    wire.address = address.to_uint();
    wire.data_centre = static_cast<uint32_t>(name - names.begin());
    wire.cpu_millicores = static_cast<uint32_t>(
        std::lround(member.processor * kMillicoresPerCore));
    wire.last_heard_ms_ago = ToMillis(now - member.heard);
    wire.left = member.left;
    message->members.push_back(wire);
  }
}

std::vector<dispatch::Member> DecodeMembers(const PeerMessage& message,
                                            absl::Time now) {
  std::vector<dispatch::Member> members;
  members.reserve(message.members.size());
  for (const PeerMember& wire : message.members) {
    if (wire.data_centre >= message.data_centres.size()) {
      continue;  // Malformed.
    }
    dispatch::Member member;
    member.id =
        InstanceId(boost::asio::ip::address_v4(wire.address).to_string());
    member.data_centre = DataCentreId(message.data_centres[wire.data_centre]);
    member.processor = wire.cpu_millicores / kMillicoresPerCore;
    member.heard = now - absl::Milliseconds(wire.last_heard_ms_ago);
    member.left = wire.left;
    members.push_back(std::move(member));
  }
  return members;
}

PeerQuery ToWire(uint64_t id, const PlaceQuery& query) {
  PeerQuery wire;
  wire.id = id;
  wire.service = query.shard.service.text();
  wire.data_centre = query.shard.data_centre.text();
  wire.buckets = static_cast<uint32_t>(query.shard.buckets);
  wire.bucket = static_cast<uint32_t>(query.shard.bucket);
  wire.by_engine = query.by_engine;
  wire.prompt = static_cast<uint64_t>(query.shape.prompt.value());
  wire.first_event_goal_ms = ToMillis(query.shape.aim);
  wire.max_gap_ms = query.shape.gap_aim == absl::InfiniteDuration()
                        ? 0
                        : ToMillis(query.shape.gap_aim);
  wire.waited_ms = ToMillis(query.shape.waited);
  wire.remaining_ms = ToMillis(query.shape.left);
  wire.excluded = ToStrings(query.excluded);
  wire.excluded_helpers = ToStrings(query.no_helpers);
  return wire;
}

PlaceQuery FromWire(const PeerQuery& wire, const DataCentreId& from) {
  PlaceQuery query;
  query.shard.service = ServiceId(wire.service);
  query.shard.data_centre = DataCentreId(wire.data_centre);
  query.shard.buckets =
      static_cast<int>(std::clamp<uint32_t>(wire.buckets, 1, kMaxBuckets));
  query.shard.bucket = static_cast<int>(std::min(wire.bucket, kMaxBuckets));
  query.from = from;
  query.by_engine = wire.by_engine;
  query.shape.prompt = Tokens(static_cast<int64_t>(
      std::min<uint64_t>(wire.prompt, static_cast<uint64_t>(INT64_MAX))));
  query.shape.aim = absl::Milliseconds(wire.first_event_goal_ms);
  query.shape.gap_aim = wire.max_gap_ms == 0
                            ? absl::InfiniteDuration()
                            : absl::Milliseconds(wire.max_gap_ms);
  query.shape.waited = absl::Milliseconds(wire.waited_ms);
  query.shape.left = absl::Milliseconds(wire.remaining_ms);
  query.excluded = ToTargetIds(wire.excluded);
  query.no_helpers = ToTargetIds(wire.excluded_helpers);
  return query;
}

PeerOffer ToWire(uint64_t id, const PlaceOffer& offer) {
  PeerOffer wire;
  wire.id = id;
  wire.candidates = static_cast<uint32_t>(offer.among);
  if (offer.result.placed) {
    const dispatch::Placed& placed = *offer.result.placed;
    wire.target = placed.target.text();
    wire.helpers = ToStrings(placed.helpers);
    wire.reserve_per_helper =
        static_cast<uint64_t>(placed.reserve_each.value());
    wire.first_event_ms = ToMillis(placed.first_event);
    wire.cost = static_cast<float>(placed.cost);
  }
  wire.retry_after_ms = ToMillis(offer.result.retry_after);
  if (offer.result.soonest != absl::InfiniteDuration()) {
    wire.earliest_first_event_ms = ToMillis(offer.result.soonest);
  }
  return wire;
}

PlaceOffer FromWire(const PeerOffer& wire) {
  PlaceOffer offer;
  offer.among = wire.candidates;
  if (!wire.target.empty()) {
    dispatch::Placed placed;
    placed.target = TargetId(wire.target);
    placed.helpers = ToTargetIds(wire.helpers);
    placed.reserve_each = Tokens(static_cast<int64_t>(wire.reserve_per_helper));
    placed.first_event = absl::Milliseconds(wire.first_event_ms);
    placed.cost = wire.cost;
    offer.result.placed = std::move(placed);
  }
  offer.result.retry_after = absl::Milliseconds(wire.retry_after_ms);
  if (wire.earliest_first_event_ms >= 0) {
    offer.result.soonest = absl::Milliseconds(wire.earliest_first_event_ms);
  }
  return offer;
}

}  // namespace umbertrail::front
