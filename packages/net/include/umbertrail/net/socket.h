#ifndef UMBERTRAIL_NET_SOCKET_H_
#define UMBERTRAIL_NET_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/net/memory_budget.h"

// Shared by client and server: event loop types, TCP options and a write queue.

namespace umbertrail::net {

using Loop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;
using Endpoint = Tcp::endpoint;

// Parses "10.1.0.40:8227"; IPv4 only, no name resolution.
std::optional<Endpoint> ParseEndpoint(absl::string_view text);

// Disables Nagle's algorithm, and fails the connection when sent bytes stay
// unacknowledged, or an idle peer answers no keep-alive probe, for
// `peer_timeout`.
void SetTcpOptions(Tcp::socket& socket, absl::Duration peer_timeout);

// Bytes that the system took for sending and the peer's system has not
// acknowledged; the peer acknowledges what it received with whatever it sends,
// the end of its stream included. Zero on systems that don't tell.
size_t UnacknowledgedBytes(Tcp::socket& socket);

std::chrono::nanoseconds ToChrono(absl::Duration duration);

// Queue of bytes for a socket, written in order, one write at a time.
class WriteQueue {
 public:
  // `on_progress` is called after each write, with false if it failed. Queued
  // bytes are charged to `use` of `memory`, if that is given.
  WriteQueue(Tcp::socket& socket,
             std::function<void(bool ok)> on_progress,
             std::shared_ptr<MemoryBudget> memory,
             MemoryUse use)
      : socket_(socket),
        on_progress_(std::move(on_progress)),
        charge_(std::move(memory), use) {}

  // Queues bytes. `keep` is held until the write in progress ends.
  void Push(std::string bytes, const std::shared_ptr<void>& keep);
  // As Push, followed by bytes that others hold too, which are neither copied
  // nor charged; `shared` may be null.
  void PushWithShared(std::string bytes,
                      std::shared_ptr<const std::string> shared,
                      const std::shared_ptr<void>& keep);
  // Bytes that are not written yet.
  size_t pending_bytes() const { return pending_bytes_; }
  // Bytes that the socket has accepted since the queue was made.
  uint64_t written_bytes() const { return written_bytes_; }

 private:
  // Bytes of its own, or shared ones.
  struct Piece {
    const std::string& bytes() const { return shared ? *shared : own; }
    std::string own;
    std::shared_ptr<const std::string> shared;
  };

  void Add(Piece piece);
  void WriteNext(const std::shared_ptr<void>& keep);
  void OnWritten(const boost::system::error_code& error,
                 const std::shared_ptr<void>& keep);

  Tcp::socket& socket_;
  std::function<void(bool)> on_progress_;
  MemoryCharge charge_;
  std::deque<Piece> pending_;
  std::deque<Piece> writing_;
  size_t pending_bytes_ = 0;
  uint64_t written_bytes_ = 0;
  // Bytes of the write in progress that are counted in `written_bytes_`.
  size_t counted_bytes_ = 0;
  bool failed_ = false;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SOCKET_H_
