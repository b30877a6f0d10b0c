#include "umbertrail/net/socket.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#ifdef __linux__
#include <linux/sockios.h>
#endif

#include <algorithm>
#include <boost/asio/write.hpp>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace umbertrail::net {
namespace {

// Keep-alive options have a resolution of a second.
constexpr int kMinProbeSeconds = 1;
constexpr int kUnansweredProbes = 2;

void SetOption(int fd, int level, int option, int value) {
  // Where an option is unsupported, the system default applies.
  (void)setsockopt(fd, level, option, &value, sizeof value);
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(absl::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(
      std::string{text.substr(0, colon)}, error);
  if (error) {
    return std::nullopt;
  }
  return Endpoint(address, static_cast<unsigned short>(port));
}

void SetTcpOptions(Tcp::socket& socket, absl::Duration peer_timeout) {
  const int fd = socket.native_handle();
  const int seconds = std::max<int>(
      kMinProbeSeconds, static_cast<int>(absl::ToInt64Seconds(peer_timeout) /
                                         (kUnansweredProbes + 1)));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kUnansweredProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(absl::ToInt64Milliseconds(peer_timeout)));
}

size_t UnacknowledgedBytes(Tcp::socket& socket) {
#ifdef SIOCOUTQ
  int bytes = 0;
  if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0) {
    return static_cast<size_t>(bytes);
  }
#else
  (void)socket;
#endif
  return 0;
}

std::chrono::nanoseconds ToChrono(absl::Duration duration) {
  return absl::ToChronoNanoseconds(duration);
}

void WriteQueue::Push(std::string bytes, const std::shared_ptr<void>& keep) {
  PushWithShared(std::move(bytes), nullptr, keep);
}

void WriteQueue::PushWithShared(std::string bytes,
                                std::shared_ptr<const std::string> shared,
                                const std::shared_ptr<void>& keep) {
  if (failed_) {
    return;
  }
  if (!bytes.empty()) {
    charge_.Set(charge_.bytes() + bytes.size());
    Add({std::move(bytes), nullptr});
  }
  if (shared != nullptr && !shared->empty()) {
    Add({std::string(), std::move(shared)});
  }
  if (writing_.empty() && !pending_.empty()) {
    WriteNext(keep);
  }
}

void WriteQueue::Add(Piece piece) {
  pending_bytes_ += piece.bytes().size();
  pending_.push_back(std::move(piece));
}

void WriteQueue::WriteNext(const std::shared_ptr<void>& keep) {
  writing_.swap(pending_);
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const Piece& piece : writing_) {
    buffers.emplace_back(piece.bytes().data(), piece.bytes().size());
  }
  counted_bytes_ = 0;
  const auto count_progress = [this](const boost::system::error_code& error,
                                     size_t transferred) {
    written_bytes_ += transferred - counted_bytes_;
    counted_bytes_ = transferred;
    return boost::asio::transfer_all()(error, transferred);
  };
  boost::asio::async_write(socket_, buffers, count_progress,
                           [this, keep](const boost::system::error_code& error,
                                        size_t) { OnWritten(error, keep); });
}

void WriteQueue::OnWritten(const boost::system::error_code& error,
                           const std::shared_ptr<void>& keep) {
  for (const Piece& piece : writing_) {
    pending_bytes_ -= piece.bytes().size();
    charge_.Set(charge_.bytes() - piece.own.size());
  }
  writing_.clear();
  failed_ = failed_ || static_cast<bool>(error);
  if (!failed_ && !pending_.empty()) {
    WriteNext(keep);
  }
  on_progress_(!failed_);
}

}  // namespace umbertrail::net
