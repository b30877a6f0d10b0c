#ifndef UMBERTRAIL_DAEMON_DAEMON_H_
#define UMBERTRAIL_DAEMON_DAEMON_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/daemon/settings.h"

namespace umbertrail::daemon {

// Reads the files that the settings name (keys, certificates) and returns what
// is wrong with them. Starts nothing.
std::vector<SettingFault> CheckFiles(const Settings& settings,
                                     const std::string& settings_path);

// One whole instance: its threads, listeners and clients around a node.
class Daemon {
 public:
  // Starts nothing yet. Precondition: CheckFiles() found no fault.
  explicit Daemon(Settings settings);
  // Ends everything at once; callers in flight are cut off unless Stop() came
  // first.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Binds the listeners and starts the threads; on a fault nothing runs.
  Result<Done> Start();

  // The bound addresses. Precondition: Start() succeeded.
  std::string callers_address() const;
  std::string admin_address() const;

  // Takes the reloadable part of `wanted`, and reads the peer keys again. A key
  // file that can't be used leaves the former keys in force and is returned.
  Result<Reload> ReloadSettings(const Settings& wanted);

  // Begins the graceful stop: not ready at once, the node refuses new work and
  // finishes or hands over the rest.
  void RequestStop();
  // Whether the node is done, waiting at most `limit`.
  bool AwaitStopComplete(absl::Duration limit);
  // Lets the answers in flight be read and the last messages reach their
  // peers, then ends all threads.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_DAEMON_H_
