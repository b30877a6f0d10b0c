#include "peer_message.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

PeerMessage Sample() {
  PeerMessage message;
  message.incarnation = 7;
  message.sequence = 3;
  message.data_centres = {"east"};
  message.members = {{0x0A000001, 0, 250, 40, false}};
  PeerQuery ask;
  ask.id = 5;
  ask.service = "llm";
  ask.excluded = {"t4"};
  message.queries = {ask};
  PeerOffer offer;
  offer.id = 6;
  offer.target = "t5";
  message.offers = {offer};
  message.outcomes = {{"t1", 3, 1, 2, 1.5F}};
  message.targets = {{"t1", {{1500, 3900, 1, 250, 2.5F, 4000}}}, {"t2", {}}};
  message.deaths = {{9, "t3"}};
  return message;
}

TEST_CASE("a message reads as it was written") {
  const auto read = DecodePeerDatagram(EncodePeerMessage(Sample()) +
                                       EncodePeerTrailer({11, 22, 9, -33, 44}));
  REQUIRE(IsOk(read));
  const PeerMessage& message = ValueOf(read).message;
  CHECK(ValueOf(read).trailer.sent_ms == 11);
  CHECK(ValueOf(read).trailer.reading_after_echo_ms == -33);
  CHECK(ValueOf(read).trailer.revision == 44);
  CHECK(message.incarnation == 7);
  REQUIRE(message.members.size() == 1);
  CHECK(message.members.front().address == 0x0A000001);
  CHECK(message.queries.front().excluded == std::vector<std::string>{"t4"});
  CHECK(message.offers.front().target == "t5");
  CHECK(message.outcomes.front().first_events == 2);
  CHECK(ValueOf(read).trailer.echo_incarnation == 9);
  REQUIRE(message.targets.size() == 2);
  CHECK(message.targets[0].work.front().prefill_ms == 3900);
  CHECK(message.targets[1].work.empty());
  CHECK(message.deaths.front().target == "t3");
}

TEST_CASE("another version is refused") {
  PeerMessage message = Sample();
  message.version = kPeerMessageVersion + 1;
  CHECK_FALSE(IsOk(
      DecodePeerDatagram(EncodePeerMessage(message) + EncodePeerTrailer({}))));
  CHECK_FALSE(IsOk(DecodePeerDatagram(EncodePeerMessage(Sample()))));
}

TEST_CASE("no bytes upset the reader") {
  CHECK(rc::check([] {
    std::string bytes =
        EncodePeerMessage(Sample()) + EncodePeerTrailer({11, 22, 9, -33, 44});
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto read = DecodePeerDatagram(bytes);
    const bool sound =
        !IsOk(read) || ValueOf(read).message.version == kPeerMessageVersion;
    RC_ASSERT(sound);
  }));
}

}  // namespace
}  // namespace umbertrail::front
