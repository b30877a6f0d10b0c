#ifndef UMBERTRAIL_NET_SOCKET_H_
#define UMBERTRAIL_NET_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

// What both ends of a connection share: the event loop's types, options that
// make a silent peer known, and a queue of bytes to write.

namespace umbertrail::net {

using Loop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;
using Endpoint = Tcp::endpoint;

// "10.1.0.40:8227" as an endpoint; IPv4 only, no name is looked up.
std::optional<Endpoint> ParseEndpoint(absl::string_view text);

// Sends small writes at once, and fails the connection when sent bytes stay
// unacknowledged, or an idle peer does not answer keep-alive probes, for
// `silence`.
void SetTcpOptions(Tcp::socket& socket, absl::Duration silence);

// A timer's time from a duration of the product.
std::chrono::nanoseconds ToChrono(absl::Duration duration);

// Bytes on their way to a socket, written in order, one write at a time.
class WriteQueue {
 public:
  // `on_progress` runs after each write; a failed write reports false.
  WriteQueue(Tcp::socket& socket, std::function<void(bool ok)> on_progress)
      : socket_(socket), on_progress_(std::move(on_progress)) {}

  // Takes bytes for writing. `keep` is held until the write in progress ends.
  void Push(std::string bytes, const std::shared_ptr<void>& keep);
  // Bytes that the socket has not taken yet.
  size_t pending_bytes() const { return pending_bytes_; }

 private:
  void WriteNext(const std::shared_ptr<void>& keep);

  Tcp::socket& socket_;
  std::function<void(bool)> on_progress_;
  std::deque<std::string> pending_;
  std::deque<std::string> writing_;
  size_t pending_bytes_ = 0;
  bool failed_ = false;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SOCKET_H_
