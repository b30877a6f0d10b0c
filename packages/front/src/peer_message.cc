#include "peer_message.h"

#include "absl/strings/string_view.h"

namespace umbertrail::front {

std::string EncodePeerMessage(const PeerMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

Result<PeerMessage> DecodePeerMessage(absl::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    auto message = handle.get().as<PeerMessage>();
    if (message.version != kPeerMessageVersion) {
      return Error{ErrorCode::kInvalidArgument, "another version"};
    }
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kCorrupt, error.what()};
  }
}

}  // namespace umbertrail::front
