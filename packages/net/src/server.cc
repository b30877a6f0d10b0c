#include "umbertrail/net/server.h"

#include <algorithm>
#include <vector>

namespace umbertrail::net {
namespace {

// Delay before accepting again when file descriptors have run out.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);

}  // namespace

HttpServer::HttpServer(Loop& loop,
                       Handler on_request,
                       FaultHandler on_fault,
                       std::shared_ptr<MemoryBudget> memory)
    : loop_(loop),
      memory_(memory == nullptr ? std::make_shared<MemoryBudget>()
                                : std::move(memory)),
      on_request_(std::move(on_request)),
      on_fault_(std::move(on_fault)),
      acceptor_(loop),
      accept_retry_timer_(loop) {
  memory_->Add(this);
}

HttpServer::~HttpServer() {
  CloseAll();
  for (ServerConnection* connection : connections_) {
    connection->server_is_alive_ = false;
  }
  memory_->Remove(this);
}

boost::system::error_code HttpServer::Listen(const Endpoint& endpoint) {
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return error;
  }
  Accept();
  return {};
}

void HttpServer::StopListening() {
  if (!acceptor_.is_open()) {
    return;
  }
  // Connections that the kernel has established are still served.
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(loop_);
    Endpoint client;
    acceptor_.accept(socket, client, error);
    if (!error) {
      Admit(std::move(socket), client);
    }
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::Accept() {
  acceptor_.async_accept(
      accepted_from_,
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (!error) {
          Admit(std::move(socket), accepted_from_);
          Accept();
          return;
        }
        accept_retry_timer_.expires_after(ToChrono(kAcceptRetryDelay));
        accept_retry_timer_.async_wait(
            [this](const boost::system::error_code& stopped) {
              if (!stopped && acceptor_.is_open()) {
                Accept();
              }
            });
      });
}

void HttpServer::Admit(Tcp::socket socket, const Endpoint& client) {
  const ClientAddress address = client.address().to_v4().to_uint();
  if (!HasPlace(address)) {
    memory_->NoteShed(ShedReason::kNewConnection);
    return;
  }
  std::make_shared<ServerConnection>(*this, std::move(socket), address)
      ->Start();
}

void HttpServer::CloseIdle() {
  refusing_requests_ = true;
  const std::vector<ServerConnection*> all(connections_.begin(),
                                           connections_.end());
  for (ServerConnection* connection : all) {
    if (connection->state_ == ServerConnection::State::kIdle) {
      connection->CloseOrDeliver();
    }
  }
}

size_t HttpServer::CountUndelivered() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](ServerConnection* connection) {
        return connection->state_ == ServerConnection::State::kResponding ||
               (connection->state_ != ServerConnection::State::kClosed &&
                !connection->IsDelivered());
      }));
}

void HttpServer::CloseAll() {
  const std::vector<ServerConnection*> all(connections_.begin(),
                                           connections_.end());
  for (ServerConnection* connection : all) {
    connection->Close();
  }
}

}  // namespace umbertrail::net
