#ifndef UMBERTRAIL_DAEMON_ADMIN_SERVER_H_
#define UMBERTRAIL_DAEMON_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "umbertrail/base.h"
#include "umbertrail/daemon/admin_pages.h"

namespace umbertrail::daemon {

// The HTTP listener for operators and for the platform's health checks, apart
// from callers' so that it answers when all of their threads are busy. It has
// no authentication. GET /healthz and /readyz are other names of /health and
// /ready.
class AdminServer {
 public:
  using Handler = std::function<AdminAnswer(const AdminRequest&)>;

  // `handler` is called on the listener's threads.
  AdminServer(std::string address, Handler handler);
  // Stops the server.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Binds and begins to serve. Call it once.
  Result<Done> Start();
  // The bound address. Precondition: Start() succeeded.
  std::string address() const;
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_ADMIN_SERVER_H_
