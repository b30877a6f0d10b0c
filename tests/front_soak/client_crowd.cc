#include "client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace umbertrail::soak {
namespace {

constexpr absl::Duration kPause = absl::Milliseconds(1);
constexpr absl::Duration kStalled = absl::Seconds(1);
constexpr absl::Duration kTricklePause = absl::Milliseconds(20);

}  // namespace

ClientCrowd::~ClientCrowd() {
  Close();
}

void ClientCrowd::Close() {
  leaving_ = true;
  if (trickling_.joinable()) {
    trickling_.join();
  }
  for (Client& it : clients_) {
    if (it.socket >= 0) {
      ::close(it.socket);
      it.socket = -1;
    }
  }
}

void ClientCrowd::Add(const ClientScript& script) {
  Client client;
  client.script = script;
  Connect(client);
  clients_.push_back(client);
}

void ClientCrowd::AddMany(const ClientScript& script, int count) {
  for (int i = 0; i < count; ++i) {
    Add(script);
    if (script.trickle != nullptr) {
      Run([] {});
    }
  }
}

void ClientCrowd::Connect(Client& client) const {
  const size_t colon = address_.find(':');
  int port = 0;
  static_cast<void>(absl::SimpleAtoi(address_.substr(colon + 1), &port));
  client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int receive_buffer = client.script.receive_buffer;
  if (receive_buffer > 0) {
    ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, address_.substr(0, colon).c_str(), &to.sin_addr);
  if (::connect(client.socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) !=
      0) {
    ::close(client.socket);
    client.socket = -1;
  }
}

bool ClientCrowd::SendPiece(Client& client) {
  const std::string& bytes = *client.script.bytes;
  const size_t count =
      std::min(client.script.piece_bytes, bytes.size() - client.sent);
  const ssize_t sent = ::send(client.socket, bytes.data() + client.sent, count,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    client.sent = bytes.size();  // Disconnected.
    return true;
  }
  client.sent += sent > 0 ? static_cast<size_t>(sent) : 0;
  return sent > 0;
}

void ClientCrowd::Run(const std::function<void()>& between) {
  absl::Time progressed_at = absl::Now();
  bool unfinished = true;
  while (unfinished && absl::Now() - progressed_at < kStalled) {
    unfinished = false;
    bool progressed = false;
    for (Client& it : clients_) {
      if (it.socket >= 0 && it.sent < it.script.bytes->size()) {
        progressed = SendPiece(it) || progressed;
        unfinished = unfinished || it.sent < it.script.bytes->size();
      }
    }
    between();
    if (progressed) {
      progressed_at = absl::Now();
    } else {
      absl::SleepFor(kPause);
    }
  }
}

void ClientCrowd::SendTrickle(Client& client) const {
  const std::string& bytes = *client.script.trickle;
  if (client.trickled == bytes.size()) {
    return;
  }
  const ssize_t sent = ::send(client.socket, &bytes[client.trickled], 1,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  client.trickled += sent > 0 ? size_t{1} : 0;
  const bool disconnected = sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
  if (disconnected && client.script.comes_back) {
    ::close(client.socket);
    Connect(client);
    client.sent = 0;
    client.trickled = 0;
    SendPiece(client);
  }
}

void ClientCrowd::Trickle() {
  while (!leaving_) {
    for (Client& it : clients_) {
      if (it.socket >= 0 && it.script.trickle != nullptr) {
        SendTrickle(it);
      }
    }
    absl::SleepFor(kTricklePause);
  }
}

void ClientCrowd::StartTrickling() {
  trickling_ = std::thread([this] { Trickle(); });
}

}  // namespace umbertrail::soak
