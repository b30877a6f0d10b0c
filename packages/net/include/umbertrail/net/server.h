#ifndef UMBERTRAIL_NET_SERVER_H_
#define UMBERTRAIL_NET_SERVER_H_

#include <array>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/net/alarm.h"
#include "umbertrail/net/memory_budget.h"
#include "umbertrail/net/message.h"
#include "umbertrail/net/shedding.h"
#include "umbertrail/net/socket.h"

// HTTP/1.1 server on the event loop: one request at a time per connection. The
// response comes from whichever object the handler passes the connection to.

namespace umbertrail::net {

// Limits on the requests of a client.
struct ServerLimits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 4194304;
  // What chunk sizes, chunk extensions and line ends may take beside 16 bytes
  // for each byte of the body.
  size_t max_framing_bytes = 1048576;
  // From the first byte of a request to the end of its head, the longest pause
  // between two reads of its body, and the time for a chunk's size or the
  // trailer to be complete.
  absl::Duration header_timeout = absl::Seconds(3);
  // Connections without a request are closed after this.
  absl::Duration idle_timeout = absl::Seconds(15);
};

// The body of a request, charged for as long as anyone holds it.
struct RequestBody {
  explicit RequestBody(std::shared_ptr<MemoryBudget> memory)
      : charge(std::move(memory), MemoryUse::kBodies) {}
  std::string bytes;
  MemoryCharge charge;
};

// Observes the client of a request until the response ends.
class ClientObserver {
 public:
  virtual ~ClientObserver() = default;
  // The client closed its connection; nothing more can be sent.
  virtual void OnClientGone() = 0;
  // The socket accepted bytes of the response.
  virtual void OnClientProgress() = 0;
};

class HttpServer;

// Connections that may be closed under pressure, by what they hold.
enum class ShedKind {
  kIdle,
  kHead,
  // A request whose body is being read: the memory of that body.
  kBody,
  // The same requests: their places and the memory of their connections.
  kUpload,
  kResponse
};
inline constexpr size_t kShedKinds = 5;

// A client connection; handles one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server,
                   Tcp::socket socket,
                   ClientAddress address);
  ~ServerConnection();

  // The current request and its complete body.
  const RequestHead& request() const { return request_; }
  std::shared_ptr<const std::string> body() const {
    return {body_, &body_->bytes};
  }

  // Notifies `observer`, and keeps it alive, until the response ends.
  void Watch(std::shared_ptr<ClientObserver> observer);

  // Sends a complete response.
  void Respond(ResponseHead head, absl::string_view body);
  // Starts a response; SendBody calls follow, then FinishResponse or Abort.
  void BeginResponse(ResponseHead head);
  void SendBody(absl::string_view bytes);
  // Completes the response; the connection is then reused or closed.
  void FinishResponse();
  // Closes the connection, after what was passed on has been sent, so that the
  // response does not look complete.
  void Abort();

  size_t pending_bytes() const { return writes_.pending_bytes(); }

 private:
  friend class HttpServer;
  enum class State {
    kIdle,
    kReadingHead,
    kReadingBody,
    kResponding,
    // The last response is complete and on its way to the client.
    kDelivering,
    kClosed
  };

  void Start();
  void ReadMore();
  void OnRead(const boost::system::error_code& error);
  void Parse();
  void OnReadError(const boost::system::error_code& error);
  // Sends an error response, then closes.
  void Refuse(int status, const char* reason);
  // Sends an error response without reporting it, then closes.
  void SendRefusal(ResponseHead head);
  // The parser has consumed bytes of the body and its framing.
  void NoteBodyRead(size_t bytes);
  // The request times out unless more of it is parsed within the limit.
  void LimitReading();
  // Whether the body has taken more on the wire than is allowed for its size.
  bool HasTooMuchFraming() const;
  // Null when the framing of a parsed head is unambiguous.
  const char* FramingError() const;
  void OnRequestRead();
  void OnTimer();
  void OnWritten(bool ok);
  void Close();
  // Tells the server that the descriptor is no longer open.
  void ReleasePlace();
  // Closes the connection once the client has all that was sent, or after
  // kLingerTimeout.
  void CloseWhenSent();
  // Whether closing the connection resets it.
  void SetResetOnClose(bool reset);
  // Delivers the last response, then closes. Reads and discards what the client
  // still sends, as unread bytes would reset the connection.
  void BeginDelivery();
  // Closes the connection once the client has had time to see the response's
  // end, or makes no progress.
  void CheckDelivery();
  void ShutDownWhenWritten();
  // Closes an idle connection, after its last response has been delivered.
  void CloseOrDeliver();
  // False while bytes are on their way to the client.
  bool IsDelivered();
  void PrepareNext();
  // Handles a pipelined request, or reads one, unless the client is behind.
  void ReadNextRequest();
  // The client has taken bytes of its responses, and nothing is being read.
  void OnIdleProgress();

  // -- Memory (server_memory.cc)

  // Charges the bytes that are read and not parsed yet.
  void ChargeBuffer();
  // Releases a large buffer that is empty.
  void ReleaseBuffer();
  // Whether memory is left for more of an incomplete head.
  bool HasRoomForHead();
  // Whether memory is left for the body, as far as its head tells.
  bool HasRoomForBody();
  bool HasRoomForBodyOf(size_t more, size_t total);
  // Makes room for what the next parsing may add to the body; false if there
  // is no memory for it.
  bool GrowBody();
  // Whether memory is left for a connection to a target.
  bool HasRoomToRun();
  void ReleaseBody();
  void BeginProgress();
  void NoteProgress(uint64_t mark);
  void NoteBodyProgress();
  void NoteUnreadResponse();
  // Whether the client must take more of its responses before another request
  // of it is handled.
  bool IsClientBehind() const;
  // Answers 503, as no memory is left or the request arrives too slowly.
  void RefuseForMemory(ShedReason reason);
  // Most pipelined bytes that are buffered during a response.
  size_t MaxReadAhead() const;
  MemoryDemand DemandFor(MemoryUse use, size_t bytes) const;
  // Memory that Shed would release; 0 if the connection is not of that kind.
  size_t SheddableBytes(ShedKind kind);
  // Time without progress.
  absl::Duration StalledFor() const;
  // Closes the connection, which is of that kind. A request that is being read
  // is refused; what an idle one has not delivered yet still is.
  void Shed(ShedKind kind);

  HttpServer& server_;
  Tcp::socket socket_;
  WriteQueue writes_;
  Timer timer_;
  State state_ = State::kIdle;
  bool reading_ = false;
  bool close_after_response_ = false;
  // The client sends nothing more, but may still read.
  bool input_ended_ = false;
  bool chunked_response_ = false;
  bool bodyless_response_ = false;
  // The response in progress has neither a length nor chunks.
  bool ends_with_connection_ = false;
  // Until an aborted connection is closed though bytes are on their way.
  int send_checks_left_ = 0;
  // While delivering: bytes acknowledged so far, and checks since the last.
  uint64_t acknowledged_bytes_ = 0;
  int checks_without_progress_ = 0;
  std::array<char, 4096> read_buffer_;
  // Bytes that are not parsed yet.
  std::string buffer_;
  struct Reader;
  std::unique_ptr<Reader> reader_;
  RequestHead request_;
  std::shared_ptr<RequestBody> body_;
  // Bytes that the body in progress has taken with its framing.
  uint64_t body_wire_bytes_ = 0;
  std::shared_ptr<ClientObserver> observer_;
  MemoryCharge charge_;
  // The event loop may hold this for longer than the server lives.
  bool server_is_alive_ = true;
  const ClientAddress address_;
  // Bytes of the body, or written bytes, at the last progress, and its time.
  uint64_t progress_mark_ = 0;
  std::chrono::steady_clock::time_point progressed_at_;
};

// Accepts connections and reads requests from them.
class HttpServer : public MemoryReclaimer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerConnection>)>;
  // Called for each refused request with its status and reason phrase.
  using FaultHandler = std::function<void(int status, const char* reason)>;

  // Without `memory`, connections and their buffers are not bounded.
  HttpServer(Loop& loop,
             Handler on_request,
             FaultHandler on_fault,
             std::shared_ptr<MemoryBudget> memory = nullptr);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the error if the address can't be bound; it may be tried again.
  boost::system::error_code Listen(const Endpoint& endpoint);
  bool listening() const { return acceptor_.is_open(); }
  // Accepts the established connections, then stops listening.
  void StopListening();
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& limits() const { return limits_; }
  // Further connections replace the one that has been idle for the longest; if
  // none is idle, they are closed at once.
  void SetMaxConnections(size_t count) { max_connections_ = count; }

  // From now on each response carries `Connection: close`.
  void StartDraining() { draining_ = true; }
  bool draining() const { return draining_; }
  // Closes idle connections; the others close after their response has been
  // delivered, and a request that is still being read is refused.
  void CloseIdle();
  // Closes all connections, whatever is on its way.
  void CloseAll();
  // Connections that are handling a request. Its response may be on its way
  // afterwards.
  size_t busy() const { return busy_; }
  // Connections that are handling a request or have not delivered a response.
  size_t CountUndelivered() const;
  size_t connections() const { return connections_.size(); }

  // MemoryReclaimer:
  void Reclaim(const MemoryDemand& demand) override;

 private:
  friend class ServerConnection;
  void Accept();
  // Serves the connection if there is a place for it.
  void Admit(Tcp::socket socket, const Endpoint& client);

  // -- Memory (server_memory.cc)

  bool HasPlace(ClientAddress address);
  // Closes connections without a request, then those whose requests arrive too
  // slowly.
  void FreePlaces(ClientAddress address);
  // Whether the places that are left beside `taken` ones are kept for addresses
  // with few connections.
  bool HasOnlySparePlaces(size_t taken) const;
  // Whether `bytes` are left for connections. The last of them are not given to
  // an address with over half of the connections.
  bool HasRoomFor(ClientAddress address, size_t bytes);
  bool HoldsMost(ClientAddress address) const;
  void NoteOpened(ClientAddress address);
  void NoteClosed(ClientAddress address);
  // Closes connections of one kind until enough is released.
  void Shed(ShedKind kind,
            absl::Duration min_stalled,
            const ShedDemand& demand);

  Loop& loop_;
  std::shared_ptr<MemoryBudget> memory_;
  Handler on_request_;
  FaultHandler on_fault_;
  Tcp::acceptor acceptor_;
  // Of the connection that is being accepted.
  Endpoint accepted_from_;
  boost::asio::steady_timer accept_retry_timer_;
  ServerLimits limits_;
  bool draining_ = false;
  bool refusing_requests_ = false;
  size_t busy_ = 0;
  size_t max_connections_ = std::numeric_limits<size_t>::max();
  // Connections whose descriptor is open.
  size_t open_ = 0;
  // Those of them that close once their last response has been delivered.
  size_t delivering_ = 0;
  absl::flat_hash_map<ClientAddress, size_t> open_by_address_;
  // When connections may be searched again for ones to close, for each kind.
  std::array<std::chrono::steady_clock::time_point, kShedKinds> next_search_;
  std::unordered_set<ServerConnection*> connections_;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SERVER_H_
