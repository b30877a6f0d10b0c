#include "peer_codec.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST_CASE("a work item survives encoding and decoding") {
  dispatch::WorkItem item;
  item.since = kNow - absl::Milliseconds(70);
  item.read_time = absl::Milliseconds(456);
  item.expected = absl::Milliseconds(500);
  item.reading = true;
  item.gap_aim = absl::Milliseconds(600);
  item.worth = 2.5;
  const dispatch::WorkItem decoded = FromWire(ToWire(item, kNow), kNow);
  CHECK(decoded.since == item.since);
  CHECK(decoded.read_time == item.read_time);
  CHECK(decoded.expected == item.expected);
  CHECK(decoded.reading);
  CHECK_FALSE(decoded.helping);
  CHECK(decoded.gap_aim == item.gap_aim);
  CHECK(decoded.worth == Approx(2.5));
}

TEST_CASE("a placement query survives encoding and decoding") {
  PlaceQuery query;
  query.shard = {ServiceId("llm"), DataCentreId("east"), 4, 3};
  query.shape.prompt = Tokens(260000);
  query.shape.aim = absl::Seconds(4);
  query.shape.left = absl::Seconds(15);
  query.shape.waited = absl::Milliseconds(20);
  query.by_engine = true;
  query.excluded = {TargetId("a")};
  query.no_helpers = {TargetId("b"), TargetId("c")};
  const PlaceQuery decoded = FromWire(ToWire(9, query), DataCentreId("west"));
  CHECK(decoded.shard.Name() == query.shard.Name());
  CHECK(decoded.from.text() == "west");
  CHECK(decoded.shape.prompt == query.shape.prompt);
  CHECK(decoded.shape.aim == query.shape.aim);
  CHECK(decoded.shape.left == query.shape.left);
  CHECK(decoded.shape.waited == query.shape.waited);
  CHECK(decoded.shape.gap_aim == absl::InfiniteDuration());
  CHECK(decoded.by_engine);
  CHECK(decoded.excluded == query.excluded);
  CHECK(decoded.no_helpers == query.no_helpers);
}

TEST_CASE(
    "an offer survives encoding and decoding, with and without a target") {
  PlaceOffer offer;
  offer.among = 19;
  offer.result.retry_after = absl::Milliseconds(800);
  PlaceOffer decoded = FromWire(ToWire(1, offer));
  CHECK(decoded.among == 19);
  CHECK_FALSE(decoded.result.placed);
  CHECK(decoded.result.retry_after == absl::Milliseconds(800));
  CHECK(decoded.result.soonest == absl::InfiniteDuration());

  dispatch::Placed placed;
  placed.target = TargetId("t");
  placed.helpers = {TargetId("h")};
  placed.reserve_each = Tokens(130000);
  placed.first_event = absl::Milliseconds(1900);
  placed.cost = 0.5;
  offer.result.placed = placed;
  offer.result.soonest = absl::Milliseconds(1900);
  decoded = FromWire(ToWire(1, offer));
  REQUIRE(decoded.result.placed);
  CHECK(decoded.result.placed->target == placed.target);
  CHECK(decoded.result.placed->helpers == placed.helpers);
  CHECK(decoded.result.placed->reserve_each == placed.reserve_each);
  CHECK(decoded.result.placed->first_event == placed.first_event);
  CHECK(decoded.result.placed->cost == Approx(0.5));
  CHECK(decoded.result.soonest == absl::Milliseconds(1900));
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
  CHECK(decoded[0].processor == Approx(0.12));
  CHECK(decoded[0].heard == receiver_now - absl::Milliseconds(900));
  CHECK(decoded[1].left);
}

TEST_CASE("a member with an invalid data centre index is skipped") {
  PeerMessage message;
  message.members = {{0x0A000001, 3, 120, 0, false}};
  CHECK(DecodeMembers(message, kNow).empty());
}

}  // namespace
}  // namespace umbertrail::front
