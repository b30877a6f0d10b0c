#include "umbertrail/daemon/admin_server.h"

#include <utility>

#include "http_server.h"

namespace umbertrail::daemon {
namespace {

constexpr size_t kHeaderBytes = 16384;
constexpr size_t kConnections = 8;
constexpr size_t kMaxBody = 1024;
constexpr absl::Duration kTimeout = absl::Seconds(5);
// Longer paths name nothing, and would make the path's matching expensive.
constexpr size_t kMaxPath = 256;
constexpr char kAnyPath[] = "/.*";

detail::HttpServerOptions OptionsFor(std::string address) {
  detail::HttpServerOptions options;
  options.address = std::move(address);
  options.header_bytes = kHeaderBytes;
  options.connections = kConnections;
  options.read_timeout = kTimeout;
  options.write_timeout = kTimeout;
  options.idle_timeout = kTimeout;
  return options;
}

std::string PageOf(const std::string& path) {
  if (path == "/healthz") {
    return "/health";
  }
  return path == "/readyz" ? "/ready" : path;
}

httplib::Server::HandlerResponse RefuseLongPaths(const httplib::Request& req,
                                                 httplib::Response& res) {
  if (req.path.size() <= kMaxPath) {
    return httplib::Server::HandlerResponse::Unhandled;
  }
  detail::HttpServer::CloseAfterAnswer();
  res.status = 404;
  return httplib::Server::HandlerResponse::Handled;
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(std::string address, Handler handler)
      : handler_(std::move(handler)),
        server_(OptionsFor(std::move(address)), nullptr) {
    const auto serve = [this](const httplib::Request& req,
                              httplib::Response& res) { Serve(req, &res); };
    server_.set_payload_max_length(kMaxBody);
    server_.set_pre_routing_handler(RefuseLongPaths);
    server_.Get(kAnyPath, serve);
    server_.Post(kAnyPath, serve);
  }

  detail::HttpServer& server() { return server_; }

 private:
  void Serve(const httplib::Request& req, httplib::Response* res) const {
    AdminRequest request;
    request.method = req.method;
    request.path = PageOf(req.path);
    request.id = req.get_param_value("id");
    request.level = req.get_param_value("level");
    const AdminAnswer answer = handler_(request);
    res->status = answer.status;
    res->set_content(answer.body, answer.content_type);
  }

  const Handler handler_;
  detail::HttpServer server_;
};

AdminServer::AdminServer(std::string address, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(address), std::move(handler))) {}

AdminServer::~AdminServer() {
  Stop();
}

Result<Done> AdminServer::Start() {
  return impl_->server().Start();
}

std::string AdminServer::address() const {
  return impl_->server().address();
}

void AdminServer::Stop() {
  impl_->server().Shutdown();
}

}  // namespace umbertrail::daemon
