#include "umbertrail/net/client.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "parser.h"

namespace umbertrail::net {
namespace {

// Idle timeout for servers that state none.
constexpr absl::Duration kDefaultIdle = absl::Seconds(4);
// Fraction of the stated idle timeout for which a connection is reused.
constexpr double kIdleFraction = 0.7;
// Interim responses (status 1xx) accepted before the final one.
constexpr int kMaxInterimResponses = 16;
// Memory of a connection with its parser and its read buffer, which hold at
// most one read beyond a line of the response.
constexpr size_t kConnectionBytes = 12288;

// Seconds of "timeout=5, max=100"; negative if absent.
double KeepAliveTimeout(absl::string_view keep_alive) {
  for (absl::string_view part : absl::StrSplit(keep_alive, ',')) {
    part = absl::StripAsciiWhitespace(part);
    double seconds = 0;
    if (absl::StartsWithIgnoreCase(part, "timeout=") &&
        absl::SimpleAtod(part.substr(8), &seconds)) {
      return seconds;
    }
  }
  return -1;
}

}  // namespace

absl::string_view NameOf(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotConnected:
      return "not_connected";
    case CallFailure::kNoAnswer:
      return "no_answer";
    case CallFailure::kBrokenOff:
      return "broken_off";
    case CallFailure::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

struct ClientConnection::Reader {
  explicit Reader(ClientConnection& owner)
      : message([&owner](absl::string_view bytes) {
          owner.DeliverHead();
          if (auto listener = owner.listener_.lock()) {
            listener->OnBody(bytes);
          }
        }) {
    message.body_limit(kUnboundedBody);
  }
  MessageReader<false> message;
};

ClientConnection::ClientConnection(Loop& loop,
                                   std::shared_ptr<MemoryBudget> memory)
    : loop_(loop),
      socket_(loop),
      charge_(memory, MemoryUse::kConnections),
      writes_(
          socket_,
          [this](bool ok) { OnWritten(ok); },
          std::move(memory),
          MemoryUse::kConnections),
      timer_(loop) {
  charge_.Set(kConnectionBytes);
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::Call(const Endpoint& endpoint,
                            absl::Duration connect_timeout,
                            absl::Duration peer_timeout,
                            std::string head,
                            std::shared_ptr<const std::string> body,
                            bool response_has_no_body,
                            std::weak_ptr<ResponseListener> listener) {
  head_ = std::move(head);
  body_ = std::move(body);
  response_has_no_body_ = response_has_no_body;
  listener_ = std::move(listener);
  reader_ = std::make_unique<Reader>(*this);
  reader_->message.skip(response_has_no_body_);
  sent_ = head_delivered_ = response_started_ = extra_bytes_ = reading_paused_ =
      false;
  buffer_.clear();
  interim_responses_ = 0;
  idle_limit_ = kDefaultIdle;
  timer_.Cancel();
  if (state_ == State::kIdle) {
    state_ = State::kCalling;
    Send();
    ReadMore();
    return;
  }
  Connect(endpoint, connect_timeout, peer_timeout);
}

void ClientConnection::Open(const Endpoint& endpoint,
                            absl::Duration connect_timeout,
                            absl::Duration peer_timeout,
                            std::function<void(bool connected)> done) {
  on_opened_ = std::move(done);
  idle_limit_ = kDefaultIdle;
  Connect(endpoint, connect_timeout, peer_timeout);
}

void ClientConnection::Connect(const Endpoint& endpoint,
                               absl::Duration connect_timeout,
                               absl::Duration peer_timeout) {
  state_ = State::kConnecting;
  endpoint_ = endpoint;
  timer_.Set(connect_timeout, shared_from_this(),
             &ClientConnection::OnConnectTimeout);
  socket_.async_connect(endpoint, [self = shared_from_this(), peer_timeout](
                                      const boost::system::error_code& error) {
    if (self->state_ != State::kConnecting) {
      return;
    }
    if (error) {
      self->Fail(CallFailure::kNotConnected);
      return;
    }
    SetTcpOptions(self->socket_, peer_timeout);
    self->OnConnected();
  });
}

void ClientConnection::OnConnectTimeout() {
  Fail(CallFailure::kNotConnected);
}

void ClientConnection::OnConnected() {
  timer_.Cancel();
  if (const auto done = std::exchange(on_opened_, nullptr)) {
    BecomeIdle();
    done(true);
    return;
  }
  state_ = State::kCalling;
  Send();
  ReadMore();
}

void ClientConnection::BecomeIdle() {
  state_ = State::kIdle;
  reading_paused_ = false;
  timer_.Set(idle_limit_, shared_from_this(), &ClientConnection::Close);
  ReadMore();  // Detects that the peer closes.
}

void ClientConnection::Send() {
  sent_ = true;
  writes_.PushWithShared(std::exchange(head_, {}), std::exchange(body_, {}),
                         shared_from_this());
}

void ClientConnection::ReadMore() {
  if (reading_ || reading_paused_ || state_ == State::kClosed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t bytes) {
        self->reading_ = false;
        self->buffer_.append(self->read_buffer_.data(), bytes);
        self->OnRead(error);
      });
}

void ClientConnection::OnRead(const boost::system::error_code& error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ != State::kCalling) {
    closed_by_peer_ = true;  // Or it sent unsolicited bytes.
    Close();
    return;
  }
  if (error) {
    if (error == boost::asio::error::eof && head_delivered_ &&
        reader_->message.need_eof() && !response_has_no_body_ &&
        RequestDelivered()) {
      boost::beast::error_code end;
      reader_->message.put_eof(end);
      if (!end && reader_->message.is_done()) {
        EndCall();
        return;
      }
    }
    Fail(response_started_ ? CallFailure::kBrokenOff : CallFailure::kNoAnswer);
    return;
  }
  response_started_ = true;
  boost::beast::error_code fault;
  const auto self = shared_from_this();
  buffer_.erase(0, reader_->message.Feed(buffer_, fault));
  if (state_ != State::kCalling) {
    return;  // Closed by the listener.
  }
  if (fault) {
    Fail(CallFailure::kUnreadable);
    return;
  }
  DeliverHead();
  if (state_ != State::kCalling) {
    return;
  }
  if (reader_->message.is_done()) {
    if (reader_->message.response().status / 100 == 1) {
      OnInterimResponse();
      return;
    }
    extra_bytes_ = !buffer_.empty();  // Not reusable after extra bytes.
    EndCall();
    return;
  }
  ReadMore();
}

// The final response follows and may be partly buffered.
void ClientConnection::OnInterimResponse() {
  if (++interim_responses_ > kMaxInterimResponses) {
    Fail(CallFailure::kUnreadable);
    return;
  }
  reader_ = std::make_unique<Reader>(*this);
  reader_->message.skip(response_has_no_body_);
  head_delivered_ = false;
  if (buffer_.empty()) {
    ReadMore();
  } else {
    OnRead({});
  }
}

void ClientConnection::DeliverHead() {
  if (head_delivered_ || !reader_->message.is_header_done() ||
      reader_->message.response().status / 100 == 1) {
    return;
  }
  head_delivered_ = true;
  ResponseHead& head = reader_->message.response();
  if (auto length = reader_->message.content_length()) {
    head.length = *length;
  }
  head.ends_with_connection = reader_->message.need_eof();
  head.keep_alive = reader_->message.keep_alive();
  UpdateIdleLimit(head);
  if (auto listener = listener_.lock()) {
    listener->OnHead(head);
  }
}

void ClientConnection::UpdateIdleLimit(const ResponseHead& head) {
  if (const std::string* text = head.headers.Find("Keep-Alive")) {
    const double seconds = KeepAliveTimeout(*text);
    if (seconds >= 0) {
      idle_limit_ = absl::Seconds(seconds * kIdleFraction);
    }
  }
}

void ClientConnection::EndCall() {
  const bool usable = !extra_bytes_ && reader_->message.keep_alive() &&
                      !reader_->message.need_eof() && RequestDelivered() &&
                      idle_limit_ > absl::ZeroDuration();
  auto listener = listener_.lock();
  listener_.reset();
  if (usable) {
    BecomeIdle();
  } else {
    Close();
  }
  if (listener) {
    listener->OnEnd();
  }
}

void ClientConnection::SetReadingPaused(bool paused) {
  reading_paused_ = paused;
  if (!paused && state_ == State::kCalling) {
    ReadMore();
  }
}

// Whether all bytes of the request have reached the peer's system. Until then
// a read of 0 isn't the end of the response, and the connection can't take
// another request:
// - After a reset, Linux reports ECONNRESET (EPIPE if the end of the stream
//   came before it) once, to whichever of read and write asks first. Later
//   reads get 0 and later writes EPIPE. So a read may return 0 after a write
//   that failed, and before the failure is known here.
// - A peer that closes with unread bytes sends a reset at once. One that closes
//   while it happens to have none sends the end of the stream, and the reset
//   only for the bytes that arrive later; the read then returns 0 and no error,
//   as the end of the stream came first. A process that crashes does either.
// Bytes that came before the reset are read first in both cases on Linux. Other
// systems may drop them, or report another error; nothing here depends on it.
bool ClientConnection::RequestDelivered() {
  return !write_failed_ && writes_.pending_bytes() == 0 &&
         UnacknowledgedBytes(socket_) == 0;
}

void ClientConnection::OnWritten(bool ok) {
  // The peer's last bytes are still to be read.
  write_failed_ = write_failed_ || !ok;
}

void ClientConnection::Fail(CallFailure failure) {
  auto listener = listener_.lock();
  const auto opened = std::exchange(on_opened_, nullptr);
  Close();
  if (listener) {
    listener->OnFailure(failure);
  }
  if (opened) {
    opened(false);
  }
}

void ClientConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  listener_.reset();
  on_opened_ = nullptr;
  timer_.Cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

bool ClientConnection::Reusable() const {
  return state_ == State::kIdle;
}

}  // namespace umbertrail::net
