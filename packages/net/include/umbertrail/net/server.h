#ifndef UMBERTRAIL_NET_SERVER_H_
#define UMBERTRAIL_NET_SERVER_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/net/alarm.h"
#include "umbertrail/net/message.h"
#include "umbertrail/net/socket.h"

// The server side of HTTP/1.1 on the event loop: one request at a time on each
// connection, answered by whoever the handler hands it to.

namespace umbertrail::net {

// What a client may send and how long it may take.
struct ServerLimits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 4194304;
  // From the first byte of a request to the end of its head, and the longest
  // pause between two pieces of its body.
  absl::Duration header_timeout = absl::Seconds(3);
  // A connection without a request is closed after this.
  absl::Duration idle_timeout = absl::Seconds(15);
};

// Hears what happens to the client of a request while it is answered.
class ClientObserver {
 public:
  virtual ~ClientObserver() = default;
  // The client closed its connection; nothing more can be sent.
  virtual void OnClientGone() = 0;
  // Bytes of the answer were taken by the socket.
  virtual void OnClientProgress() = 0;
};

class HttpServer;

// One connection of a client; carries one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, Tcp::socket socket);
  ~ServerConnection();

  // The request being answered, with its whole body.
  const RequestHead& request() const { return request_; }
  const std::shared_ptr<std::string>& body() const { return body_; }

  // From here `watcher` hears of the client, and is held, until the answer
  // ends.
  void Watch(std::shared_ptr<ClientObserver> watcher);

  // Sends a whole answer and ends the request.
  void Respond(ResponseHead head, absl::string_view body);
  // Begins an answer; the body follows in pieces, then Finish or Cut.
  void BeginResponse(ResponseHead head);
  void SendBody(absl::string_view bytes);
  // The answer is complete. The connection serves on, or closes after it.
  void FinishResponse();
  // Ends the connection so that the answer does not look complete.
  void Abort();

  size_t pending_bytes() const { return writes_.pending_bytes(); }

 private:
  friend class HttpServer;
  enum class State { kIdle, kReadingHead, kReadingBody, kAnswering, kClosed };

  void Start();
  void ReadMore();
  void OnRead(const boost::system::error_code& error, size_t bytes);
  void Parse();
  void OnReadError(const boost::system::error_code& error);
  // Refuses a request that can't be read, and closes.
  void Refuse(int status, const char* reason);
  // Null when the framing of a parsed head is unambiguous.
  const char* FramingFault() const;
  void OnRequestRead();
  void OnTimer();
  void OnWritten(bool ok);
  void Close();
  // Closes once the client has read what was sent, so that it isn't lost.
  void CloseGracefully();
  void PrepareNext();

  HttpServer& server_;
  Tcp::socket socket_;
  WriteQueue writes_;
  Timer alarm_;
  State state_ = State::kIdle;
  bool reading_ = false;
  bool close_after_answer_ = false;
  bool draining_to_close_ = false;
  bool chunked_answer_ = false;
  bool bodyless_answer_ = false;
  std::array<char, 4096> arrived_;
  // Bytes that are not parsed yet.
  std::string buffer_;
  struct Reader;
  std::unique_ptr<Reader> reader_;
  RequestHead request_;
  std::shared_ptr<std::string> body_;
  std::shared_ptr<ClientObserver> watcher_;
};

// Accepts connections and reads requests from them.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerConnection>)>;
  // Told of what can't be read: a short text of what is wrong.
  using FaultHandler = std::function<void(int status, const char* reason)>;

  HttpServer(Loop& loop, Handler on_request, FaultHandler on_fault);

  // False when the address can't be bound; the text says why.
  std::optional<std::string> Listen(const Endpoint& endpoint);
  // Takes what has connected already, and nobody after that.
  void StopListening();
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& limits() const { return limits_; }

  // From now on each answer asks its client to close the connection.
  void StartDraining() { draining_ = true; }
  bool draining() const { return draining_; }
  // Closes the connections that carry no request; from now on the others close
  // after theirs, and a request that is still being read is refused.
  void CloseIdle();
  // Ends every connection.
  void CloseAll();
  // Connections that carry a request.
  size_t busy() const { return busy_; }
  size_t connections() const { return connections_.size(); }

 private:
  friend class ServerConnection;
  void Accept();

  Loop& loop_;
  Handler on_request_;
  FaultHandler on_fault_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_pause_;
  ServerLimits limits_;
  bool draining_ = false;
  bool no_further_requests_ = false;
  size_t busy_ = 0;
  std::unordered_set<ServerConnection*> connections_;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SERVER_H_
