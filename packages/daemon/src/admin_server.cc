#include "umbertrail/daemon/admin_server.h"

#include <utility>

#include "http_server.h"

namespace umbertrail::daemon {
namespace {

constexpr size_t kHeaderBytes = 16384;
constexpr size_t kConnections = 8;
constexpr size_t kMaxBody = 1024;
constexpr absl::Duration kTimeout = absl::Seconds(5);
constexpr char kText[] = "text/plain";

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

void Unavailable(const std::string& text, httplib::Response* res) {
  res->status = 503;
  res->set_content(text, kText);
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(std::string address,
       std::function<bool()> ready,
       std::vector<AdminPage> pages)
      : ready_(std::move(ready)),
        pages_(std::move(pages)),
        server_(OptionsFor(std::move(address)), nullptr) {
    server_.set_payload_max_length(kMaxBody);
    server_.Get("/healthz",
                [](const httplib::Request&, httplib::Response& res) {
                  res.set_content("alive\n", kText);
                });
    server_.Get("/readyz",
                [this](const httplib::Request&, httplib::Response& res) {
                  if (ready_()) {
                    res.set_content("ready\n", kText);
                  } else {
                    Unavailable("not ready\n", &res);
                  }
                });
    for (const AdminPage& page : pages_) {
      server_.Get(page.path,
                  [&page](const httplib::Request& req, httplib::Response& res) {
                    const auto body = page.body(req.get_param_value("id"));
                    if (body.has_value()) {
                      res.set_content(*body, page.content_type);
                    } else {
                      Unavailable("no answer from the core\n", &res);
                    }
                  });
    }
  }

  detail::HttpServer& server() { return server_; }

 private:
  const std::function<bool()> ready_;
  const std::vector<AdminPage> pages_;
  detail::HttpServer server_;
};

AdminServer::AdminServer(std::string address,
                         std::function<bool()> ready,
                         std::vector<AdminPage> pages)
    : impl_(std::make_unique<Impl>(std::move(address),
                                   std::move(ready),
                                   std::move(pages))) {}

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
