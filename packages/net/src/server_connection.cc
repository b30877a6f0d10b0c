#include "umbertrail/net/server.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "server_reader.h"

// Reading of requests.

namespace umbertrail::net {
namespace {

// A client that acknowledges no bytes for this long is considered gone.
constexpr absl::Duration kClientAckTimeout = absl::Seconds(6);
// A one-byte chunk takes 6 bytes, and 13 if its size is written in eight
// digits.
constexpr uint64_t kWireBytesPerBodyByte = 17;

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
      ReleasePlace();
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
  body_wire_bytes_ = 0;
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
  if (state_ == State::kIdle && IsClientBehind()) {
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
        self->OnRead(error);
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error) {
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
    LimitReading();
  }
  if (state_ == State::kReadingBody && !GrowBody()) {
    RefuseForMemory(ShedReason::kNoMemory);
    return;
  }
  boost::beast::error_code error;
  const size_t consumed = reader_->message.Feed(buffer_, error);
  buffer_.erase(0, consumed);
  if (state_ == State::kReadingBody) {
    NoteBodyRead(consumed);
  }
  namespace http = boost::beast::http;
  if (error == http::error::header_limit) {
    Refuse(431, "Request Header Fields Too Large");
    return;
  }
  if (error == http::error::body_limit || HasTooMuchFraming()) {
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
    if (!reader_->message.is_done()) {
      LimitReading();
    }
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

void ServerConnection::NoteBodyRead(size_t bytes) {
  body_wire_bytes_ += bytes;
  if (bytes > 0) {
    LimitReading();
  }
}

void ServerConnection::LimitReading() {
  timer_.Set(server_.limits_.header_timeout, shared_from_this(),
             &ServerConnection::OnTimer);
}

bool ServerConnection::HasTooMuchFraming() const {
  return body_wire_bytes_ > server_.limits_.max_framing_bytes +
                                kWireBytesPerBodyByte * body_->bytes.size();
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

}  // namespace umbertrail::net
