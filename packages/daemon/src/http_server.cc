#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "connection_pool.h"

namespace umbertrail::daemon::detail {
namespace {

constexpr size_t kReadBufferBytes = 16 * size_t{1024};
// How often an idle connection looks whether the server ends.
constexpr absl::Duration kIdleSlice = absl::Milliseconds(250);

// How long and how much is read and dropped after a refusal, so that the caller
// reads it before its connection is reset.
// A stop waits this long for answers that are being written.
constexpr absl::Duration kAnswersEnd = absl::Seconds(2);
constexpr absl::Duration kLinger = absl::Milliseconds(500);
constexpr size_t kLingerBytes = size_t{4} << 20;

thread_local int t_current_socket = -1;
thread_local bool t_close_after_answer = false;

// Its head was not read: it may be a resend of a call that ran.
constexpr char kTooManyConnections[] =
    R"({"error":{"message":"too many connections","ran":"unknown",)"
    R"("reason":"overloaded","request_id":"","retry_after_ms":1000}})";
constexpr char kHeaderTooLarge[] =
    R"({"error":{"message":"the request's head is too large","ran":"no",)"
    R"("reason":"malformed","request_id":""}})";

// A whole response for a connection that is closed after it.
std::string RawResponse(const char* status,
                        const char* headers,
                        const std::string& body) {
  return absl::StrCat(
      "HTTP/1.1 ", status, "\r\nContent-Type: application/json\r\n", headers,
      "Connection: close\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

void NameAddress(const sockaddr_storage& storage, std::string* ip, int* port) {
  std::array<char, INET6_ADDRSTRLEN> buf{};
  if (storage.ss_family == AF_INET6) {
    const auto* in6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &in6->sin6_addr, buf.data(), buf.size());
    *port = ntohs(in6->sin6_port);
  } else {
    const auto* in4 = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &in4->sin_addr, buf.data(), buf.size());
    *port = ntohs(in4->sin_port);
  }
  *ip = buf.data();
}

// What the library reads requests from and writes answers to.
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int fd, Transport* transport, const HttpServerOptions& options)
      : fd_(fd), transport_(transport), options_(options) {}

  // A new request's head begins.
  void BeginRequest() {
    in_head_ = true;
    head_bytes_ = 0;
    line_bytes_ = 0;
    read_deadline_ = MonotonicNow() + options_.read_timeout;
  }
  // The head has been read whole.
  void EndHead() { in_head_ = false; }

  bool has_buffered() const { return begin_ < end_; }

  bool is_readable() const override { return true; }
  bool is_writable() const override {
    return !IsGone(fd_) &&
           AwaitSocket(fd_, POLLOUT, MonotonicNow() + options_.write_timeout);
  }
  ssize_t read(char* ptr, size_t size) override {
    if (in_head_ && head_bytes_ >= options_.header_bytes) {
      WriteAll(RawResponse("431 Request Header Fields Too Large", "",
                           kHeaderTooLarge));
      return -1;
    }
    if (begin_ == end_ && !Fill()) {
      return end_ == 0 ? 0 : -1;
    }
    const size_t n = std::min(size, end_ - begin_);
    std::copy_n(buf_.data() + begin_, n, ptr);
    begin_ += n;
    head_bytes_ += n;
    if (!in_head_ && IsEndlessLine(ptr, n, size)) {
      return -1;
    }
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char* ptr, size_t size) override {
    return transport_->Write(ptr, size,
                             MonotonicNow() + options_.write_timeout);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage storage{};
    socklen_t n = sizeof(storage);
    if (getpeername(fd_, reinterpret_cast<sockaddr*>(&storage), &n) == 0) {
      NameAddress(storage, &ip, &port);
    }
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage storage{};
    socklen_t n = sizeof(storage);
    if (getsockname(fd_, reinterpret_cast<sockaddr*>(&storage), &n) == 0) {
      NameAddress(storage, &ip, &port);
    }
  }
  socket_t socket() const override { return fd_; }

 private:
  // Whether a chunk's size or the trailer is longer than a head may be. The
  // library reads these lines byte by byte and keeps each until its end.
  bool IsEndlessLine(const char* bytes, size_t n, size_t asked) {
    const bool is_line = asked == 1 && n == 1 && *bytes != '\n';
    line_bytes_ = is_line ? line_bytes_ + 1 : 0;
    return line_bytes_ > options_.header_bytes;
  }

  bool Fill() {
    const ssize_t n =
        transport_->Read(buf_.data(), buf_.size(), read_deadline_);
    begin_ = 0;
    end_ = n > 0 ? static_cast<size_t>(n) : 0;
    return n > 0;
  }

  void WriteAll(const std::string& text) {
    size_t off = 0;
    while (off < text.size()) {
      const ssize_t n = write(text.data() + off, text.size() - off);
      if (n <= 0) {
        return;
      }
      off += static_cast<size_t>(n);
    }
  }

  const int fd_;
  Transport* const transport_;
  const HttpServerOptions& options_;
  bool in_head_ = true;
  size_t head_bytes_ = 0;
  size_t line_bytes_ = 0;
  absl::Time read_deadline_ = absl::InfiniteFuture();
  std::array<char, kReadBufferBytes> buf_;
  size_t begin_ = 0;
  size_t end_ = 0;
};

struct HostAndPort {
  std::string host;
  int port = 0;
};

HostAndPort Split(const std::string& address) {
  const size_t colon = address.rfind(':');
  HostAndPort split;
  split.host = address.substr(0, colon);
  if (split.host.size() > 2 && split.host.front() == '[') {
    split.host = split.host.substr(1, split.host.size() - 2);
  }
  if (!absl::SimpleAtoi(address.substr(colon + 1), &split.port)) {
    split.port = 0;
  }
  return split;
}

// Two processes on one port would each get a part of the connections, so the
// library's SO_REUSEPORT is left out.
void SetListenerOptions(socket_t sock) {
  const int on = 1;
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

// Answers must be whole and as they are.
void IgnoreContentNegotiation(httplib::Request* req) {
  req->ranges.clear();
  req->headers.erase("Range");
  req->headers.erase("Accept-Encoding");
}

}  // namespace

HttpServer::HttpServer(HttpServerOptions options, SslContext tls)
    : options_(std::move(options)), tls_(std::move(tls)) {
  new_task_queue = [this] { return new ConnectionPool(options_.connections); };
  set_socket_options(SetListenerOptions);
  set_tcp_nodelay(true);
}

HttpServer::~HttpServer() {
  Shutdown();
}

Result<Done> HttpServer::Start() {
  const HostAndPort split = Split(options_.address);
  int port = split.port;
  bool bound = false;
  if (port == 0) {
    port = bind_to_any_port(split.host);
    bound = port > 0;
  } else {
    bound = bind_to_port(split.host, port);
  }
  if (!bound) {
    return Error{ErrorCode::kUnavailable,
                 absl::StrCat("cannot listen on ", options_.address)};
  }
  const size_t colon = options_.address.rfind(':');
  address_ = absl::StrCat(options_.address.substr(0, colon), ":", port);
  thread_ = std::thread([this] { listen_after_bind(); });
  // stop() does nothing before the accepting thread runs.
  while (!is_running()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  return Done{};
}

void HttpServer::Shutdown() {
  ending_ = true;
  // The library's stop() ends an answer between two of its parts.
  const absl::Time until = MonotonicNow() + kAnswersEnd;
  while (serving_ > 0 && MonotonicNow() < until) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

int HttpServer::CurrentSocket() {
  return t_current_socket;
}

void HttpServer::CloseAfterAnswer() {
  t_close_after_answer = true;
}

bool HttpServer::process_and_close_socket(socket_t sock) {
  if (ConnectionPool::refusing()) {
    Refuse(sock);
  } else {
    Serve(sock);
  }
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return true;
}

// Runs on the accepting thread, so it must not wait. Under TLS the caller sees
// a closed connection only.
void HttpServer::Refuse(socket_t sock) const {
  if (tls_ != nullptr) {
    return;
  }
  const std::string text = RawResponse(
      "503 Service Unavailable", "Retry-After: 1\r\n", kTooManyConnections);
  send(sock, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  // Unread bytes would make close() reset the connection before the answer is
  // read.
  std::array<char, kReadBufferBytes> buf;
  recv(sock, buf.data(), buf.size(), MSG_DONTWAIT);
}

void HttpServer::Serve(socket_t sock) {
  std::unique_ptr<Transport> transport =
      tls_ == nullptr
          ? MakePlainTransport(sock)
          : AcceptTls(tls_.get(), sock, MonotonicNow() + options_.idle_timeout);
  if (transport == nullptr) {
    return;
  }
  t_current_socket = sock;
  t_close_after_answer = false;
  SocketStream stream(sock, transport.get(), options_);
  bool closed = false;
  bool ok = true;
  while (ok && !closed && !t_close_after_answer &&
         (stream.has_buffered() || AwaitRequest(*transport, sock))) {
    stream.BeginRequest();
    ++serving_;
    ok = process_request(stream, /*close_connection=*/ending_, closed,
                         [&](httplib::Request& req) {
                           stream.EndHead();
                           IgnoreContentNegotiation(&req);
                         });
    --serving_;
  }
  t_current_socket = -1;
  if (t_close_after_answer) {
    transport.reset();
    Linger(sock);
  }
}

void HttpServer::Linger(socket_t sock) {
  shutdown(sock, SHUT_WR);
  const absl::Time deadline = MonotonicNow() + kLinger;
  const std::unique_ptr<Transport> transport = MakePlainTransport(sock);
  std::array<char, kReadBufferBytes> buf;
  for (size_t dropped = 0; dropped < kLingerBytes;) {
    const ssize_t n = transport->Read(buf.data(), buf.size(), deadline);
    if (n <= 0) {
      return;
    }
    dropped += static_cast<size_t>(n);
  }
}

// Waits for the first byte of a request; false when none came in time.
bool HttpServer::AwaitRequest(const Transport& transport, socket_t sock) const {
  if (transport.HasBuffered()) {
    return true;
  }
  const absl::Time deadline = MonotonicNow() + options_.idle_timeout;
  while (!ending_ && MonotonicNow() < deadline) {
    if (AwaitSocket(sock, POLLIN, MonotonicNow() + kIdleSlice)) {
      return true;
    }
  }
  return false;
}

}  // namespace umbertrail::daemon::detail
