#include "peer_message.h"

#include "absl/strings/string_view.h"

namespace umbertrail::front {

std::string EncodePeerMessage(const PeerMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

std::string EncodePeerTrailer(const PeerTrailer& trailer) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, trailer);
  return std::string(buffer.data(), buffer.size());
}

Result<PeerDatagram> DecodePeerDatagram(absl::string_view bytes) {
  try {
    size_t at = 0;
    PeerDatagram datagram;
    datagram.message =
        msgpack::unpack(bytes.data(), bytes.size(), at).get().as<PeerMessage>();
    if (datagram.message.version != kPeerMessageVersion) {
      return Error{ErrorCode::kInvalidArgument, "unsupported version"};
    }
    datagram.trailer =
        msgpack::unpack(bytes.data(), bytes.size(), at).get().as<PeerTrailer>();
    return datagram;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kCorrupt, error.what()};
  }
}

}  // namespace umbertrail::front
