#ifndef UMBERTRAIL_TESTS_FRONT_RUNNING_FRONT_H_
#define UMBERTRAIL_TESTS_FRONT_RUNNING_FRONT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "front/stand_in_store.h"
#include "umbertrail/front/front.h"

namespace umbertrail::testing {

// Settings of one instance on loopback, with free ports.
adapter::InstanceSettings LoopbackSettings(const StandInStore& store);

// Runs one instance on its own thread.
class RunningFront {
 public:
  // Log lines are discarded.
  explicit RunningFront(const adapter::InstanceSettings& settings,
                        const dispatch::Features& features = {});
  // Stops the instance without draining.
  ~RunningFront();

  const std::string& callers() const { return settings_.callers_address; }
  const std::string& readiness() const { return settings_.readiness_address; }
  // Blocks until the instance reports ready.
  void AwaitReady() const;
  // Blocks until the instance answers requests.
  void AwaitListening() const;
  bool IsReady() const;
  void RequestStop() { front_->RequestStop(); }
  // Blocks until the instance has exited by itself.
  void AwaitExit();
  bool exited() const { return exited_; }
  // Why the instance didn't serve; empty if it did. Known after its exit.
  const std::string& error() const { return error_; }

 private:
  adapter::InstanceSettings settings_;
  int log_fd_;
  std::unique_ptr<front::Front> front_;
  std::string error_;
  std::atomic<bool> exited_{false};
  std::thread thread_;
};

// A configuration with one service "llm" of engines, routes /safe/, /once/,
// /stream/, /quick/ and /live/ on host "a.example", and one key "k1" of account
// "club". /quick/ allows three attempts, /once/ and /live/ one, the others two;
// the latency targets of /quick/ are a tenth of the others'. Streams of /live/
// can't be resumed.
std::string SampleConfig(int version);
// A store entry for a target of that service.
std::string ServerEntry(const std::string& address, const std::string& state);
// As ServerEntry, with the time of the target's start in Unix milliseconds.
std::string BornServerEntry(const std::string& address,
                            const std::string& state,
                            int64_t born_ms);
// A request with the platform's headers.
std::string PlatformRequest(const std::string& path,
                            const std::string& attempt_id,
                            const std::string& key);

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_FRONT_RUNNING_FRONT_H_
