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
  message.targets = {{"t1", {{1500, 3900, 1, 250, 2.5F}}}, {"t2", {}}};
  message.deaths = {{9, "t3"}};
  return message;
}

TEST_CASE("a message reads as it was written") {
  const auto read = DecodePeerMessage(EncodePeerMessage(Sample()));
  REQUIRE(IsOk(read));
  const PeerMessage& message = ValueOf(read);
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
  CHECK_FALSE(IsOk(DecodePeerMessage(EncodePeerMessage(message))));
}

TEST_CASE("no bytes upset the reader") {
  CHECK(rc::check([] {
    std::string bytes = EncodePeerMessage(Sample());
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto read = DecodePeerMessage(bytes);
    const bool sound =
        !IsOk(read) || ValueOf(read).version == kPeerMessageVersion;
    RC_ASSERT(sound);
  }));
}

}  // namespace
}  // namespace umbertrail::front
