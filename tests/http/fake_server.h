#ifndef UMBERTRAIL_TESTS_HTTP_FAKE_SERVER_H_
#define UMBERTRAIL_TESTS_HTTP_FAKE_SERVER_H_

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace umbertrail::testing {

// One accepted connection, with its bytes as they are.
class FakeConnection {
 public:
  explicit FakeConnection(int socket) : socket_(socket) {}

  // Reads a request with its body; empty when the client closed.
  std::string ReadRequest();
  // False once the client has closed the connection.
  bool Write(std::string_view bytes);
  // Returns when some bytes have arrived; they are read.
  void AwaitBytes();
  // As above, and leaves the bytes unread; false when the client closed.
  bool AwaitUnreadBytes();
  // Returns when the client has closed the connection.
  void AwaitClose();
  // Closes with a reset.
  void Reset();
  // Sends the end of the stream now; the connection stays open for reading.
  void EndSending();

 private:
  const int socket_;
};

// Reads requests until the client closes or `answer` returns false.
void ServeRequests(
    FakeConnection& connection,
    const std::function<bool(const std::string& request)>& answer);

// The requests that a server has had. Thread-safe.
class RequestLog {
 public:
  void Add(const std::string& request);
  std::vector<std::string> All() const;

 private:
  mutable absl::Mutex mutex_;
  std::vector<std::string> requests_ ABSL_GUARDED_BY(mutex_);
};

// A whole answer with its length.
std::string HttpAnswer(int status, const std::string& body);
// The head of a chunked stream of server-sent events.
std::string StreamHead();
// One event in a chunk of its own.
std::string StreamEvent(const std::string& data);
// The end of a chunked answer.
std::string StreamEnd();

// Accepts connections on a port chosen by the kernel and runs the script for
// each on a thread of its own.
class FakeServer {
 public:
  using Script = std::function<void(FakeConnection&)>;

  // Connections have a receive buffer of that size in bytes, or the system's
  // default.
  explicit FakeServer(Script script, int receive_buffer = 0);
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  // Closes all connections and refuses new ones, as a process that ended; may
  // be called from the script.
  void Crash();
  // Closes all connections and accepts new ones, as a process that was
  // restarted at once; may be called from the script.
  void CloseConnections();
  // Refuses new connections; open ones go on.
  void RefuseNewConnections();

  std::string address() const;
  // Connections that were ever accepted.
  int connections() const;

 private:
  void ShutDownConnections() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Accept();
  void Run(int socket);

  const Script script_;
  int listener_ = -1;
  int port_ = 0;
  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int connections_ ABSL_GUARDED_BY(mutex_) = 0;
  std::set<int> open_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  std::thread acceptor_;
};

// An address that refuses connections; another one at each call.
std::string RefusingAddress();

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_HTTP_FAKE_SERVER_H_
