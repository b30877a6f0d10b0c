#ifndef UMBERTRAIL_PEER_LINK_PROTOCOL_H_
#define UMBERTRAIL_PEER_LINK_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frame_buffer.h"
#include "handshake.h"
#include "umbertrail/peer/peer_links.h"

namespace umbertrail::peer::detail {

// One end of one link as bytes in and bytes out, without its socket.
class LinkProtocol {
 public:
  // Called with each message's bytes.
  using MessageHandler = std::function<void(std::string_view)>;

  // The dialling end; `dialled` must answer as itself.
  static LinkProtocol Opener(const InstanceRef& self,
                             const InstanceId& dialled,
                             const std::vector<PeerKey>& keys,
                             const LinkLimits& limits,
                             RandomSource* random);
  static LinkProtocol Acceptor(const InstanceRef& self,
                               const std::vector<PeerKey>& keys,
                               const LinkLimits& limits,
                               RandomSource* random);

  // Takes received bytes. A result says why the link must be closed.
  std::optional<LinkChange> Receive(std::string_view bytes,
                                    const MessageHandler& on_message);

  // Precondition of both: ready().
  void SendMessage(std::string_view message);
  void SendPing(uint64_t number);

  bool ready() const { return sealer_.has_value(); }
  // The authenticated other end, once ready.
  const InstanceRef& peer() const { return session_.peer; }
  // Number of the last ping that was answered.
  uint64_t answered_ping() const { return answered_ping_; }
  // Bytes to be written; the owner removes what it has written.
  std::string& output() { return output_; }

 private:
  enum class FrameKind : char { kMessage = 0, kPing = 1, kPong = 2 };

  explicit LinkProtocol(const LinkLimits& limits);

  std::optional<LinkChange> OnFrame(std::string_view frame,
                                    const MessageHandler& on_message);
  std::optional<LinkChange> OnWelcome(std::string_view frame);
  std::optional<LinkChange> OnHello(std::string_view frame);
  std::optional<LinkChange> OnProof(std::string_view frame);
  std::optional<LinkChange> OnSealedFrame(std::string_view frame,
                                          const MessageHandler& on_message);
  std::optional<LinkChange> OnPong(std::string_view body);
  void BecomeReady(Session session);
  void SendSealed(FrameKind kind, std::string_view body);

  LinkLimits limits_;
  InstanceId dialled_;
  std::optional<OpenerHandshake> opener_;
  std::optional<AcceptorHandshake> acceptor_;
  bool hello_seen_ = false;
  Session session_;
  std::optional<FrameSealer> sealer_;
  std::optional<FrameOpener> frame_opener_;
  FrameBuffer input_;
  std::string output_;
  uint64_t answered_ping_ = 0;
};

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_LINK_PROTOCOL_H_
