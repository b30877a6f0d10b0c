#ifndef UMBERTRAIL_TESTS_DAEMON_RAW_CLIENT_H_
#define UMBERTRAIL_TESTS_DAEMON_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace umbertrail::daemon {

// A TCP connection to "127.0.0.1:port" that sends any bytes.
class RawClient {
 public:
  explicit RawClient(const std::string& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_port = htons(static_cast<uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1))));
    inet_pton(AF_INET, "127.0.0.1", &in.sin_addr);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) != 0) {
      Close();
    }
    const timeval patience{30, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) {
    size_t off = 0;
    while (off < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + off, bytes.size() - off, MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      off += static_cast<size_t>(n);
    }
  }
  // Ends sending; what comes can still be read.
  void EndSending() { shutdown(fd_, SHUT_WR); }

  // Whether something can be read; waits a moment for it.
  bool HasAnswer() const {
    constexpr int kWaitMs = 10;
    pollfd waiting{fd_, POLLIN, 0};
    return poll(&waiting, 1, kWaitMs) > 0;
  }
  // What came, at most `n` bytes; empty at the end.
  std::string Read(size_t n = 65536) {
    std::string buf(n, '\0');
    const ssize_t got = recv(fd_, buf.data(), n, 0);
    buf.resize(got > 0 ? static_cast<size_t>(got) : 0);
    return buf;
  }
  // Everything until the server closes.
  std::string ReadAll() {
    std::string all;
    for (std::string part = Read(); !part.empty(); part = Read()) {
      all += part;
    }
    return all;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  int fd_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_TESTS_DAEMON_RAW_CLIENT_H_
