#include "umbertrail/net/server.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "server_reader.h"

// Sending of responses, and the end of connections.

namespace umbertrail::net {
namespace {

// A client that acknowledges no bytes of its last response for this long is
// considered gone.
constexpr absl::Duration kDeliveryTimeout = absl::Seconds(6);
// How long a connection whose last response has been delivered waits for the
// client to close, and an aborted one for the client to read the rest.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);
constexpr absl::Duration kDeliveryCheckInterval = absl::Milliseconds(100);
// How often an aborted connection is checked for bytes on their way.
constexpr absl::Duration kSendCheckInterval = absl::Milliseconds(2);

}  // namespace

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
  ReadNextRequest();
}

void ServerConnection::ReadNextRequest() {
  if (IsClientBehind()) {
    return;  // OnWritten calls again.
  }
  if (buffer_.empty()) {
    ReadMore();
    return;
  }
  // A pipelined request is parsed in a separate event loop turn.
  boost::asio::post(server_.loop_, [self = shared_from_this()] {
    if (self->state_ == State::kIdle && !self->IsClientBehind()) {
      self->Parse();
    }
    self->ReadMore();
  });
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

bool ServerConnection::IsDelivered() {
  return writes_.pending_bytes() == 0 && UnacknowledgedBytes(socket_) == 0;
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
  ++server_.delivering_;
  observer_.reset();
  buffer_.clear();
  ReleaseBuffer();
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
      std::min<uint64_t>(writes_.written_bytes(), UnacknowledgedBytes(socket_));
  if (acknowledged != acknowledged_bytes_) {
    acknowledged_bytes_ = acknowledged;
    checks_without_progress_ = 0;
  }
  const bool delivered = IsDelivered();
  const absl::Duration limit = delivered ? kLingerTimeout : kDeliveryTimeout;
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
  if (state_ == State::kIdle) {
    OnIdleProgress();
    return;
  }
  if (state_ == State::kResponding) {
    if (const auto observer = observer_) {
      observer->OnClientProgress();
    }
  }
}

void ServerConnection::OnIdleProgress() {
  if (!buffer_.empty()) {
    // A client with pipelined requests is not idle.
    timer_.Set(server_.limits_.idle_timeout, shared_from_this(),
               &ServerConnection::OnTimer);
  }
  ReadNextRequest();
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
  ReleasePlace();
  state_ = State::kClosed;
  observer_.reset();
  timer_.Cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace umbertrail::net
