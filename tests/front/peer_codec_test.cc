#include "peer_codec.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST_CASE("work reads as it was told") {
  dispatch::WorkItem item;
  item.since = kNow - absl::Milliseconds(70);
  item.read_time = absl::Milliseconds(456);
  item.expected = absl::Milliseconds(500);
  item.reading = true;
  item.gap_aim = absl::Milliseconds(600);
  item.worth = 2.5;
  const dispatch::WorkItem read = FromWire(ToWire(item, kNow), kNow);
  CHECK(read.since == item.since);
  CHECK(read.read_time == item.read_time);
  CHECK(read.expected == item.expected);
  CHECK(read.reading);
  CHECK_FALSE(read.helping);
  CHECK(read.gap_aim == item.gap_aim);
  CHECK(read.worth == Approx(2.5));
}

TEST_CASE("a question reads as it was asked") {
  PlaceQuery query;
  query.shard = {ServiceId("llm"), DataCentreId("east"), 4, 3};
  query.shape.prompt = Tokens(260000);
  query.shape.aim = absl::Seconds(4);
  query.shape.left = absl::Seconds(15);
  query.shape.waited = absl::Milliseconds(20);
  query.by_engine = true;
  query.excluded = {TargetId("a")};
  query.no_helpers = {TargetId("b"), TargetId("c")};
  const PlaceQuery read = FromWire(ToWire(9, query), DataCentreId("west"));
  CHECK(read.shard.Name() == query.shard.Name());
  CHECK(read.from.text() == "west");
  CHECK(read.shape.prompt == query.shape.prompt);
  CHECK(read.shape.aim == query.shape.aim);
  CHECK(read.shape.left == query.shape.left);
  CHECK(read.shape.waited == query.shape.waited);
  CHECK(read.shape.gap_aim == absl::InfiniteDuration());
  CHECK(read.by_engine);
  CHECK(read.excluded == query.excluded);
  CHECK(read.no_helpers == query.no_helpers);
}

TEST_CASE("an answer reads as it was given, with a place and without") {
  PlaceOffer offer;
  offer.among = 19;
  offer.result.retry_after = absl::Milliseconds(800);
  PlaceOffer read = FromWire(ToWire(1, offer));
  CHECK(read.among == 19);
  CHECK_FALSE(read.result.placed);
  CHECK(read.result.retry_after == absl::Milliseconds(800));
  CHECK(read.result.soonest == absl::InfiniteDuration());

  dispatch::Placed placed;
  placed.target = TargetId("t");
  placed.helpers = {TargetId("h")};
  placed.reserve_each = Tokens(130000);
  placed.first_event = absl::Milliseconds(1900);
  placed.cost = 0.5;
  offer.result.placed = placed;
  offer.result.soonest = absl::Milliseconds(1900);
  read = FromWire(ToWire(1, offer));
  REQUIRE(read.result.placed);
  CHECK(read.result.placed->target == placed.target);
  CHECK(read.result.placed->helpers == placed.helpers);
  CHECK(read.result.placed->reserve_each == placed.reserve_each);
  CHECK(read.result.placed->first_event == placed.first_event);
  CHECK(read.result.placed->cost == Approx(0.5));
  CHECK(read.result.soonest == absl::Milliseconds(1900));
}

TEST_CASE("members are told with their age") {
  dispatch::Member member{InstanceId("10.1.0.7"), DataCentreId("east"), 0.12,
                          kNow - absl::Milliseconds(900), false};
  dispatch::Member left{InstanceId("10.1.0.8"), DataCentreId("east"), 0.5, kNow,
                        true};
  PeerMessage message;
  WriteMembers({member, left}, kNow, &message);
  CHECK(message.data_centres.size() == 1);
  // The receiver's clock is another.
  const absl::Time theirs = kNow + absl::Hours(5);
  const auto read = ReadMembers(message, theirs);
  REQUIRE(read.size() == 2);
  CHECK(read[0].id == member.id);
  CHECK(read[0].data_centre == member.data_centre);
  CHECK(read[0].processor == Approx(0.12));
  CHECK(read[0].heard == theirs - absl::Milliseconds(900));
  CHECK(read[1].left);
}

TEST_CASE("a member whose data centre isn't named is left out") {
  PeerMessage message;
  message.members = {{0x0A000001, 3, 120, 0, false}};
  CHECK(ReadMembers(message, kNow).empty());
}

}  // namespace
}  // namespace umbertrail::front
