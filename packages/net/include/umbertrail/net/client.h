#ifndef UMBERTRAIL_NET_CLIENT_H_
#define UMBERTRAIL_NET_CLIENT_H_

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/net/alarm.h"
#include "umbertrail/net/message.h"
#include "umbertrail/net/socket.h"

// HTTP/1.1 client on the event loop: one connection, one request at a time; the
// response is streamed to a listener.

namespace umbertrail::net {

// Why a request got no complete response.
enum class CallFailure {
  // The connection failed; nothing was sent.
  kNotConnected,
  // The connection closed before the first byte of a response.
  kNoAnswer,
  // The connection closed within a response, or ended a response without a
  // length while bytes of the request were on their way.
  kBrokenOff,
  // The response is not valid HTTP/1.1, or its status is outside 100 to 599.
  kUnreadable,
};

absl::string_view NameOf(CallFailure failure);

// Receives one response. OnEnd or OnFailure is the last callback.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(absl::string_view bytes) = 0;
  // The response is complete.
  virtual void OnEnd() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Its buffers are charged to `memory`, if that is given. The body of a
  // request is not, as the caller holds it too.
  explicit ClientConnection(Loop& loop,
                            std::shared_ptr<MemoryBudget> memory = nullptr);
  ~ClientConnection();

  // Sends a request, connecting first if needed; `body` may be null. Fails if
  // connecting takes longer than `connect_timeout`.
  void Call(const Endpoint& endpoint,
            absl::Duration connect_timeout,
            absl::Duration peer_timeout,
            std::string head,
            std::shared_ptr<const std::string> body,
            bool response_has_no_body,
            std::weak_ptr<ResponseListener> listener);

  // Connects without a request; afterwards the connection can take one.
  // `done` runs once, with whether that succeeded.
  void Open(const Endpoint& endpoint,
            absl::Duration connect_timeout,
            absl::Duration peer_timeout,
            std::function<void(bool connected)> done);

  // While paused, no more bytes of the response are read.
  void SetReadingPaused(bool paused);
  // Closes the connection without notifying the listener.
  void Close();

  // True when the connection can take another request now.
  bool Reusable() const;
  bool closed() const { return state_ == State::kClosed; }
  // The peer closed the connection while it was idle.
  bool closed_by_peer() const { return closed_by_peer_; }
  // True once the request was handed to the socket.
  bool sent() const { return sent_; }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  enum class State { kNew, kConnecting, kCalling, kIdle, kClosed };

  void Connect(const Endpoint& endpoint,
               absl::Duration connect_timeout,
               absl::Duration peer_timeout);
  void OnConnected();
  void BecomeIdle();
  void OnConnectTimeout();
  void Send();
  void ReadMore();
  void OnRead(const boost::system::error_code& error);
  void OnInterimResponse();
  void DeliverHead();
  void Fail(CallFailure failure);
  void OnWritten(bool ok);
  void EndCall();
  bool RequestDelivered();
  void UpdateIdleLimit(const ResponseHead& head);

  Loop& loop_;
  Tcp::socket socket_;
  MemoryCharge charge_;
  WriteQueue writes_;
  Timer timer_;
  Endpoint endpoint_;
  State state_ = State::kNew;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  bool response_has_no_body_ = false;
  std::weak_ptr<ResponseListener> listener_;
  // Set while the connection is opened without a request.
  std::function<void(bool connected)> on_opened_;
  struct Reader;
  std::unique_ptr<Reader> reader_;
  std::array<char, 8192> read_buffer_;
  // Bytes that are not parsed yet.
  std::string buffer_;
  int interim_responses_ = 0;
  bool reading_ = false;
  bool reading_paused_ = false;
  bool sent_ = false;
  bool head_delivered_ = false;
  bool response_started_ = false;
  bool extra_bytes_ = false;
  bool closed_by_peer_ = false;
  bool write_failed_ = false;
  absl::Duration idle_limit_;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_CLIENT_H_
