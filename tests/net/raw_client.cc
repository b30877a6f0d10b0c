#include "net/raw_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "absl/strings/numbers.h"

namespace umbertrail::testing {
namespace {

constexpr size_t kReadSize = 65536;

}  // namespace

RawClient::RawClient(const std::string& address,
                     int receive_buffer,
                     const std::string& source) {
  const size_t colon = address.find(':');
  int port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port)) {
    std::abort();
  }
  socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
  if (receive_buffer > 0) {
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  if (!source.empty()) {
    sockaddr_in from{};
    from.sin_family = AF_INET;
    ::inet_pton(AF_INET, source.c_str(), &from.sin_addr);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&from), sizeof(from)) !=
        0) {
      std::abort();
    }
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  if (::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    Close();
  }
}

RawClient::~RawClient() {
  Close();
}

void RawClient::Close() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
  socket_ = -1;
}

void RawClient::CloseSending() {
  ::shutdown(socket_, SHUT_WR);
}

void RawClient::SetReadLimit(absl::Duration limit) {
  const timeval time = absl::ToTimeval(limit);
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

void RawClient::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(socket_, &bytes[sent], bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    sent += static_cast<size_t>(n);
  }
}

bool RawClient::ReadSome() {
  std::string arrived(kReadSize, '\0');
  const ssize_t n = ::recv(socket_, arrived.data(), arrived.size(), 0);
  if (n <= 0) {
    was_reset_ = n < 0 && errno == ECONNRESET;
    return false;
  }
  buffer_.append(arrived, 0, static_cast<size_t>(n));
  return true;
}

std::string RawClient::ReadUntil(const std::string& mark) {
  size_t at = buffer_.find(mark);
  while (at == std::string::npos && ReadSome()) {
    at = buffer_.find(mark);
  }
  const size_t end =
      at == std::string::npos ? buffer_.size() : at + mark.size();
  std::string read = buffer_.substr(0, end);
  buffer_.erase(0, end);
  return read;
}

std::string RawClient::ReadToEnd() {
  while (ReadSome()) {
  }
  std::string read;
  read.swap(buffer_);
  return read;
}

std::string RawClient::ReadAnswer() {
  std::string response = ReadUntil("\r\n\r\n");
  if (response.find("chunked") != std::string::npos) {
    return response + ReadUntil("0\r\n\r\n");
  }
  const std::string field = "Content-Length: ";
  const size_t at = response.find(field);
  size_t length = 0;
  if (at != std::string::npos) {
    const std::string rest = response.substr(at + field.size());
    static_cast<void>(
        absl::SimpleAtoi(rest.substr(0, rest.find('\r')), &length));
  }
  while (buffer_.size() < length && ReadSome()) {
  }
  response += buffer_.substr(0, length);
  buffer_.erase(0, length);
  return response;
}

}  // namespace umbertrail::testing
