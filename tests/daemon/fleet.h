#ifndef UMBERTRAIL_TESTS_DAEMON_FLEET_H_
#define UMBERTRAIL_TESTS_DAEMON_FLEET_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "absl/synchronization/mutex.h"
#include "standins/config_state.h"
#include "standins/engine_server.h"
#include "umbertrail/daemon/daemon.h"

// Whole daemons in this process, before stand-ins of the platform and its
// targets.

namespace umbertrail::daemon {

// An HTTP server on a port of the kernel's choice, run on a thread of its own.
class TestServer {
 public:
  TestServer() = default;
  ~TestServer();

  httplib::Server& server() { return server_; }
  void Start();
  const std::string& address() const { return address_; }

 private:
  httplib::Server server_;
  std::string address_;
  std::thread thread_;
};

class TestEngine {
 public:
  explicit TestEngine(const std::string& name);
  ~TestEngine();
  const std::string& address() const { return http_.address(); }

 private:
  standin::EngineServer engine_;
  TestServer http_;
};

// A plain service whose call `file` counts its runs by body.
class TestService {
 public:
  TestService();
  const std::string& address() const { return http_.address(); }
  int RunsOf(const std::string& body);

 private:
  absl::Mutex mutex_;
  std::map<std::string, int> runs_;
  TestServer http_;
};

// A configuration service that publishes one manifest and the lists.
class TestPlatform {
 public:
  TestPlatform();
  ~TestPlatform();
  const std::string& address() const { return http_.address(); }
  void Publish(standin::PublishedState state);

 private:
  standin::ConfigState state_;
  std::atomic<bool> ending_{false};
  std::thread stepper_;
  TestServer http_;
};

// Two daemons, two engines and a service in one data centre. Its account is
// "club" with the secret "secret".
class Fleet {
 public:
  Fleet();
  ~Fleet();

  Daemon& daemon(size_t n) { return *daemons_.at(n); }
  // A client of daemon `n` that shows the account's key.
  httplib::Client Caller(size_t n);
  httplib::Client Admin(size_t n);
  TestService& service() { return service_; }

  // False when daemon `n` did not become ready.
  bool AwaitReady(size_t n);

 private:
  standin::PublishedState State() const;

  std::string directory_;
  TestEngine first_engine_{"engine-0"};
  TestEngine second_engine_{"engine-1"};
  TestService service_;
  TestPlatform platform_;
  std::vector<std::string> ids_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_TESTS_DAEMON_FLEET_H_
