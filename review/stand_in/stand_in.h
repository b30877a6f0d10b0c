#ifndef REVIEW_STAND_IN_STAND_IN_H_
#define REVIEW_STAND_IN_STAND_IN_H_

// Stand-ins for the platform's store, its process control, runners and clients,
// written from the users' pages. POSIX sockets and threads; loopback only.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Seconds on the steady clock since the first call.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);
// True unless the environment says TROUBLE=0.
bool Trouble();

// record.txt: what was sent, answered and run, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  FILE* file_;
};

// One HTTP/1.1 message. Header names are kept as sent, looked up without case.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // False when the connection ended, or the time was over, before its end.
  bool complete = false;
  bool head_read = false;

  std::string Header(const std::string& name) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

// A connected socket, closed by its destructor.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null if the connection isn't established within a second.
  static std::unique_ptr<Connection> To(const std::string& address);

  bool Write(const std::string& bytes);
  // Reads one message until `deadline`.
  Message Read(bool is_response, double deadline);
  // Reads the head of a response, and the rest of it.
  Message ReadHead(double deadline);
  Message ReadBody(const Message& head, double deadline);
  // True while the peer hasn't closed the connection.
  bool IsOpen();
  // Passes on what the two sides send, until one of them ends.
  static void Pump(Connection& a, Connection& b);
  // Wakes a thread that reads or writes here.
  void Shut();
  // The same, and the peer sees a reset.
  void Reset();

 private:
  bool Fill(double deadline);
  bool ReadRest(bool is_response, double deadline, Message* message);
  int fd_;
  std::string buffer_;
};

// Listens on a loopback address; a thread serves each connection, request by
// request. The handler returns false to close the connection.
class Server {
 public:
  using Handler =
      std::function<bool(const Message& request, Connection& connection)>;
  Server(const std::string& ip, Handler handler);
  // Serves connections, not requests.
  using RawHandler = std::function<void(Connection& connection)>;
  Server(const std::string& ip, RawHandler handler, bool raw);
  ~Server();
  std::string address() const { return address_; }
  // Closes the listener and all connections, as the end of a process does, or
  // resets them.
  void Stop(bool reset = false);

 private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);
  Handler handler_;
  RawHandler raw_handler_;
  int fd_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// The platform's store: items with revisions, ranges and watches.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  std::string address() const { return server_->address(); }
  // Returns the time of the acknowledgement.
  double Put(const std::string& key, const std::string& value);
  double Delete(const std::string& key);
  // While it is down, all calls are answered 503 and watches are cut.
  void SetDown(bool down);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    bool deleted = false;
  };
  bool Serve(const Message& request, Connection& connection);
  std::string Page(const std::string& after);
  std::string Events(uint64_t after);
  std::string ItemJson(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  uint64_t revision_ = 1;
  bool down_ = false;
  bool stopping_ = false;
  std::unique_ptr<Server> server_;
};

// A runner's entry in the store.
std::string RunnerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots,
                        const std::string& state,
                        int64_t born_ms);

std::string Response(int status,
                     const std::vector<std::string>& headers,
                     const std::string& body);
std::string Chunk(const std::string& bytes);

// Passes connections on to one address, until it is cut: then those that exist
// are reset and new ones are refused.
class Proxy {
 public:
  Proxy(const std::string& ip, std::string to);
  std::string address() const { return server_->address(); }
  void Cut() { server_->Stop(true); }

 private:
  void Pass(Connection& from);
  std::string to_;
  std::unique_ptr<Server> server_;
};

// The machines of a small deployment, one `umbertraild front` each, started
// with the command and variable of the deploy file.
class Fleet {
 public:
  struct Options {
    int machines = 8;
    int memory_mb = 260;
    std::vector<std::string> zones = {"couva", "penal", "siparia"};
    // The first machine's own address of the store, if it has one.
    std::string first_store_address;
  };
  Fleet(const Options& options,
        const std::string& net,
        const std::string& store_address,
        Record* record);
  ~Fleet();
  int size() const { return static_cast<int>(machines_.size()); }
  std::string front(int machine) const;
  const std::string& zone(int machine) const;
  bool AwaitReady(double limit_s);
  // Ends of processes that exceeded `memory_mb`, by machine; as the platform
  // does, they are killed and started again.
  std::vector<int> memory_kills();

 private:
  struct Machine {
    std::string ip;
    std::string zone;
    std::string settings;
    pid_t pid = -1;
    int memory_kills = 0;
    double start_at = 0;
    long peak_mb = 0;
  };
  void Start(Machine* machine, bool first);
  void Oversee();
  Options options_;
  Record* record_;
  std::string folder_;
  std::string store_address_;
  int front_port_;
  int ready_port_;
  int control_port_;
  int internal_port_;
  std::mutex mutex_;
  std::vector<Machine> machines_;
  std::atomic<bool> stopping_{false};
  std::thread overseer_;
};

// Three bytes of a loopback net that other runs on this machine don't use.
std::string LoopbackNet();

}  // namespace review

#endif  // REVIEW_STAND_IN_STAND_IN_H_
