#include "socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "umbertrail/peer/peer_links.h"

namespace umbertrail::peer {
namespace detail {
namespace {

constexpr uint32_t kMaxPort = 65535;

}  // namespace

ScopedFd::~ScopedFd() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::optional<SocketAddress> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > kMaxPort) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  SocketAddress address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* in6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(static_cast<uint16_t>(port));
    address.length = sizeof(*in6);
    if (inet_pton(AF_INET6, host.c_str(), &in6->sin6_addr) != 1) {
      return std::nullopt;
    }
    return address;
  }
  auto* in4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  in4->sin_family = AF_INET;
  in4->sin_port = htons(static_cast<uint16_t>(port));
  address.length = sizeof(*in4);
  if (inet_pton(AF_INET, host.c_str(), &in4->sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string FormatAddress(const SocketAddress& address) {
  char buf[INET6_ADDRSTRLEN] = {};
  if (address.storage.ss_family == AF_INET6) {
    const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
    inet_ntop(AF_INET6, &in6->sin6_addr, buf, sizeof(buf));
    return absl::StrCat("[", buf, "]:", ntohs(in6->sin6_port));
  }
  const auto* in4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
  inet_ntop(AF_INET, &in4->sin_addr, buf, sizeof(buf));
  return absl::StrCat(buf, ":", ntohs(in4->sin_port));
}

ScopedFd BeginConnect(const SocketAddress& address) {
  ScopedFd fd(socket(address.storage.ss_family,
                     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) {
    return fd;
  }
  PrepareLinkSocket(fd.get());
  const int rc =
      connect(fd.get(), reinterpret_cast<const sockaddr*>(&address.storage),
              address.length);
  if (rc != 0 && errno != EINPROGRESS) {
    return ScopedFd();
  }
  return fd;
}

int PendingError(int fd) {
  int error = 0;
  socklen_t n = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0) {
    return errno;
  }
  return error;
}

void PrepareLinkSocket(int fd) {
  const int on = 1;
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace detail

namespace {

Error CannotBind(const std::string& address) {
  return Error{
      ErrorCode::kUnavailable,
      absl::StrCat("cannot listen on ", address, ": ", std::strerror(errno))};
}

}  // namespace

Result<Listener> Listener::Bind(const std::string& address) {
  const auto parsed = detail::ParseAddress(address);
  if (!parsed.has_value()) {
    return Error{ErrorCode::kInvalidArgument,
                 absl::StrCat("not an IP:port address: ", address)};
  }
  const int fd = socket(parsed->storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return CannotBind(address);
  }
  Listener listener(fd, address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&parsed->storage),
           parsed->length) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    return CannotBind(address);
  }
  detail::SocketAddress bound;
  bound.length = sizeof(bound.storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&bound.storage),
                  &bound.length) != 0) {
    return CannotBind(address);
  }
  listener.address_ = detail::FormatAddress(bound);
  return listener;
}

Listener::Listener(int fd, std::string address)
    : fd_(fd), address_(std::move(address)) {}

Listener::Listener(Listener&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), address_(std::move(other.address_)) {}

Listener& Listener::operator=(Listener&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(address_, other.address_);
  return *this;
}

Listener::~Listener() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

}  // namespace umbertrail::peer
