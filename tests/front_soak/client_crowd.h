#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_CLIENT_CROWD_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_CLIENT_CROWD_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace umbertrail::soak {

// What one client of a crowd does with its connection, which stays open.
struct ClientScript {
  // Sent in pieces of `piece_bytes`, one piece of each client in turn.
  std::shared_ptr<const std::string> bytes;
  size_t piece_bytes = 0;
  // Size of the socket's receive buffer; 0: the system's default.
  int receive_buffer = 0;
  // Sent afterwards, a byte at a time, until the crowd leaves.
  std::shared_ptr<const std::string> trickle = nullptr;
  // Connects and begins again, while trickling, whenever it is disconnected.
  bool comes_back = false;
};

// Many client connections to one address that never read, driven by one thread
// at a time.
class ClientCrowd {
 public:
  explicit ClientCrowd(std::string address) : address_(std::move(address)) {}
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Connects one more client.
  void Add(const ClientScript& script);
  // Connects `count` more. Those with a trickle send their bytes at once, as an
  // idle connection may give way to the next one.
  void AddMany(const ClientScript& script, int count);
  // Sends until each client has sent everything or has been disconnected, or no
  // client could send anything for a second. Runs `between` after each round.
  void Run(const std::function<void()>& between);
  // Sends the clients' trickles on a thread of its own until Close.
  void StartTrickling();
  // Closes all connections.
  void Close();

 private:
  struct Client {
    int socket = -1;
    ClientScript script;
    size_t sent = 0;
    size_t trickled = 0;
  };
  void Connect(Client& client) const;
  // Whether some bytes were sent.
  static bool SendPiece(Client& client);
  void SendTrickle(Client& client) const;
  void Trickle();

  const std::string address_;
  std::vector<Client> clients_;
  std::atomic<bool> leaving_{false};
  std::thread trickling_;
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_CLIENT_CROWD_H_
