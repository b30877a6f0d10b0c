#ifndef UMBERTRAIL_PEER_SOCKET_H_
#define UMBERTRAIL_PEER_SOCKET_H_

#include <sys/socket.h>

#include <optional>
#include <string>
#include <utility>

// Small wrappers over the socket calls that links use.

namespace umbertrail::peer::detail {

// Owns a file descriptor.
class ScopedFd {
 public:
  ScopedFd() = default;
  explicit ScopedFd(int fd) : fd_(fd) {}
  ScopedFd(ScopedFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ScopedFd& operator=(ScopedFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~ScopedFd();

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// Reads "IP:port" or "[IP]:port"; nothing when malformed.
std::optional<SocketAddress> ParseAddress(const std::string& text);
std::string FormatAddress(const SocketAddress& address);

// Begins a non-blocking connect; an invalid descriptor when it fails at once.
ScopedFd BeginConnect(const SocketAddress& address);

// The pending error of a socket, 0 when there is none.
int PendingError(int fd);

// Sets what every link wants: non-blocking, no delay.
void PrepareLinkSocket(int fd);

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_SOCKET_H_
