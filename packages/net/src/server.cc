#include "umbertrail/net/server.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "server_reader.h"

namespace umbertrail::net {
namespace {

// A client that acknowledges no bytes for this long is considered gone.
constexpr absl::Duration kClientAckTimeout = absl::Seconds(6);
// How long a connection whose last response has been delivered waits for the
// client to close, and an aborted one for the client to read the rest.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);
constexpr absl::Duration kDeliveryCheckInterval = absl::Milliseconds(100);
// How often an aborted connection is checked for bytes on their way.
constexpr absl::Duration kSendCheckInterval = absl::Milliseconds(2);
// Delay before accepting again when file descriptors have run out.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);

}  // namespace

ServerConnection::ServerConnection(HttpServer& server,
                                   Tcp::socket socket,
                                   ClientAddress address)
    : server_(server),
      socket_(std::move(socket)),
      writes_(
          socket_,
          [this](bool ok) { OnWritten(ok); },
          server.memory_,
          MemoryUse::kResponses),
      timer_(server.loop_),
      charge_(server.memory_, MemoryUse::kConnections),
      address_(address) {
  server_.connections_.insert(this);
  server_.NoteOpened(address_);
  ChargeBuffer();
}

ServerConnection::~ServerConnection() {
  if (server_is_alive_) {
    server_.connections_.erase(this);
    if (state_ != State::kClosed) {
      server_.NoteClosed(address_);
    }
  }
}

void ServerConnection::Start() {
  SetTcpOptions(socket_, kClientAckTimeout);
  PrepareNext();
  ReadMore();
}

void ServerConnection::PrepareNext() {
  body_ = std::make_shared<RequestBody>(server_.memory_);
  reader_ = std::make_unique<Reader>(body_->bytes);
  reader_->message.header_limit(
      static_cast<uint32_t>(server_.limits_.max_header_bytes));
  reader_->message.body_limit(
      static_cast<uint64_t>(server_.limits_.max_body_bytes));
  request_ = {};
  observer_.reset();
  state_ = State::kIdle;
  NoteProgress(0);  // Idle since now.
  BeginProgress();
  ReleaseBuffer();
  timer_.Set(server_.limits_.idle_timeout, shared_from_this(),
             &ServerConnection::OnTimer);
}

void ServerConnection::ReadMore() {
  if (reading_ || input_ended_ || state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kResponding && buffer_.size() >= MaxReadAhead()) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t bytes) {
        self->reading_ = false;
        self->buffer_.append(self->read_buffer_.data(), bytes);
        self->ChargeBuffer();
        self->OnRead(error, bytes);
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error,
                              size_t bytes) {
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  if (state_ == State::kDelivering) {
    buffer_.clear();
    ReadMore();
    return;
  }
  if (state_ == State::kReadingBody && bytes > 0) {
    timer_.Set(server_.limits_.header_timeout, shared_from_this(),
               &ServerConnection::OnTimer);
  }
  if (state_ != State::kResponding) {
    Parse();
  }
  ReadMore();
}

void ServerConnection::OnReadError(const boost::system::error_code& error) {
  if (state_ == State::kResponding) {
    if (const auto observer = observer_) {
      Close();
      observer->OnClientGone();
      return;
    }
  }
  const bool response_complete =
      state_ == State::kIdle || state_ == State::kDelivering;
  if (error == boost::asio::error::eof && response_complete &&
      writes_.pending_bytes() > 0) {
    input_ended_ = true;
    if (state_ == State::kIdle) {
      BeginDelivery();
    }
    return;
  }
  Close();
}

void ServerConnection::Parse() {
  if (buffer_.empty()) {
    return;
  }
  if (state_ == State::kIdle) {
    state_ = State::kReadingHead;
    timer_.Set(server_.limits_.header_timeout, shared_from_this(),
               &ServerConnection::OnTimer);
  }
  if (state_ == State::kReadingBody && !GrowBody()) {
    RefuseForMemory(ShedReason::kNoMemory);
    return;
  }
  boost::beast::error_code error;
  const size_t consumed = reader_->message.Feed(buffer_, error);
  buffer_.erase(0, consumed);
  namespace http = boost::beast::http;
  if (error == http::error::header_limit) {
    Refuse(431, "Request Header Fields Too Large");
    return;
  }
  if (error == http::error::body_limit) {
    Refuse(413, "Content Too Large");
    return;
  }
  if (error) {
    Refuse(400, "Bad Request");
    return;
  }
  if (state_ == State::kReadingHead && reader_->message.is_header_done()) {
    request_ = std::move(reader_->message.request());
    if (FramingError() != nullptr) {
      Refuse(400, "Bad Request");
      return;
    }
    state_ = State::kReadingBody;
    if (!HasRoomForBody()) {
      RefuseForMemory(ShedReason::kNoMemory);
      return;
    }
    if (const std::string* expect = request_.headers.Find("Expect")) {
      if (absl::EqualsIgnoreCase(*expect, "100-continue")) {
        writes_.Push("HTTP/1.1 100 Continue\r\n\r\n", shared_from_this());
      }
    }
  }
  if (reader_->message.is_done()) {
    OnRequestRead();
  } else if (state_ == State::kReadingBody) {
    NoteBodyProgress();
  } else if (!HasRoomForHead()) {
    RefuseForMemory(ShedReason::kNoMemory);
  }
}

const char* ServerConnection::FramingError() const {
  const Headers& headers = request_.headers;
  const int codings = headers.Count("Transfer-Encoding");
  if (codings > 1) {
    return "multiple Transfer-Encoding headers";
  }
  if (codings == 1) {
    const std::string* coding = headers.Find("Transfer-Encoding");
    if (!absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(*coding),
                                "chunked")) {
      return "unsupported transfer coding";
    }
    if (request_.version < 11) {
      return "chunked coding requires HTTP/1.1";
    }
  }
  if (headers.Count("Content-Length") > 1 ||
      (codings == 1 && headers.Count("Content-Length") == 1)) {
    return "multiple body lengths";
  }
  if (headers.Count("Host") > 1) {
    return "multiple Host headers";
  }
  for (const HeaderField& field : headers.fields()) {
    if (field.value.find_first_of("\r\n\0", 0, 3) != std::string::npos) {
      return "control character in a header value";
    }
  }
  return nullptr;
}

void ServerConnection::OnRequestRead() {
  state_ = State::kResponding;
  timer_.Cancel();
  close_after_response_ = !reader_->message.keep_alive();
  if (server_.refusing_requests_) {
    Refuse(503, "Service Unavailable");
    return;
  }
  BeginProgress();
  if (!HasRoomToRun()) {
    RefuseForMemory(ShedReason::kNoMemory);
    return;
  }
  ++server_.busy_;
  server_.on_request_(shared_from_this());
}

void ServerConnection::Refuse(int status, const char* reason) {
  server_.on_fault_(status, reason);
  ResponseHead head;
  head.status = status;
  head.reason = reason;
  SendRefusal(std::move(head));
}

void ServerConnection::SendRefusal(ResponseHead head) {
  state_ = State::kResponding;
  ++server_.busy_;
  close_after_response_ = true;
  ReleaseBody();
  Respond(std::move(head), "");
}

void ServerConnection::Watch(std::shared_ptr<ClientObserver> observer) {
  observer_ = std::move(observer);
}

void ServerConnection::Respond(ResponseHead head, absl::string_view body) {
  head.length = body.size();
  BeginResponse(std::move(head));
  SendBody(body);
  FinishResponse();
}

void ServerConnection::BeginResponse(ResponseHead head) {
  if (state_ != State::kResponding) {
    return;
  }
  close_after_response_ = close_after_response_ || server_.draining_;
  bodyless_response_ =
      request_.method == "HEAD" || head.status == 204 || head.status == 304;
  chunked_response_ =
      !head.length && !bodyless_response_ && request_.version >= 11;
  if (!head.length && !chunked_response_) {
    close_after_response_ = true;
    // Only a reset shows the client that its response was cut, also when this
    // process ends within it.
    ends_with_connection_ = !bodyless_response_;
    SetResetOnClose(ends_with_connection_);
  }
  writes_.Push(
      WriteResponseHead(head, chunked_response_, close_after_response_),
      shared_from_this());
}

void ServerConnection::SendBody(absl::string_view bytes) {
  if (state_ != State::kResponding || bytes.empty() || bodyless_response_) {
    return;
  }
  writes_.Push(chunked_response_ ? absl::StrCat(absl::Hex(bytes.size()), "\r\n",
                                                bytes, "\r\n")
                                 : std::string{bytes},
               shared_from_this());
  NoteUnreadResponse();
}

void ServerConnection::FinishResponse() {
  if (state_ != State::kResponding) {
    return;
  }
  if (chunked_response_) {
    writes_.Push("0\r\n\r\n", shared_from_this());
  }
  chunked_response_ = false;
  if (ends_with_connection_) {
    ends_with_connection_ = false;
    SetResetOnClose(false);
  }
  --server_.busy_;
  if (close_after_response_ || server_.refusing_requests_) {
    BeginDelivery();
    return;
  }
  PrepareNext();
  // A pipelined request is parsed in a separate event loop turn.
  if (!buffer_.empty()) {
    boost::asio::post(server_.loop_, [self = shared_from_this()] {
      if (self->state_ == State::kIdle) {
        self->Parse();
      }
      self->ReadMore();
    });
  } else {
    ReadMore();
  }
}

void ServerConnection::Abort() {
  observer_.reset();
  if (state_ == State::kResponding && ends_with_connection_) {
    send_checks_left_ = static_cast<int>(kLingerTimeout / kSendCheckInterval);
    CloseWhenSent();
    return;
  }
  Close();
}

size_t ServerConnection::UnacknowledgedBytes() {
  int bytes = 0;
  const bool known = ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known ? static_cast<size_t>(bytes) : 0;
}

bool ServerConnection::IsDelivered() {
  return writes_.pending_bytes() == 0 && UnacknowledgedBytes() == 0;
}

void ServerConnection::CloseWhenSent() {
  if (IsDelivered() || send_checks_left_-- == 0) {
    Close();
    return;
  }
  timer_.Set(kSendCheckInterval, shared_from_this(),
             &ServerConnection::CloseWhenSent);
}

void ServerConnection::SetResetOnClose(bool reset) {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(reset, 0), ignored);
}

void ServerConnection::BeginDelivery() {
  state_ = State::kDelivering;
  observer_.reset();
  buffer_.clear();
  ReleaseBody();
  acknowledged_bytes_ = 0;
  checks_without_progress_ = 0;
  ShutDownWhenWritten();
  CheckDelivery();
  ReadMore();
}

void ServerConnection::ShutDownWhenWritten() {
  if (writes_.pending_bytes() == 0) {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
}

void ServerConnection::CheckDelivery() {
  const uint64_t acknowledged =
      writes_.written_bytes() -
      std::min<uint64_t>(writes_.written_bytes(), UnacknowledgedBytes());
  if (acknowledged != acknowledged_bytes_) {
    acknowledged_bytes_ = acknowledged;
    checks_without_progress_ = 0;
  }
  const bool delivered = IsDelivered();
  const absl::Duration limit = delivered ? kLingerTimeout : kClientAckTimeout;
  if ((delivered && input_ended_) ||
      kDeliveryCheckInterval * checks_without_progress_ >= limit) {
    Close();
    return;
  }
  ++checks_without_progress_;
  timer_.Set(kDeliveryCheckInterval, shared_from_this(),
             &ServerConnection::CheckDelivery);
}

void ServerConnection::OnWritten(bool ok) {
  if (state_ == State::kClosed) {
    return;
  }
  if (!ok) {
    OnReadError({});
    return;
  }
  if (state_ == State::kDelivering) {
    ShutDownWhenWritten();
    return;
  }
  if (state_ == State::kResponding) {
    if (const auto observer = observer_) {
      observer->OnClientProgress();
    }
  }
}

void ServerConnection::OnTimer() {
  if (state_ == State::kReadingHead || state_ == State::kReadingBody) {
    Refuse(408, "Request Timeout");
    return;
  }
  if (state_ == State::kIdle) {
    CloseOrDeliver();
  }
}

void ServerConnection::CloseOrDeliver() {
  if (IsDelivered()) {
    Close();
  } else {
    BeginDelivery();
  }
}

void ServerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kResponding) {
    --server_.busy_;
  }
  state_ = State::kClosed;
  server_.NoteClosed(address_);
  observer_.reset();
  timer_.Cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

HttpServer::HttpServer(Loop& loop,
                       Handler on_request,
                       FaultHandler on_fault,
                       std::shared_ptr<MemoryBudget> memory)
    : loop_(loop),
      memory_(memory == nullptr ? std::make_shared<MemoryBudget>()
                                : std::move(memory)),
      on_request_(std::move(on_request)),
      on_fault_(std::move(on_fault)),
      acceptor_(loop),
      accept_retry_timer_(loop) {
  memory_->Add(this);
}

HttpServer::~HttpServer() {
  CloseAll();
  for (ServerConnection* connection : connections_) {
    connection->server_is_alive_ = false;
  }
  memory_->Remove(this);
}

boost::system::error_code HttpServer::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return error;
  }
  Accept();
  return {};
}

void HttpServer::StopListening() {
  if (!acceptor_.is_open()) {
    return;
  }
  // Connections that the kernel has established are still served.
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(loop_);
    Endpoint client;
    acceptor_.accept(socket, client, error);
    if (!error) {
      Admit(std::move(socket), client);
    }
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::Accept() {
  acceptor_.async_accept(
      accepted_from_,
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (!error) {
          Admit(std::move(socket), accepted_from_);
          Accept();
          return;
        }
        accept_retry_timer_.expires_after(ToChrono(kAcceptRetryDelay));
        accept_retry_timer_.async_wait(
            [this](const boost::system::error_code& stopped) {
              if (!stopped && acceptor_.is_open()) {
                Accept();
              }
            });
      });
}

void HttpServer::Admit(Tcp::socket socket, const Endpoint& client) {
  const ClientAddress address = client.address().to_v4().to_uint();
  if (!HasPlace(address)) {
    memory_->NoteShed(ShedReason::kNewConnection);
    return;
  }
  std::make_shared<ServerConnection>(*this, std::move(socket), address)
      ->Start();
}

void HttpServer::CloseIdle() {
  refusing_requests_ = true;
  const std::vector<ServerConnection*> all(connections_.begin(),
                                           connections_.end());
  for (ServerConnection* connection : all) {
    if (connection->state_ == ServerConnection::State::kIdle) {
      connection->CloseOrDeliver();
    }
  }
}

size_t HttpServer::CountUndelivered() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](ServerConnection* connection) {
        return connection->state_ == ServerConnection::State::kResponding ||
               (connection->state_ != ServerConnection::State::kClosed &&
                !connection->IsDelivered());
      }));
}

void HttpServer::CloseAll() {
  const std::vector<ServerConnection*> all(connections_.begin(),
                                           connections_.end());
  for (ServerConnection* connection : all) {
    connection->Close();
  }
}

}  // namespace umbertrail::net
