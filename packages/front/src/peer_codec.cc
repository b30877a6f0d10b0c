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
// No engine has more memory, in tokens.
constexpr uint64_t kMaxMemory = uint64_t{1} << 40;
// No response has more events.
constexpr double kMaxEvents = 1e6;

uint32_t ToMillis(absl::Duration duration) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

Tokens ToTokens(uint64_t tokens) {
  return Tokens(static_cast<int64_t>(std::min(tokens, kMaxMemory)));
}

// An unknown number of events if the stated one is no plausible number.
double ToEvents(float events) {
  return std::isfinite(events) && events > 0
             ? std::min<double>(events, kMaxEvents)
             : 0;
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

std::vector<uint64_t> ToNumbers(const std::set<Fingerprint>& fingerprints) {
  std::vector<uint64_t> numbers;
  numbers.reserve(fingerprints.size());
  for (const Fingerprint fingerprint : fingerprints) {
    numbers.push_back(fingerprint.value());
  }
  return numbers;
}

std::set<Fingerprint> ToFingerprints(const std::vector<uint64_t>& numbers) {
  std::set<Fingerprint> fingerprints;
  for (const uint64_t number : numbers) {
    fingerprints.insert(Fingerprint(number));
  }
  return fingerprints;
}

}  // namespace

PeerWork ToWire(const dispatch::WorkItem& item, absl::Time now) {
  PeerWork work;
  work.age_ms = ToMillis(now - item.sent_at);
  work.prefill_ms = ToMillis(item.prefill_time);
  work.flags = static_cast<uint8_t>((item.prefilling ? kPrefillFlag : 0) |
                                    (item.is_helper ? kHelperFlag : 0));
  if (item.time_to_first_event != absl::InfiniteDuration()) {
    work.expected_ms = ToMillis(item.time_to_first_event);
  }
  work.max_gap_ms = item.max_event_gap == absl::InfiniteDuration()
                        ? 0
                        : ToMillis(item.max_event_gap);
  work.weight = static_cast<float>(item.value);
  work.prompt = static_cast<uint32_t>(
      std::clamp<int64_t>(item.prompt.value(), 0, UINT32_MAX));
  work.urgency = static_cast<uint8_t>(item.urgency);
  work.expected_events = static_cast<float>(item.expected_events);
  if (item.first_event_at != absl::InfinitePast()) {
    work.first_event_ms_ago_plus_1 =
        ToMillis(now - item.first_event_at + absl::Milliseconds(1));
  }
  work.account = item.account.value();
  if (item.memory) {
    work.memory_plus_1 = static_cast<uint64_t>(item.memory->value()) + 1;
  }
  return work;
}

dispatch::WorkItem FromWire(const PeerWork& work, absl::Time now) {
  dispatch::WorkItem item;
  item.sent_at = now - absl::Milliseconds(work.age_ms);
  item.prefill_time = absl::Milliseconds(work.prefill_ms);
  item.prefilling = (work.flags & kPrefillFlag) != 0;
  item.is_helper = (work.flags & kHelperFlag) != 0;
  if (work.expected_ms != 0) {
    item.time_to_first_event = absl::Milliseconds(work.expected_ms);
  }
  item.max_event_gap = work.max_gap_ms == 0
                           ? absl::InfiniteDuration()
                           : absl::Milliseconds(work.max_gap_ms);
  item.value = work.weight;
  item.prompt = Tokens(work.prompt);
  item.urgency = work.urgency;
  item.expected_events = ToEvents(work.expected_events);
  if (work.first_event_ms_ago_plus_1 > 0) {
    item.first_event_at =
        now - absl::Milliseconds(work.first_event_ms_ago_plus_1 - 1);
  }
  item.account = AccountHash(work.account);
  if (work.memory_plus_1 > 0) {
    item.memory = ToTokens(work.memory_plus_1 - 1);
  }
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
        std::lround(member.cpu_cores * kMillicoresPerCore));
    wire.last_heard_ms_ago = ToMillis(now - member.last_heard);
    wire.left = member.has_left;
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
    member.cpu_cores = wire.cpu_millicores / kMillicoresPerCore;
    member.last_heard = now - absl::Milliseconds(wire.last_heard_ms_ago);
    member.has_left = wire.left;
    members.push_back(std::move(member));
  }
  return members;
}

void EncodeFleetSize(const std::optional<dispatch::FleetSizeReport>& report,
                     PeerMessage* message) {
  if (report) {
    message->fleet_size = static_cast<uint32_t>(report->instances);
    message->fleet_size_age_ms = ToMillis(report->age);
  }
}

std::optional<dispatch::FleetSizeReport> DecodeFleetSize(
    const PeerMessage& message) {
  if (message.fleet_size == 0 ||
      message.fleet_size > dispatch::FleetSize::kMaxInstances) {
    return std::nullopt;
  }
  return dispatch::FleetSizeReport{
      static_cast<int>(message.fleet_size),
      absl::Milliseconds(message.fleet_size_age_ms)};
}

void EncodeLastTrial(std::optional<absl::Time> last_trial,
                     absl::Time now,
                     PeerMessage* message) {
  message->knows_last_trial = last_trial.has_value();
  if (last_trial) {
    message->last_trial_ms_ago = *last_trial == absl::InfinitePast()
                                     ? kNoTrial
                                     : ToMillis(now - *last_trial);
  }
}

std::optional<absl::Time> DecodeLastTrial(const PeerMessage& message,
                                          absl::Time now) {
  if (!message.knows_last_trial) {
    return std::nullopt;
  }
  return message.last_trial_ms_ago == kNoTrial
             ? absl::InfinitePast()
             : now - absl::Milliseconds(message.last_trial_ms_ago);
}

PeerCrash ToWire(const dispatch::TargetCrash& crash, absl::Time now) {
  return {crash.target.text(), crash.born_ms, ToMillis(now - crash.at),
          ToNumbers(crash.wholes), ToNumbers(crash.parts)};
}

dispatch::TargetCrash FromWire(const PeerCrash& wire, absl::Time now) {
  return {TargetId(wire.target), wire.born_ms,
          now - absl::Milliseconds(wire.age_ms), ToFingerprints(wire.wholes),
          ToFingerprints(wire.parts)};
}

PeerAnswer ToWire(const dispatch::AnsweredContent& answer, absl::Time now) {
  return {answer.content.value(), ToMillis(now - answer.at)};
}

dispatch::AnsweredContent FromWire(const PeerAnswer& wire, absl::Time now) {
  return {Fingerprint(wire.content), now - absl::Milliseconds(wire.age_ms)};
}

PeerLimit ToWire(const dispatch::TargetLimit& limit, absl::Time now) {
  return {limit.target.text(), limit.born_ms, limit.rate.has_value(),
          limit.rate.value_or(0), ToMillis(now - limit.stated_at)};
}

std::optional<dispatch::TargetLimit> FromWire(const PeerLimit& wire,
                                              absl::Time now) {
  if (!std::isfinite(wire.rate) || wire.rate < 0) {
    return std::nullopt;
  }
  dispatch::TargetLimit limit;
  limit.target = TargetId(wire.target);
  limit.born_ms = wire.born_ms;
  limit.stated_at = now - absl::Milliseconds(wire.age_ms);
  if (wire.limited) {
    limit.rate = wire.rate;
  }
  return limit;
}

std::optional<PeerConfigClaim> ToWire(const dispatch::ConfigClaim& claim,
                                      absl::Time now) {
  boost::system::error_code error;
  const auto holder =
      boost::asio::ip::make_address_v4(claim.holder.text(), error);
  if (error) {
    return std::nullopt;
  }
  PeerConfigClaim wire;
  wire.version = claim.version;
  wire.holder = holder.to_uint();
  wire.era = claim.store.era;
  wire.revision = claim.store.revision;
  wire.age_ms = ToMillis(now - claim.stated_at);
  return wire;
}

std::optional<dispatch::ConfigClaim> FromWire(const PeerConfigClaim& wire,
                                              absl::Time now) {
  if (wire.version == 0) {
    return std::nullopt;
  }
  dispatch::ConfigClaim claim;
  claim.version = wire.version;
  claim.holder =
      InstanceId(boost::asio::ip::address_v4(wire.holder).to_string());
  claim.store = {wire.era, wire.revision};
  claim.stated_at = now - absl::Milliseconds(wire.age_ms);
  return claim;
}

PeerConfigEntries ToWire(const dispatch::ConfigEntriesPage& page) {
  PeerConfigEntries wire;
  wire.version = page.version;
  wire.from = page.from.value();
  for (const dispatch::ConfigEntry entry : page.entries) {
    wire.entries.push_back(entry.value());
  }
  wire.is_last = page.is_last;
  return wire;
}

dispatch::ConfigEntriesPage FromWire(const PeerConfigEntries& wire) {
  dispatch::ConfigEntriesPage page;
  page.version = wire.version;
  page.from = dispatch::ConfigEntry(wire.from);
  for (const uint64_t entry : wire.entries) {
    page.entries.emplace_back(entry);
  }
  page.is_last = wire.is_last;
  return page;
}

PeerPlacementRequest ToWire(uint64_t id, const PlacementRequest& request) {
  PeerPlacementRequest wire;
  wire.id = id;
  wire.service = request.shard.service.text();
  wire.data_centre = request.shard.data_centre.text();
  wire.buckets = static_cast<uint32_t>(request.shard.buckets);
  wire.bucket = static_cast<uint32_t>(request.shard.bucket);
  wire.by_engine = request.use_engine_model;
  wire.prompt = static_cast<uint64_t>(request.profile.prompt.value());
  wire.first_event_goal_ms = ToMillis(request.profile.aim);
  wire.max_gap_ms = request.profile.max_event_gap == absl::InfiniteDuration()
                        ? 0
                        : ToMillis(request.profile.max_event_gap);
  wire.waited_ms = ToMillis(request.profile.elapsed);
  wire.remaining_ms = ToMillis(request.profile.time_remaining);
  wire.excluded = ToStrings(request.excluded_targets);
  wire.excluded_helpers = ToStrings(request.excluded_helpers);
  wire.urgency = static_cast<uint8_t>(request.profile.urgency);
  wire.expected_events = static_cast<float>(request.profile.expected_events);
  wire.account = request.profile.account.value();
  wire.is_retry = request.profile.is_retry;
  return wire;
}

PlacementRequest FromWire(const PeerPlacementRequest& wire,
                          const DataCentreId& from) {
  PlacementRequest request;
  request.shard.service = ServiceId(wire.service);
  request.shard.data_centre = DataCentreId(wire.data_centre);
  request.shard.buckets =
      static_cast<int>(std::clamp<uint32_t>(wire.buckets, 1, kMaxBuckets));
  request.shard.bucket = static_cast<int>(std::min(wire.bucket, kMaxBuckets));
  request.sender_data_centre = from;
  request.use_engine_model = wire.by_engine;
  request.profile.prompt = Tokens(static_cast<int64_t>(
      std::min<uint64_t>(wire.prompt, static_cast<uint64_t>(INT64_MAX))));
  request.profile.aim = absl::Milliseconds(wire.first_event_goal_ms);
  request.profile.max_event_gap = wire.max_gap_ms == 0
                                      ? absl::InfiniteDuration()
                                      : absl::Milliseconds(wire.max_gap_ms);
  request.profile.elapsed = absl::Milliseconds(wire.waited_ms);
  request.profile.time_remaining = absl::Milliseconds(wire.remaining_ms);
  request.excluded_targets = ToTargetIds(wire.excluded);
  request.excluded_helpers = ToTargetIds(wire.excluded_helpers);
  request.profile.urgency = wire.urgency;
  request.profile.expected_events = ToEvents(wire.expected_events);
  request.profile.account = AccountHash(wire.account);
  request.profile.is_retry = wire.is_retry;
  return request;
}

PeerPlacementReply ToWire(uint64_t id, const PlacementReply& reply) {
  PeerPlacementReply wire;
  wire.id = id;
  wire.candidates = static_cast<uint32_t>(reply.candidate_count);
  if (reply.result.decision) {
    const dispatch::PlacementDecision& placed = *reply.result.decision;
    wire.target = placed.target.text();
    wire.helpers = ToStrings(placed.helpers);
    wire.reserve_per_helper =
        static_cast<uint64_t>(placed.reserve_per_helper.value());
    wire.first_event_ms = ToMillis(placed.time_to_first_event);
    wire.cost = static_cast<float>(placed.cost);
    wire.charged_to_limit = placed.charged_to_limit;
    for (const Tokens ticket : placed.tickets) {
      wire.tickets.push_back(static_cast<uint64_t>(ticket.value()));
    }
  }
  wire.retry_after_ms = ToMillis(reply.result.retry_after);
  wire.ask_again_ms = ToMillis(reply.ask_again);
  if (reply.result.min_time_to_first_event != absl::InfiniteDuration()) {
    wire.earliest_first_event_ms =
        ToMillis(reply.result.min_time_to_first_event);
  }
  if (reply.shard_capacity) {
    wire.capacity = static_cast<float>(*reply.shard_capacity);
  }
  return wire;
}

PlacementReply FromWire(const PeerPlacementReply& wire) {
  PlacementReply reply;
  reply.candidate_count = wire.candidates;
  if (!wire.target.empty()) {
    dispatch::PlacementDecision placed;
    placed.target = TargetId(wire.target);
    placed.helpers = ToTargetIds(wire.helpers);
    placed.reserve_per_helper =
        Tokens(static_cast<int64_t>(wire.reserve_per_helper));
    placed.time_to_first_event = absl::Milliseconds(wire.first_event_ms);
    placed.cost = wire.cost;
    placed.charged_to_limit = wire.charged_to_limit;
    // Malformed if they aren't the helpers': then the largest at all of them.
    if (wire.tickets.size() == wire.helpers.size()) {
      for (const uint64_t ticket : wire.tickets) {
        placed.tickets.push_back(ToTokens(ticket));
      }
    }
    reply.result.decision = std::move(placed);
  }
  reply.result.retry_after = absl::Milliseconds(wire.retry_after_ms);
  reply.ask_again = absl::Milliseconds(wire.ask_again_ms);
  if (wire.earliest_first_event_ms >= 0) {
    reply.result.min_time_to_first_event =
        absl::Milliseconds(wire.earliest_first_event_ms);
  }
  if (wire.capacity >= 0) {
    reply.shard_capacity = wire.capacity;
  }
  return reply;
}

}  // namespace umbertrail::front
