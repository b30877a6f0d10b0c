#ifndef UMBERTRAIL_DAEMON_TRANSPORT_H_
#define UMBERTRAIL_DAEMON_TRANSPORT_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <string>

#include <openssl/ssl.h>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::daemon::detail {

// Monotonic time, the clock of every deadline here: a step of the wall clock
// must neither cut a request short nor prolong it.
absl::Time MonotonicNow();

// Bytes over one non-blocking socket, plain or under TLS. Both calls wait at
// most until `deadline` (of MonotonicNow()) and return the bytes moved, 0 at
// the end of the stream, or -1 on a fault or when the time is over.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual ssize_t Read(char* buf, size_t n, absl::Time deadline) = 0;
  virtual ssize_t Write(const char* buf, size_t n, absl::Time deadline) = 0;
  // Whether Read() has bytes at hand that the socket no longer shows.
  virtual bool HasBuffered() const { return false; }
};

std::unique_ptr<Transport> MakePlainTransport(int fd);

// Performs the server's side of the TLS handshake; null when it fails.
std::unique_ptr<Transport> AcceptTls(SSL_CTX* context,
                                     int fd,
                                     absl::Time deadline);

struct SslContextDeleter {
  void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
};
using SslContext = std::unique_ptr<SSL_CTX, SslContextDeleter>;

// A server's context for TLS 1.2 and later; the fault names the file.
Result<SslContext> MakeServerContext(const std::string& certificate,
                                     const std::string& private_key);

// Waits for events of poll() on `fd`; false when the time is over.
bool AwaitSocket(int fd, short events, absl::Time deadline);

// Whether the other end has closed or reset the connection.
bool IsGone(int fd);

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_TRANSPORT_H_
