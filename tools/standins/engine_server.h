#ifndef UMBERTRAIL_TOOLS_STANDINS_ENGINE_SERVER_H_
#define UMBERTRAIL_TOOLS_STANDINS_ENGINE_SERVER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/engine_model.h"

namespace httplib {
class Server;
}

namespace umbertrail::standin {

struct EngineServerSettings {
  EngineSettings engine;
  uint64_t seed = 1;
  // Weight store; without one, models load at once.
  std::string weights_address;
};

// The HTTP side of an engine stand-in: the documented protocol and, under
// /standin/, counters and faults.
class EngineServer {
 public:
  explicit EngineServer(EngineServerSettings settings);
  ~EngineServer();

  // Adds the handlers; `server` must not outlive this object.
  void Mount(httplib::Server& server);

  // Ends streams, so that handlers return.
  void Stop();

 private:
  class Handlers;

  void RunSteps();
  void StartLoad(std::string model,
                 std::string version,
                 std::vector<std::string> adapters,
                 absl::Duration time);

  const EngineServerSettings settings_;
  EngineModel model_;
  // Set while every new call is left without an answer.
  std::atomic<bool> silent_{false};
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  bool loading_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread loader_ ABSL_GUARDED_BY(mutex_);
  std::thread stepper_;
};

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_ENGINE_SERVER_H_
