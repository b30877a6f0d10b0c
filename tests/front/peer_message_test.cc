#include "peer_message.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

PeerMessage Sample() {
  PeerMessage message;
  message.incarnation = 7;
  message.sequence = 3;
  message.peers = {"10.0.0.1"};
  message.targets = {{"t1", {{1500, 3900, 1, 250, 2.5F, 4000}}}, {"t2", {}}};
  message.deaths = {{9, "t3"}};
  return message;
}

TEST_CASE("a message reads as it was written") {
  const auto read = DecodePeerDatagram(EncodePeerMessage(Sample()) +
                                       EncodePeerTrailer({11, 22, -33, 44}));
  REQUIRE(IsOk(read));
  const PeerMessage& message = ValueOf(read).message;
  CHECK(ValueOf(read).trailer.sent_ms == 11);
  CHECK(ValueOf(read).trailer.reading_after_ms == -33);
  CHECK(ValueOf(read).trailer.revision == 44);
  CHECK(message.incarnation == 7);
  CHECK(message.peers == std::vector<std::string>{"10.0.0.1"});
  REQUIRE(message.targets.size() == 2);
  CHECK(message.targets[0].work.front().read_ms == 3900);
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
        EncodePeerMessage(Sample()) + EncodePeerTrailer({11, 22, -33, 44});
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
