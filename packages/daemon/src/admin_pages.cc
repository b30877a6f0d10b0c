#include "umbertrail/daemon/admin_pages.h"

#include <iterator>
#include <utility>

#include "umbertrail/daemon/admin_json.h"

namespace umbertrail::daemon {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

constexpr char kJson[] = "application/json";
constexpr char kText[] = "text/plain; charset=utf-8";
// The version is that of the Prometheus text format.
constexpr char kMetrics[] = "text/plain; version=0.0.4; charset=utf-8";

AdminAnswer Plain(int status, std::string body) {
  return AdminAnswer{status, kText, std::move(body) + "\n"};
}

}  // namespace

const AdminPages::Route AdminPages::kRoutes[] = {
    {"GET", "/status", &AdminPages::Status},
    {"GET", "/explain", &AdminPages::Explain},
    {"GET", "/metrics", &AdminPages::MetricsText},
    {"GET", "/health", &AdminPages::Health},
    {"GET", "/ready", &AdminPages::Ready},
    {"POST", "/log-level", &AdminPages::SetLogLevel},
};

AdminPages::AdminPages(AdminSources sources) : sources_(std::move(sources)) {}

AdminAnswer AdminPages::Handle(const AdminRequest& request) const {
  for (const Route& it : kRoutes) {
    if (request.path != it.path) {
      continue;
    }
    if (request.method != it.method) {
      return Plain(kMethodNotAllowed, std::string("use ") + it.method);
    }
    return (this->*it.handle)(request);
  }
  return Plain(kNotFound, "no such page");
}

AdminAnswer AdminPages::Status(const AdminRequest&) const {
  return AdminAnswer{kOk, kJson, StatusJson(sources_.status())};
}

AdminAnswer AdminPages::Explain(const AdminRequest& request) const {
  if (request.id.empty()) {
    return Plain(kBadRequest, "id is missing");
  }
  const auto found = sources_.histories->Find(RequestId(request.id));
  return AdminAnswer{found.empty() ? kNotFound : kOk, kJson,
                     ExplainJson(found)};
}

AdminAnswer AdminPages::MetricsText(const AdminRequest&) const {
  sources_.metrics->SetNodeStatus(sources_.status());
  if (sources_.spans != nullptr) {
    sources_.metrics->SetSpanCounts(sources_.spans->counts());
  }
  return AdminAnswer{kOk, kMetrics, sources_.metrics->Text()};
}

AdminAnswer AdminPages::Health(const AdminRequest&) const {
  return Plain(kOk, "alive");
}

AdminAnswer AdminPages::Ready(const AdminRequest&) const {
  const bool ready = sources_.status().ready;
  return ready ? Plain(kOk, "ready") : Plain(kUnavailable, "not ready");
}

AdminAnswer AdminPages::SetLogLevel(const AdminRequest& request) const {
  const auto level = telemetry::ParseLogLevel(request.level);
  if (!level) {
    return Plain(kBadRequest, "level is debug, info, warning or error");
  }
  sources_.logger->SetLevel(*level);
  return Plain(kOk, request.level);
}

}  // namespace umbertrail::daemon
