#ifndef UMBERTRAIL_DAEMON_ADMIN_SERVER_H_
#define UMBERTRAIL_DAEMON_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "umbertrail/base.h"

namespace umbertrail::daemon {

// One GET of the admin interface. The body is asked for on each call; nothing
// answers 503.
struct AdminPage {
  std::string path;
  std::string content_type;
  // `query` is the part of the URL after the path, undecoded names and values
  // split; only the first value of `id` is passed.
  std::function<std::optional<std::string>(const std::string& id)> body;
};

// The HTTP interface for operators and for the platform's health checks, apart
// from callers' so that it answers when all of their threads are busy:
// `GET /healthz` answers 200 while the process is alive, `GET /readyz` 200 or
// 503, and the pages given. It has no authentication and changes nothing.
class AdminServer {
 public:
  AdminServer(std::string address,
              std::function<bool()> ready,
              std::vector<AdminPage> pages);
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
