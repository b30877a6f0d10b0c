#ifndef UMBERTRAIL_DAEMON_ADMIN_PAGES_H_
#define UMBERTRAIL_DAEMON_ADMIN_PAGES_H_

#include <functional>
#include <string>

#include "umbertrail/core/node.h"
#include "umbertrail/telemetry/history.h"
#include "umbertrail/telemetry/log.h"
#include "umbertrail/telemetry/metrics.h"

namespace umbertrail::daemon {

// One call of the admin interface.
struct AdminRequest {
  std::string method;  // "GET" or "POST"
  std::string path;    // without the query
  std::string id;      // of the query, for /explain
  std::string level;   // of the query, for /log-level
};

// An HTTP answer.
struct AdminAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

// Where the pages get what they show. All must outlive the pages.
struct AdminSources {
  // The node's status now; called on the listener's threads.
  std::function<core::NodeStatus()> status;
  telemetry::Metrics* metrics = nullptr;
  const telemetry::HistoryStore* histories = nullptr;
  telemetry::Logger* logger = nullptr;
  // Null when spans are not exported.
  const telemetry::SpanExporter* spans = nullptr;
};

// The admin interface: GET /status, /explain?id=, /metrics, /health and
// /ready; POST /log-level?level=. Nothing here changes the fleet. Thread-safe
// as far as its sources are.
class AdminPages {
 public:
  explicit AdminPages(AdminSources sources);

  // 404 for an unknown path or request, 405 for a wrong method, 400 for a
  // malformed parameter; /ready answers 503 until callers should be sent here.
  AdminAnswer Handle(const AdminRequest& request) const;

 private:
  AdminAnswer Status(const AdminRequest& request) const;
  AdminAnswer Explain(const AdminRequest& request) const;
  AdminAnswer MetricsText(const AdminRequest& request) const;
  AdminAnswer Health(const AdminRequest& request) const;
  AdminAnswer Ready(const AdminRequest& request) const;
  AdminAnswer SetLogLevel(const AdminRequest& request) const;

  struct Route {
    const char* method;
    const char* path;
    AdminAnswer (AdminPages::*handle)(const AdminRequest&) const;
  };
  static const Route kRoutes[];

  const AdminSources sources_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_ADMIN_PAGES_H_
