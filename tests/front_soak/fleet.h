#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_FLEET_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "child_process.h"
#include "front/stand_in_store.h"
#include "judge.h"
#include "stand_in_target.h"

namespace umbertrail::soak {

// Real instances of `umbertraild front`, each on a loopback address of its own,
// with a store and targets that this process plays. Its functions are for one
// thread, but for AnyInstance.
class Fleet {
 public:
  // `daemon` is the program; settings and logs go into the directory `work`.
  Fleet(std::string daemon,
        std::string work,
        int instances,
        int targets,
        Judge* judge);
  ~Fleet();

  // -- Faults

  void Kill(int instance);
  // A planned stop; the judge hears when it is not over in time.
  void Stop(int instance);
  void Freeze(int instance, absl::Duration time);
  void Start(int instance);
  void CrashTarget(int target);
  // Leaves as planned: it drains, ends when idle, and another takes its place.
  void ReplaceTarget(int target);
  StandInTarget& target(int i) { return *targets_[static_cast<size_t>(i)]; }
  testing::StandInStore& store() { return store_; }
  // After the store came back from an older copy: the operator and the targets
  // write again what stands, and what had ended ends again.
  void WriteAgain(bool with_second_key);
  // Publishes the next configuration, with the second account's key or not.
  void Publish(bool with_second_key);

  // Returns whether all instances say within `limit` that they are ready.
  bool AwaitReady(absl::Duration limit) const;
  int instances() const { return static_cast<int>(instances_.size()); }
  int targets() const { return static_cast<int>(targets_.size()); }
  bool IsUp(int instance) const;
  // Where callers reach the instance.
  std::string AddressOf(int instance) const;

 private:
  struct Instance {
    std::string ip;
    std::string settings;
    std::unique_ptr<ChildProcess> process;
  };

  std::string SettingsOf(int instance) const;
  void StartTarget(size_t target);
  void PutTarget(const StandInTarget& target, const std::string& state);

  const std::string daemon_;
  const std::string work_;
  Judge* judge_;
  testing::StandInStore store_;
  int caller_port_ = 0;
  int ready_port_ = 0;
  int peer_port_ = 0;
  int version_ = 0;
  int lives_ = 0;
  std::vector<std::unique_ptr<StandInTarget>> targets_;
  // Replaced ones that may still have work.
  std::vector<std::unique_ptr<StandInTarget>> leaving_;
  // Targets whose entries were taken out of the store.
  std::vector<std::string> ended_;
  std::vector<Instance> instances_;
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_FLEET_H_
