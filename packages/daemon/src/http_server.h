#ifndef UMBERTRAIL_DAEMON_HTTP_SERVER_H_
#define UMBERTRAIL_DAEMON_HTTP_SERVER_H_

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

#include <httplib.h>

#include "absl/time/time.h"
#include "transport.h"
#include "umbertrail/base.h"

namespace umbertrail::daemon::detail {

struct HttpServerOptions {
  std::string address;  // IP number and port; port 0: the kernel chooses
  size_t header_bytes = 0;
  size_t connections = 0;
  absl::Duration read_timeout;   // for a request's head and body
  absl::Duration write_timeout;  // for each part written
  absl::Duration idle_timeout;   // between two requests of a connection
};

// A cpp-httplib server over sockets of our own. The library gives a handler no
// way to see its connection, bounds neither a request's head, nor the lines of
// a chunked body, nor the time they take to arrive, and cuts answers by a Range
// header; this class mends that.
class HttpServer : public httplib::Server {
 public:
  // `tls` may be null: plain HTTP.
  HttpServer(HttpServerOptions options, SslContext tls);
  ~HttpServer() override;

  // Binds and starts the accepting thread.
  Result<Done> Start();
  // The bound address, with the real port. Precondition: Start() succeeded.
  const std::string& address() const { return address_; }

  // Stops accepting, lets requests in flight end, closes idle connections and
  // returns when all threads have ended.
  void Shutdown();

  // Of the request that the calling thread handles: its socket, and that its
  // connection be closed after the answer because its body was not read.
  static int CurrentSocket();
  static void CloseAfterAnswer();

 private:
  bool process_and_close_socket(socket_t sock) override;
  void Refuse(socket_t sock) const;
  void Serve(socket_t sock);
  static void Linger(socket_t sock);
  bool AwaitRequest(const Transport& transport, socket_t sock) const;

  const HttpServerOptions options_;
  const SslContext tls_;
  std::string address_;
  std::atomic<bool> ending_{false};
  // Requests whose answers are not written yet.
  std::atomic<int> serving_{0};
  std::thread thread_;
};

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_HTTP_SERVER_H_
