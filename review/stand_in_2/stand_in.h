#ifndef REVIEW_STAND_IN_2_STAND_IN_H_
#define REVIEW_STAND_IN_2_STAND_IN_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, runners and clients, and the processes
// of the system under test. Loopback addresses only.

namespace review {

// Seconds since the program began, on the steady clock.
double Now();
void SleepFor(double seconds);

// Lines with times, written to record.txt of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// -- Sockets. All return -1 on failure.

int Listen(const std::string& ip, int port);
int PortOf(int listener);
int FreePort(const std::string& ip);
// From the loopback address `from`, if it isn't empty.
int Connect(const std::string& ip, int port, const std::string& from = "");
bool SendAll(int fd, const std::string& bytes);
// Closes with a reset instead of an end of stream.
void ResetClose(int fd);

struct Message {
  // Method, path and version of a request, or version, status and reason.
  std::vector<std::string> start;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool complete = false;
  // The connection ended by a reset.
  bool reset = false;
  int status() const;
  std::string Header(const std::string& name) const;
};

// Reads one message after another from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Waits at most `seconds`. A response without length and chunks ends with
  // its connection.
  Message Read(bool is_request, double seconds);
  bool ended() const { return ended_; }

 private:
  bool Fill(double until);
  bool Line(std::string* line, double until);
  bool Take(size_t count, std::string* out, double until);

  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool reset_ = false;
};

// A server with one thread for each connection. The handler answers requests
// on the descriptor until it returns false; then the connection is closed.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;
  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  int port() const { return port_; }
  // Ends as a killed process does: the listener and all connections close.
  void Kill();
  int open_connections();

 private:
  void Serve();

  Handler handler_;
  int listener_;
  int port_;
  std::mutex mutex_;
  std::map<int, bool> open_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// The platform's store: the part of it that the system reads.
class Store {
 public:
  explicit Store(const std::string& ip);
  int port() const { return server_->port(); }
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  // -- A drill: the store is away, and comes back from a copy.

  void TakeCopy();
  // Answers 503 from now on; watches that wait are cut.
  void GoAway();
  void ReturnFromCopy();

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string key;
    bool deleted = false;
  };
  bool Handle(int fd, const Message& request);
  std::string ItemJson(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  uint64_t era_ = 1;
  bool is_away_ = false;
  uint64_t copied_revision_ = 0;
  std::map<std::string, Item> copied_items_;
  std::vector<Event> copied_events_;
  std::unique_ptr<Server> server_;
};

// The config of a small installation.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string kind;  // safe, unsafe or streaming.
  std::string service;
  int timeout_ms = 10000;
  int target_latency_ms = 300;
  int max_attempts = 2;
  bool resumable = false;
};
struct ServiceSpec {
  std::string name;
  int max_conns = 100;
  bool engine = false;
};
std::string ConfigJson(int version,
                       const std::vector<RouteSpec>& routes,
                       const std::vector<ServiceSpec>& services,
                       const std::vector<std::string>& keys = {"key-a"});
std::string EntryJson(const std::string& service,
                      const std::string& address,
                      int slots,
                      const std::string& state,
                      int64_t born);
int64_t UnixMs();

// Bytes of a complete response of a runner.
std::string RunnerAnswer(const Message& request,
                         int status,
                         const std::string& more_headers,
                         const std::string& body);

// One process of the system.
struct InstanceOptions {
  std::string program;
  std::string folder;
  std::string ip;
  std::string name;
  int front_port = 0;
  int ready_port = 0;
  int control_port = 0;
  int internal_port = 0;
  std::string seed_ip;
  std::string store;
  int memory_mb = 260;
  int max_fds = 4100;
  int grace_s = 8;
  bool bootstrap = true;
};
class Instance {
 public:
  explicit Instance(InstanceOptions options);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;
  void Start();
  // Starts again after it has ended, not as the first start of the fleet.
  void Restart();
  void Signal(int signal);
  // Ends the process if it still runs.
  void Kill();
  // Whether the process has ended; `how` is filled in then.
  bool Ended(std::string* how);
  bool AwaitReady(double seconds);
  const InstanceOptions& options() const { return options_; }
  pid_t pid() const { return pid_; }
  std::string log_path() const;

 private:
  InstanceOptions options_;
  pid_t pid_ = -1;
  bool ended_ = false;
  std::string how_;
};

// A loopback address that hardly any other program uses, and the folder of
// the case.
std::string CaseIp(int index);
std::string TemporaryFolder();
void RemoveFolder(const std::string& folder);
bool TroubleWanted();
// Ends the program without waiting for the threads of its stand-ins.
[[noreturn]] void Exit(int status);

}  // namespace review

#endif  // REVIEW_STAND_IN_2_STAND_IN_H_
