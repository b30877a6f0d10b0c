#include "http/fake_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace umbertrail::testing {
namespace {

constexpr size_t kReadSize = 65536;
constexpr int kBacklog = 64;

// A socket bound to a port of the kernel's choice, or a failed precondition of
// the whole test.
int Listen(int& port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), n) != 0) {
    std::abort();
  }
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &n);
  port = ntohs(address.sin_port);
  return listener;
}

size_t BodyLength(const std::string& head) {
  constexpr std::string_view kField = "Content-Length: ";
  const size_t at = head.find(kField);
  if (at == std::string::npos) {
    return 0;
  }
  const std::string rest = head.substr(at + kField.size());
  size_t n = 0;
  static_cast<void>(absl::SimpleAtoi(rest.substr(0, rest.find('\r')), &n));
  return n;
}

}  // namespace

std::string FakeConnection::ReadRequest() {
  std::string request;
  std::string buf(kReadSize, '\0');
  while (true) {
    const size_t end = request.find("\r\n\r\n");
    if (end != std::string::npos) {
      const size_t whole = end + 4 + BodyLength(request.substr(0, end + 2));
      if (request.size() >= whole) {
        return request;
      }
    }
    const ssize_t n = ::recv(socket_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return std::string();
    }
    request.append(buf, 0, static_cast<size_t>(n));
  }
}

bool FakeConnection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

void FakeConnection::AwaitClose() {
  std::string buf(kReadSize, '\0');
  while (::recv(socket_, buf.data(), buf.size(), 0) > 0) {
  }
}

void FakeConnection::AwaitBytes() {
  std::string buf(kReadSize, '\0');
  static_cast<void>(::recv(socket_, buf.data(), buf.size(), 0));
}

bool FakeConnection::AwaitUnreadBytes() {
  char byte = 0;
  return ::recv(socket_, &byte, 1, MSG_PEEK) > 0;
}

void FakeConnection::Reset() {
  const linger hard{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

void FakeConnection::EndSending() {
  ::shutdown(socket_, SHUT_WR);
}

void ServeRequests(
    FakeConnection& connection,
    const std::function<bool(const std::string& request)>& answer) {
  while (true) {
    const std::string request = connection.ReadRequest();
    if (request.empty() || !answer(request)) {
      return;
    }
  }
}

void RequestLog::Add(const std::string& request) {
  absl::MutexLock lock(&mutex_);
  requests_.push_back(request);
}

std::vector<std::string> RequestLog::All() const {
  absl::MutexLock lock(&mutex_);
  return requests_;
}

std::string HttpAnswer(int status, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status,
                      " X\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string StreamEvent(const std::string& data) {
  const std::string event = absl::StrCat("data: ", data, "\n\n");
  return absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n");
}

std::string StreamEnd() {
  return "0\r\n\r\n";
}

FakeServer::FakeServer(Script script, int receive_buffer)
    : script_(std::move(script)) {
  listener_ = Listen(port_);
  if (receive_buffer > 0) {
    // Connections inherit it; set later it wouldn't shrink the window.
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  ::listen(listener_, kBacklog);
  acceptor_ = std::thread([this] { Accept(); });
}

void FakeServer::Crash() {
  absl::MutexLock lock(&mutex_);
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  ShutDownConnections();
}

void FakeServer::CloseConnections() {
  absl::MutexLock lock(&mutex_);
  ShutDownConnections();
}

void FakeServer::ShutDownConnections() {
  for (const int it : open_) {
    ::shutdown(it, SHUT_RDWR);
  }
}

void FakeServer::RefuseNewConnections() {
  absl::MutexLock lock(&mutex_);
  ::shutdown(listener_, SHUT_RDWR);
}

FakeServer::~FakeServer() {
  std::vector<std::thread> threads;
  Crash();
  acceptor_.join();
  {
    absl::MutexLock lock(&mutex_);
    threads.swap(threads_);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  ::close(listener_);
}

std::string FakeServer::address() const {
  return absl::StrCat("127.0.0.1:", port_);
}

int FakeServer::connections() const {
  absl::MutexLock lock(&mutex_);
  return connections_;
}

void FakeServer::Accept() {
  while (true) {
    // A program that is started meanwhile must not keep the connection open.
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    absl::MutexLock lock(&mutex_);
    if (stopping_ || socket < 0) {
      if (socket >= 0) {
        ::close(socket);
      }
      return;
    }
    ++connections_;
    open_.insert(socket);
    threads_.emplace_back([this, socket] { Run(socket); });
  }
}

void FakeServer::Run(int socket) {
  FakeConnection connection(socket);
  script_(connection);
  absl::MutexLock lock(&mutex_);
  open_.erase(socket);
  ::close(socket);
}

std::string RefusingAddress() {
  // The kernel may choose a port again that it chose shortly before.
  static absl::Mutex mutex(absl::kConstInit);
  static std::set<int>* const given = new std::set<int>;
  absl::MutexLock lock(&mutex);
  int port = 0;
  do {
    const int listener = Listen(port);
    ::close(listener);
  } while (!given->insert(port).second);
  return absl::StrCat("127.0.0.1:", port);
}

}  // namespace umbertrail::testing
