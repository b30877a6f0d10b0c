#ifndef UMBERTRAIL_NET_CLIENT_H_
#define UMBERTRAIL_NET_CLIENT_H_

#include <array>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/net/alarm.h"
#include "umbertrail/net/message.h"
#include "umbertrail/net/socket.h"

// The client side of HTTP/1.1 on the event loop: one connection, one call at a
// time, the answer handed on as it arrives.

namespace umbertrail::net {

// How a call ended without a whole answer.
enum class CallFailure {
  // No connection came about; nothing was sent.
  kNotConnected,
  // The connection ended before the first byte of an answer.
  kNoAnswer,
  // The answer began and broke off.
  kBrokenOff,
  // What came is no answer in the protocol.
  kUnreadable,
};

absl::string_view NameOf(CallFailure failure);

// Hears the answer of one call. After OnEnd or OnFailure nothing follows.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(absl::string_view bytes) = 0;
  // The answer is whole.
  virtual void OnEnd() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(Loop& loop);
  ~ClientConnection();

  // Connects and sends as soon as the connection stands; `body` may be null.
  // A connection that doesn't stand within `connect_limit` fails.
  void Call(const Endpoint& endpoint,
            absl::Duration connect_limit,
            absl::Duration silence,
            std::string head,
            std::shared_ptr<const std::string> body,
            bool answer_has_no_body,
            std::weak_ptr<ResponseListener> listener);

  // While held, no further bytes of the answer are read.
  void SetReadingPaused(bool hold);
  // Ends the connection; its listener hears nothing more.
  void Close();

  // True when a further call may go over this connection now.
  bool Reusable() const;
  // True once the first byte of the call was handed to the socket.
  bool sent() const { return sent_; }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  enum class State { kNew, kConnecting, kCalling, kIdle, kClosed };

  void OnConnected();
  void OnConnectLimit();
  void Send();
  void ReadMore();
  void OnRead(const boost::system::error_code& error);
  void OnInterimAnswer();
  void Deliver();
  void Fail(CallFailure failure);
  void OnWritten(bool ok);
  void EndCall();
  void NoteKeepAlive(const ResponseHead& head);

  Loop& loop_;
  Tcp::socket socket_;
  WriteQueue writes_;
  Timer alarm_;
  Endpoint endpoint_;
  State state_ = State::kNew;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  bool answer_has_no_body_ = false;
  std::weak_ptr<ResponseListener> listener_;
  struct Reader;
  std::unique_ptr<Reader> reader_;
  std::array<char, 8192> arrived_;
  // Bytes that are not parsed yet.
  std::string buffer_;
  bool reading_ = false;
  bool held_ = false;
  bool sent_ = false;
  bool head_told_ = false;
  bool answer_begun_ = false;
  bool ended_ = false;
  absl::Duration idle_limit_;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_CLIENT_H_
