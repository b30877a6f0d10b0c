#ifndef UMBERTRAIL_PEER_CODEC_H_
#define UMBERTRAIL_PEER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "umbertrail/base.h"
#include "umbertrail/core/messages.h"

namespace umbertrail::peer {

// Version of the encoding. Instances of different versions don't link.
inline constexpr uint32_t kCodecVersion = 1;

// Largest encoded envelope that EncodeEnvelope() makes and DecodeEnvelope()
// reads, in bytes: a manifest part or a service call's body, with room for its
// fields.
inline constexpr size_t kMaxEnvelopeBytes = size_t{2} * 1024 * 1024;

// Encodes an envelope as msgpack: an array of version, sender, revision,
// leaving, payload tag and payload, where each struct is the array of its
// fields in declaration order. Durations travel as nanoseconds. Fails with
// kInvalidArgument when the result would exceed kMaxEnvelopeBytes or
// an array 65536 elements. Cost: linear in the envelope.
Result<std::string> EncodeEnvelope(const core::PeerEnvelope& envelope);

// Decodes what EncodeEnvelope() made. Any other bytes fail with kCorrupt:
// another version, unknown tags or enumerators, wrong shapes, numbers out of
// range, infinite weights, trailing bytes, oversize. Never throws. Memory stays
// within a small multiple of `bytes`.
Result<core::PeerEnvelope> DecodeEnvelope(std::string_view bytes);

// Decodes arbitrary bytes and, when they are accepted, checks that encoding
// them again gives an envelope that decodes to the same bytes. Returns false
// only when that fails. An entry for fuzzers.
bool FuzzPeerCodec(const uint8_t* data, size_t size);

}  // namespace umbertrail::peer

#endif  // UMBERTRAIL_PEER_CODEC_H_
