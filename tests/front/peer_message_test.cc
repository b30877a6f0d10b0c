#include "peer_message.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

PeerMessage SampleMessage() {
  PeerMessage message;
  message.incarnation = 7;
  message.sequence = 3;
  message.data_centres = {"east"};
  message.members = {{0x0A000001, 0, 250, 40, false}};
  PeerPlacementRequest request;
  request.id = 5;
  request.service = "llm";
  request.excluded = {"t4"};
  message.placement_requests = {request};
  PeerPlacementReply reply;
  reply.id = 6;
  reply.target = "t5";
  message.placement_replies = {reply};
  message.outcomes = {{"t1", 3, 1, 2, 1.5F, 4, 61.5F}};
  message.route_outputs = {{13, 25, -120, 30, 4, 5, 6}};
  message.targets = {{"t1", {{1500, 3900, 1, 250, 2.5F, 4000}}}, {"t2", {}}};
  message.crashes = {{"t3", 7, 20, {9}, {10, 11}}};
  message.answers = {{12, 30}};
  message.config_claim = {9, 0x0A000002, 2, 12, 30, kSettled};
  message.config_requests = {{77}};
  message.config_entries = {{9, 77, {78, 79}, true}};
  return message;
}

TEST_CASE("a datagram survives encoding and decoding") {
  const auto decoded =
      DecodePeerDatagram(EncodePeerMessage(SampleMessage()) +
                         EncodePeerTrailer({11, 22, 9, -33, 44}));
  REQUIRE(IsOk(decoded));
  const PeerMessage& message = ValueOf(decoded).message;
  CHECK(ValueOf(decoded).trailer.sent_ms == 11);
  CHECK(ValueOf(decoded).trailer.reading_after_echo_ms == -33);
  CHECK(ValueOf(decoded).trailer.revision == 44);
  CHECK(message.incarnation == 7);
  REQUIRE(message.members.size() == 1);
  CHECK(message.members.front().address == 0x0A000001);
  CHECK(message.placement_requests.front().excluded ==
        std::vector<std::string>{"t4"});
  CHECK(message.placement_replies.front().target == "t5");
  CHECK(message.outcomes.front().first_events == 2);
  CHECK(message.outcomes.front().pause_windows == 4);
  CHECK(message.outcomes.front().pause_ms == 61.5F);
  REQUIRE(message.route_outputs.size() == 1);
  CHECK(message.route_outputs.front().events_mean == -120);
  CHECK(ValueOf(decoded).trailer.echo_incarnation == 9);
  REQUIRE(message.targets.size() == 2);
  CHECK(message.targets[0].work.front().prefill_ms == 3900);
  CHECK(message.targets[1].work.empty());
  CHECK(message.crashes.front().target == "t3");
  CHECK(message.crashes.front().parts == std::vector<uint64_t>{10, 11});
  CHECK(message.answers.front().content == 12);
  CHECK(message.config_claim.version == 9);
  CHECK(message.config_claim.holder == 0x0A000002);
  CHECK(message.config_claim.era == 2);
  CHECK(message.config_claim.revision == 12);
  CHECK(message.config_claim.sender == kSettled);
  CHECK(message.config_requests.front().from == 77);
  CHECK(message.config_entries.front().entries ==
        std::vector<uint64_t>{78, 79});
  CHECK(message.config_entries.front().is_last);
}

TEST_CASE("a datagram of another version or without a trailer is rejected") {
  PeerMessage message = SampleMessage();
  message.version = kPeerMessageVersion + 1;
  CHECK_FALSE(IsOk(
      DecodePeerDatagram(EncodePeerMessage(message) + EncodePeerTrailer({}))));
  CHECK_FALSE(IsOk(DecodePeerDatagram(EncodePeerMessage(SampleMessage()))));
}

// Packs the first `kept` fields of a message, as an older build does.
std::string EncodeOlderMessage(const PeerMessage& message, uint32_t kept) {
  const std::string bytes = EncodePeerMessage(message);
  const msgpack::object_handle unpacked =
      msgpack::unpack(bytes.data(), bytes.size());
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kept);
  for (uint32_t i = 0; i < kept; ++i) {
    packer.pack(unpacked.get().via.array.ptr[i]);
  }
  return std::string(buffer.data(), buffer.size());
}

// Guards against a build that fails to read the messages of an older one, which
// end before the fields that were added, while instances are replaced one by
// one.
TEST_CASE("a message of an older build decodes") {
  constexpr uint32_t kFieldsBeforeRouteOutputs = 23;
  const auto decoded = DecodePeerDatagram(
      EncodeOlderMessage(SampleMessage(), kFieldsBeforeRouteOutputs) +
      EncodePeerTrailer({11, 22, 9, -33, 44}));
  REQUIRE(IsOk(decoded));
  const PeerMessage& message = ValueOf(decoded).message;
  CHECK(message.placement_replies.front().target == "t5");
  CHECK(message.route_outputs.empty());
  // It states no configuration, nor whether it knows what others know.
  CHECK(message.config_claim.version == 0);
  CHECK(message.config_claim.sender == kSettlementNotStated);
}

TEST_CASE("corrupted datagrams never crash the decoder") {
  CHECK(rc::check([] {
    std::string bytes = EncodePeerMessage(SampleMessage()) +
                        EncodePeerTrailer({11, 22, 9, -33, 44});
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto decoded = DecodePeerDatagram(bytes);
    const bool rejected_or_current =
        !IsOk(decoded) ||
        ValueOf(decoded).message.version == kPeerMessageVersion;
    RC_ASSERT(rejected_or_current);
  }));
}

}  // namespace
}  // namespace umbertrail::front
