#include "transport.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <utility>

#include <openssl/err.h>

#include "absl/strings/str_cat.h"

namespace umbertrail::daemon::detail {
namespace {

class PlainTransport : public Transport {
 public:
  explicit PlainTransport(int fd) : fd_(fd) {}

  ssize_t Read(char* buf, size_t n, absl::Time deadline) override {
    while (true) {
      const ssize_t moved = recv(fd_, buf, n, MSG_DONTWAIT);
      if (moved >= 0 || !Retry(POLLIN, deadline)) {
        return moved;
      }
    }
  }
  ssize_t Write(const char* buf, size_t n, absl::Time deadline) override {
    while (true) {
      const ssize_t moved = send(fd_, buf, n, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (moved >= 0 || !Retry(POLLOUT, deadline)) {
        return moved;
      }
    }
  }

 private:
  bool Retry(short events, absl::Time deadline) const {
    return errno == EINTR ||
           (errno == EAGAIN && AwaitSocket(fd_, events, deadline));
  }

  int fd_;
};

struct SslDeleter {
  void operator()(SSL* ssl) const { SSL_free(ssl); }
};

class TlsTransport : public Transport {
 public:
  TlsTransport(SSL_CTX* context, int fd) : fd_(fd), ssl_(SSL_new(context)) {
    SSL_set_fd(ssl_.get(), fd);
  }
  ~TlsTransport() override { SSL_shutdown(ssl_.get()); }

  bool Accept(absl::Time deadline) {
    return Repeat([this] { return SSL_accept(ssl_.get()); }, deadline) > 0;
  }
  ssize_t Read(char* buf, size_t n, absl::Time deadline) override {
    return Repeat(
        [&] { return SSL_read(ssl_.get(), buf, static_cast<int>(n)); },
        deadline);
  }
  ssize_t Write(const char* buf, size_t n, absl::Time deadline) override {
    return Repeat(
        [&] { return SSL_write(ssl_.get(), buf, static_cast<int>(n)); },
        deadline);
  }
  bool HasBuffered() const override { return SSL_pending(ssl_.get()) > 0; }

 private:
  template <typename F>
  ssize_t Repeat(F operation, absl::Time deadline) {
    while (true) {
      ERR_clear_error();
      const int result = operation();
      if (result > 0) {
        return result;
      }
      const int error = SSL_get_error(ssl_.get(), result);
      if (error == SSL_ERROR_ZERO_RETURN) {
        return 0;
      }
      if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) {
        return -1;
      }
      const short events = error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
      if (!AwaitSocket(fd_, events, deadline)) {
        return -1;
      }
    }
  }

  int fd_;
  std::unique_ptr<SSL, SslDeleter> ssl_;
};

}  // namespace

absl::Time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return absl::TimeFromTimespec(now);
}

std::unique_ptr<Transport> MakePlainTransport(int fd) {
  return std::make_unique<PlainTransport>(fd);
}

std::unique_ptr<Transport> AcceptTls(SSL_CTX* context,
                                     int fd,
                                     absl::Time deadline) {
  auto transport = std::make_unique<TlsTransport>(context, fd);
  if (!transport->Accept(deadline)) {
    return nullptr;
  }
  return transport;
}

Result<SslContext> MakeServerContext(const std::string& certificate,
                                     const std::string& private_key) {
  SslContext context(SSL_CTX_new(TLS_server_method()));
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  // Writes may be repeated from another place of the same bytes.
  SSL_CTX_set_mode(context.get(), SSL_MODE_ENABLE_PARTIAL_WRITE |
                                      SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  if (SSL_CTX_use_certificate_chain_file(context.get(), certificate.c_str()) !=
      1) {
    return Error{ErrorCode::kInvalidArgument,
                 absl::StrCat(certificate, ": not a certificate chain in PEM")};
  }
  if (SSL_CTX_use_PrivateKey_file(context.get(), private_key.c_str(),
                                  SSL_FILETYPE_PEM) != 1) {
    return Error{ErrorCode::kInvalidArgument,
                 absl::StrCat(private_key,
                              ": not the certificate's private key in PEM")};
  }
  return context;
}

bool AwaitSocket(int fd, short events, absl::Time deadline) {
  while (true) {
    const int64_t left = absl::ToInt64Milliseconds(
        absl::Ceil(deadline - MonotonicNow(), absl::Milliseconds(1)));
    if (left <= 0) {
      return false;
    }
    constexpr int64_t longest = 60000;
    pollfd it{fd, events, 0};
    const int n = poll(&it, 1, static_cast<int>(std::min(left, longest)));
    if (n > 0) {
      return true;
    }
    if (n < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool IsGone(int fd) {
  pollfd it{fd, POLLRDHUP, 0};
  return poll(&it, 1, 0) > 0 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

}  // namespace umbertrail::daemon::detail
