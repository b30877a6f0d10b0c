#include "umbertrail/peer/codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "random_messages.h"

namespace umbertrail::peer {
namespace {

constexpr size_t kMebibyte = size_t{1} << 20;
constexpr size_t kKinds = std::variant_size_v<core::PeerPayload>;

std::string Encoded(uint64_t seed, size_t tag) {
  const auto encoded = EncodeEnvelope(MessageFiller(seed).Envelope(tag));
  REQUIRE(IsOk(encoded));
  return ValueOf(encoded);
}

bool Fuzz(const std::string& bytes) {
  return FuzzPeerCodec(reinterpret_cast<const uint8_t*>(bytes.data()),
                       bytes.size());
}

core::PeerEnvelope WithPart(size_t n) {
  core::PeerEnvelope envelope;
  envelope.payload = core::PartReply{"hash", std::string(n, 'x')};
  return envelope;
}

TEST_CASE("every payload survives encoding and decoding") {
  for (size_t tag = 0; tag < kKinds; ++tag) {
    CAPTURE(tag);
    CHECK(rc::check([tag](uint64_t seed) {
      const core::PeerEnvelope envelope = MessageFiller(seed).Envelope(tag);
      const auto encoded = EncodeEnvelope(envelope);
      RC_ASSERT(IsOk(encoded));
      const auto decoded = DecodeEnvelope(ValueOf(encoded));
      RC_ASSERT(IsOk(decoded));
      RC_ASSERT(SameEnvelope(envelope, ValueOf(decoded)));
    }));
  }
}

TEST_CASE("every truncation is refused") {
  for (size_t tag = 0; tag < kKinds; ++tag) {
    const std::string bytes = Encoded(tag, tag);
    for (size_t n = 0; n < bytes.size(); ++n) {
      CHECK_FALSE(IsOk(DecodeEnvelope(bytes.substr(0, n))));
    }
  }
}

TEST_CASE("trailing bytes are refused") {
  CHECK_FALSE(IsOk(DecodeEnvelope(Encoded(1, 0) + '\0')));
}

TEST_CASE("flipped bits and random bytes never escape as exceptions") {
  const auto random = MakeSeededRandom(7);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = Encoded(random->Next(), random->Below(kKinds));
    for (uint64_t flips = 1 + random->Below(3); flips > 0; --flips) {
      char& c = bytes[random->Below(bytes.size())];
      c = static_cast<char>(c ^ (1u << random->Below(8)));
    }
    REQUIRE(Fuzz(bytes));
  }
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(random->Below(64), '\0');
    for (char& c : bytes) {
      c = static_cast<char>(random->Next());
    }
    REQUIRE(Fuzz(bytes));
  }
}

TEST_CASE("another codec version is refused") {
  std::string bytes = Encoded(1, 0);
  REQUIRE(bytes[1] == static_cast<char>(kCodecVersion));
  bytes[1] = static_cast<char>(kCodecVersion + 1);
  CHECK_FALSE(IsOk(DecodeEnvelope(bytes)));
}

TEST_CASE("an envelope over the limit is refused on both sides") {
  CHECK(IsOk(EncodeEnvelope(WithPart(kMebibyte))));
  CHECK_FALSE(IsOk(EncodeEnvelope(WithPart(kMaxEnvelopeBytes))));
  CHECK_FALSE(IsOk(DecodeEnvelope(std::string(kMaxEnvelopeBytes + 1, '\0'))));
}

TEST_CASE("an array header without its elements costs no memory") {
  // array32 of 2^32 - 1 elements
  CHECK_FALSE(IsOk(DecodeEnvelope("\xdd\xff\xff\xff\xff")));
}

TEST_CASE("a weight survives, whole or not") {
  const double weight = GENERATE(0.0, 1.0, 2.0, 0.25, -3.0);
  core::PeerEnvelope envelope;
  core::AdmitRequest admit;
  admit.weight = weight;
  envelope.payload = admit;
  const auto decoded = DecodeEnvelope(ValueOf(EncodeEnvelope(envelope)));
  REQUIRE(IsOk(decoded));
  const auto& payload = ValueOf(decoded).payload;
  CHECK(std::get<core::AdmitRequest>(payload).weight == weight);
}

TEST_CASE("a weight that is not finite is refused") {
  core::PeerEnvelope envelope;
  core::AdmitRequest admit;
  admit.weight = std::numeric_limits<double>::infinity();
  envelope.payload = admit;
  const auto encoded = EncodeEnvelope(envelope);
  REQUIRE(IsOk(encoded));
  CHECK_FALSE(IsOk(DecodeEnvelope(ValueOf(encoded))));
}

}  // namespace
}  // namespace umbertrail::peer
