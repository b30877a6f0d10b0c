#include "peer_codec.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <tuple>
#include <vector>

namespace umbertrail::front {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST_CASE("a work item survives encoding and decoding") {
  dispatch::WorkItem item;
  item.sent_at = kNow - absl::Milliseconds(70);
  item.prefill_time = absl::Milliseconds(456);
  item.time_to_first_event = absl::Milliseconds(500);
  item.prefilling = true;
  item.max_event_gap = absl::Milliseconds(600);
  item.value = 2.5;
  item.urgency = 2;
  item.expected_events = 31.5;
  item.first_event_at = kNow - absl::Milliseconds(20);
  item.account = AccountHash(77);
  const dispatch::WorkItem decoded = FromWire(ToWire(item, kNow), kNow);
  CHECK(decoded.sent_at == item.sent_at);
  CHECK(decoded.prefill_time == item.prefill_time);
  CHECK(decoded.time_to_first_event == item.time_to_first_event);
  CHECK(decoded.prefilling);
  CHECK_FALSE(decoded.is_helper);
  CHECK(decoded.max_event_gap == item.max_event_gap);
  CHECK(decoded.value == Approx(2.5));
  CHECK(decoded.urgency == 2);
  CHECK(decoded.expected_events == Approx(31.5));
  CHECK(decoded.first_event_at == item.first_event_at);
  CHECK(decoded.account == AccountHash(77));
  CHECK_FALSE(decoded.memory);
  for (const Tokens memory : {Tokens(0), Tokens(93000)}) {
    item.memory = memory;
    CHECK(FromWire(ToWire(item, kNow), kNow).memory == memory);
  }
}

// Guards against a build that fails to read the messages of an older one, whose
// arrays end before the fields that were added.
TEST_CASE("a work item of an older build decodes") {
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, std::make_tuple(70U, 456U, 1U, 600U, 2.5F, 500U, 4960U));
  const auto work =
      msgpack::unpack(bytes.data(), bytes.size()).get().as<PeerWork>();
  const dispatch::WorkItem decoded = FromWire(work, kNow);
  CHECK(decoded.prompt == Tokens(4960));
  CHECK(decoded.expected_events == 0);
  CHECK(decoded.first_event_at == absl::InfinitePast());
  CHECK(decoded.account == AccountHash(0));
  CHECK_FALSE(decoded.memory);
}

// A helper of an older asker reserves the same memory everywhere, which must
// then suffice; a reply of an older home states no tickets.
TEST_CASE("tickets survive encoding and decoding, and may be absent") {
  PlacementReply reply;
  dispatch::PlacementDecision placed;
  placed.target = TargetId("t");
  placed.helpers = {TargetId("h"), TargetId("i")};
  placed.tickets = {Tokens(130000), Tokens(0)};
  placed.reserve_per_helper = Tokens(130000);
  reply.result.decision = placed;
  PeerPlacementReply wire = ToWire(1, reply);
  CHECK(FromWire(wire).result.decision->tickets == placed.tickets);
  wire.tickets.pop_back();
  CHECK(FromWire(wire).result.decision->tickets.empty());
  wire.tickets.clear();
  const PlacementReply older = FromWire(wire);
  CHECK(dispatch::TicketOf(*older.result.decision, 1) == Tokens(130000));

  msgpack::sbuffer bytes;
  msgpack::pack(bytes, std::make_tuple(7U, 3U, std::string("t"),
                                       std::vector<std::string>{"h"}, 90000U,
                                       1900U, 0.5F, 0U, -1, false));
  const auto decoded = msgpack::unpack(bytes.data(), bytes.size())
                           .get()
                           .as<PeerPlacementReply>();
  CHECK(dispatch::TicketOf(*FromWire(decoded).result.decision, 0) ==
        Tokens(90000));
}

TEST_CASE("the fleet's size survives encoding and decoding") {
  PeerMessage message;
  CHECK_FALSE(DecodeFleetSize(message));
  EncodeFleetSize(dispatch::FleetSizeReport{59, absl::Seconds(3)}, &message);
  const auto decoded = DecodeFleetSize(message);
  REQUIRE(decoded);
  CHECK(decoded->instances == 59);
  CHECK(decoded->age == absl::Seconds(3));
  message.fleet_size = dispatch::FleetSize::kMaxInstances + 1;
  CHECK_FALSE(DecodeFleetSize(message));
}

TEST_CASE("the time of the last trial survives encoding and decoding") {
  const absl::Time now = absl::FromUnixSeconds(5000);
  PeerMessage message;
  EncodeLastTrial(std::nullopt, now, &message);
  CHECK_FALSE(DecodeLastTrial(message, now));
  EncodeLastTrial(absl::InfinitePast(), now, &message);
  CHECK(DecodeLastTrial(message, now) == absl::InfinitePast());
  EncodeLastTrial(now - absl::Seconds(9), now, &message);
  CHECK(DecodeLastTrial(message, now) == now - absl::Seconds(9));
}

TEST_CASE("a target's limit survives encoding and decoding") {
  const dispatch::TargetLimit limit{TargetId("t"), 7, 2.5,
                                    kNow - absl::Milliseconds(300)};
  const auto decoded = FromWire(ToWire(limit, kNow), kNow);
  REQUIRE(decoded);
  CHECK(decoded->target == limit.target);
  CHECK(decoded->born_ms == 7);
  CHECK(decoded->rate == 2.5);
  CHECK(decoded->stated_at == limit.stated_at);
  const dispatch::TargetLimit end{TargetId("t"), 7, std::nullopt, kNow};
  CHECK(FromWire(ToWire(end, kNow), kNow)->rate == std::nullopt);
  PeerLimit impossible = ToWire(limit, kNow);
  impossible.rate = std::numeric_limits<double>::infinity();
  CHECK_FALSE(FromWire(impossible, kNow));
  impossible.rate = -1;
  CHECK_FALSE(FromWire(impossible, kNow));
}

TEST_CASE("a placement request survives encoding and decoding") {
  PlacementRequest request;
  request.shard = {ServiceId("llm"), DataCentreId("east"), 4, 3};
  request.profile.prompt = Tokens(260000);
  request.profile.aim = absl::Seconds(4);
  request.profile.time_remaining = absl::Seconds(15);
  request.profile.elapsed = absl::Milliseconds(20);
  request.use_engine_model = true;
  request.excluded_targets = {TargetId("a")};
  request.excluded_helpers = {TargetId("b"), TargetId("c")};
  const PlacementRequest decoded =
      FromWire(ToWire(9, request), DataCentreId("west"));
  CHECK(decoded.shard.Name() == request.shard.Name());
  CHECK(decoded.sender_data_centre.text() == "west");
  CHECK(decoded.profile.prompt == request.profile.prompt);
  CHECK(decoded.profile.aim == request.profile.aim);
  CHECK(decoded.profile.time_remaining == request.profile.time_remaining);
  CHECK(decoded.profile.elapsed == request.profile.elapsed);
  CHECK(decoded.profile.max_event_gap == absl::InfiniteDuration());
  CHECK(decoded.use_engine_model);
  CHECK(decoded.excluded_targets == request.excluded_targets);
  CHECK(decoded.excluded_helpers == request.excluded_helpers);
}

TEST_CASE(
    "a placement reply survives encoding and decoding, with and without a "
    "target") {
  PlacementReply reply;
  reply.candidate_count = 19;
  reply.result.retry_after = absl::Milliseconds(800);
  PlacementReply decoded = FromWire(ToWire(1, reply));
  CHECK(decoded.candidate_count == 19);
  CHECK_FALSE(decoded.result.decision);
  CHECK(decoded.result.retry_after == absl::Milliseconds(800));
  CHECK(decoded.result.min_time_to_first_event == absl::InfiniteDuration());

  dispatch::PlacementDecision placed;
  placed.target = TargetId("t");
  placed.helpers = {TargetId("h")};
  placed.reserve_per_helper = Tokens(130000);
  placed.time_to_first_event = absl::Milliseconds(1900);
  placed.cost = 0.5;
  reply.result.decision = placed;
  reply.result.min_time_to_first_event = absl::Milliseconds(1900);
  decoded = FromWire(ToWire(1, reply));
  REQUIRE(decoded.result.decision);
  CHECK(decoded.result.decision->target == placed.target);
  CHECK(decoded.result.decision->helpers == placed.helpers);
  CHECK(decoded.result.decision->reserve_per_helper ==
        placed.reserve_per_helper);
  CHECK(decoded.result.decision->time_to_first_event ==
        placed.time_to_first_event);
  CHECK(decoded.result.decision->cost == Approx(0.5));
  CHECK(decoded.result.min_time_to_first_event == absl::Milliseconds(1900));
}

// Guards against a home and a requester of which one is an older build: its
// arrays end before the fields by which requests wait.
TEST_CASE("waiting survives encoding, and older builds know nothing of it") {
  PlacementReply reply;
  reply.candidate_count = 3;
  reply.ask_again = absl::Milliseconds(120);
  CHECK(FromWire(ToWire(9, reply)).ask_again == reply.ask_again);
  PlacementRequest request;
  request.profile.is_retry = true;
  CHECK(FromWire(ToWire(9, request), DataCentreId()).profile.is_retry);

  msgpack::sbuffer bytes;
  msgpack::pack(
      bytes, std::make_tuple(9U, 3U, std::string(), std::vector<std::string>(),
                             0U, 0U, 0.0F, 700U, -1, false));
  const auto older = msgpack::unpack(bytes.data(), bytes.size())
                         .get()
                         .as<PeerPlacementReply>();
  CHECK(FromWire(older).ask_again == absl::ZeroDuration());
  CHECK(FromWire(older).result.retry_after == absl::Milliseconds(700));
}

// The field was appended: a home of an older build doesn't send it, and ignores
// it when it gets it.
TEST_CASE("a placement reply states the shard's capacity, or none") {
  PlacementReply reply;
  CHECK_FALSE(FromWire(ToWire(1, reply)).shard_capacity);
  reply.shard_capacity = 0;
  CHECK(FromWire(ToWire(1, reply)).shard_capacity == 0.0);
  reply.shard_capacity = 2.5;
  PeerPlacementReply wire = ToWire(1, reply);
  CHECK(FromWire(wire).shard_capacity == 2.5);

  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  constexpr uint32_t kFieldsBefore = 10;
  packer.pack_array(kFieldsBefore);
  packer.pack(wire.id)
      .pack(wire.candidates)
      .pack(wire.target)
      .pack(wire.helpers)
      .pack(wire.reserve_per_helper)
      .pack(wire.first_event_ms)
      .pack(wire.cost)
      .pack(wire.retry_after_ms)
      .pack(wire.earliest_first_event_ms)
      .pack(wire.charged_to_limit);
  const auto former = msgpack::unpack(buffer.data(), buffer.size())
                          .get()
                          .as<PeerPlacementReply>();
  CHECK(former.id == 1);
  CHECK_FALSE(FromWire(former).shard_capacity);
}

TEST_CASE("members are sent with the time since they were last heard") {
  dispatch::Member member{InstanceId("10.1.0.7"), DataCentreId("east"), 0.12,
                          kNow - absl::Milliseconds(900), false};
  dispatch::Member left{InstanceId("10.1.0.8"), DataCentreId("east"), 0.5, kNow,
                        true};
  PeerMessage message;
  EncodeMembers({member, left}, kNow, &message);
  CHECK(message.data_centres.size() == 1);
  // The receiver's clock differs.
  const absl::Time receiver_now = kNow + absl::Hours(5);
  const auto decoded = DecodeMembers(message, receiver_now);
  REQUIRE(decoded.size() == 2);
  CHECK(decoded[0].id == member.id);
  CHECK(decoded[0].data_centre == member.data_centre);
  CHECK(decoded[0].cpu_cores == Approx(0.12));
  CHECK(decoded[0].last_heard == receiver_now - absl::Milliseconds(900));
  CHECK(decoded[1].has_left);
}

TEST_CASE("a member with an invalid data centre index is skipped") {
  PeerMessage message;
  message.members = {{0x0A000001, 3, 120, 0, false}};
  CHECK(DecodeMembers(message, kNow).empty());
}

}  // namespace
}  // namespace umbertrail::front
