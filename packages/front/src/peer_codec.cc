#include "peer_codec.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cmath>

namespace umbertrail::front {
namespace {

constexpr uint8_t kReadingFlag = 1;
constexpr uint8_t kHelpingFlag = 2;
constexpr double kThousandths = 1000;
// A message that names more buckets is no instance's.
constexpr uint32_t kMostBuckets = 65536;

uint32_t Millis(absl::Duration duration) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

template <typename Id>
std::vector<std::string> Texts(const std::vector<Id>& ids) {
  std::vector<std::string> texts;
  texts.reserve(ids.size());
  for (const Id& id : ids) {
    texts.push_back(id.text());
  }
  return texts;
}

std::vector<TargetId> Targets(const std::vector<std::string>& texts) {
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
  work.age_ms = Millis(now - item.since);
  work.prefill_ms = Millis(item.read_time);
  work.flags = static_cast<uint8_t>((item.reading ? kReadingFlag : 0) |
                                    (item.helping ? kHelpingFlag : 0));
  if (item.expected != absl::InfiniteDuration()) {
    work.expected_ms = Millis(item.expected);
  }
  work.max_gap_ms =
      item.gap_aim == absl::InfiniteDuration() ? 0 : Millis(item.gap_aim);
  work.weight = static_cast<float>(item.worth);
  work.prompt = static_cast<uint32_t>(
      std::clamp<int64_t>(item.prompt.value(), 0, UINT32_MAX));
  return work;
}

dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now) {
  dispatch::WorkItem item;
  item.since = now - absl::Milliseconds(work.age_ms);
  item.read_time = absl::Milliseconds(work.prefill_ms);
  item.reading = (work.flags & kReadingFlag) != 0;
  item.helping = (work.flags & kHelpingFlag) != 0;
  if (work.expected_ms != 0) {
    item.expected = absl::Milliseconds(work.expected_ms);
  }
  item.gap_aim = work.max_gap_ms == 0 ? absl::InfiniteDuration()
                                      : absl::Milliseconds(work.max_gap_ms);
  item.worth = work.weight;
  item.prompt = Tokens(work.prompt);
  return item;
}

void WriteMembers(const std::vector<dispatch::Member>& members,
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
    wire.cpu_millicores =
        static_cast<uint32_t>(std::lround(member.processor * kThousandths));
    wire.last_heard_ms_ago = Millis(now - member.heard);
    wire.left = member.left;
    message->members.push_back(wire);
  }
}

std::vector<dispatch::Member> ReadMembers(const PeerMessage& message,
                                          absl::Time now) {
  std::vector<dispatch::Member> members;
  members.reserve(message.members.size());
  for (const PeerMember& wire : message.members) {
    if (wire.data_centre >= message.data_centres.size()) {
      continue;  // No instance writes that.
    }
    dispatch::Member member;
    member.id =
        InstanceId(boost::asio::ip::address_v4(wire.address).to_string());
    member.data_centre = DataCentreId(message.data_centres[wire.data_centre]);
    member.processor = wire.cpu_millicores / kThousandths;
    member.heard = now - absl::Milliseconds(wire.last_heard_ms_ago);
    member.left = wire.left;
    members.push_back(std::move(member));
  }
  return members;
}

PeerQuery ToWire(uint64_t id, const PlaceQuery& query) {
  PeerQuery ask;
  ask.id = id;
  ask.service = query.shard.service.text();
  ask.data_centre = query.shard.data_centre.text();
  ask.buckets = static_cast<uint32_t>(query.shard.buckets);
  ask.bucket = static_cast<uint32_t>(query.shard.bucket);
  ask.by_engine = query.by_engine;
  ask.prompt = static_cast<uint64_t>(query.shape.prompt.value());
  ask.first_event_goal_ms = Millis(query.shape.aim);
  ask.max_gap_ms = query.shape.gap_aim == absl::InfiniteDuration()
                       ? 0
                       : Millis(query.shape.gap_aim);
  ask.waited_ms = Millis(query.shape.waited);
  ask.remaining_ms = Millis(query.shape.left);
  ask.excluded = Texts(query.excluded);
  ask.excluded_helpers = Texts(query.no_helpers);
  return ask;
}

PlaceQuery FromWire(const PeerQuery& ask, const DataCentreId& from) {
  PlaceQuery query;
  query.shard.service = ServiceId(ask.service);
  query.shard.data_centre = DataCentreId(ask.data_centre);
  query.shard.buckets =
      static_cast<int>(std::clamp<uint32_t>(ask.buckets, 1, kMostBuckets));
  query.shard.bucket = static_cast<int>(std::min(ask.bucket, kMostBuckets));
  query.from = from;
  query.by_engine = ask.by_engine;
  query.shape.prompt = Tokens(static_cast<int64_t>(
      std::min<uint64_t>(ask.prompt, static_cast<uint64_t>(INT64_MAX))));
  query.shape.aim = absl::Milliseconds(ask.first_event_goal_ms);
  query.shape.gap_aim = ask.max_gap_ms == 0
                            ? absl::InfiniteDuration()
                            : absl::Milliseconds(ask.max_gap_ms);
  query.shape.waited = absl::Milliseconds(ask.waited_ms);
  query.shape.left = absl::Milliseconds(ask.remaining_ms);
  query.excluded = Targets(ask.excluded);
  query.no_helpers = Targets(ask.excluded_helpers);
  return query;
}

PeerOffer ToWire(uint64_t id, const PlaceOffer& offer) {
  PeerOffer wire;
  wire.id = id;
  wire.candidates = static_cast<uint32_t>(offer.among);
  if (offer.result.placed) {
    const dispatch::Placed& placed = *offer.result.placed;
    wire.target = placed.target.text();
    wire.helpers = Texts(placed.helpers);
    wire.reserve_per_helper =
        static_cast<uint64_t>(placed.reserve_each.value());
    wire.first_event_ms = Millis(placed.first_event);
    wire.cost = static_cast<float>(placed.cost);
  }
  wire.retry_after_ms = Millis(offer.result.retry_after);
  if (offer.result.soonest != absl::InfiniteDuration()) {
    wire.earliest_first_event_ms = Millis(offer.result.soonest);
  }
  return wire;
}

PlaceOffer FromWire(const PeerOffer& wire) {
  PlaceOffer offer;
  offer.among = wire.candidates;
  if (!wire.target.empty()) {
    dispatch::Placed placed;
    placed.target = TargetId(wire.target);
    placed.helpers = Targets(wire.helpers);
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
