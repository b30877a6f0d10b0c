#ifndef UMBERTRAIL_TESTS_SIM_PLATFORM_H_
#define UMBERTRAIL_TESTS_SIM_PLATFORM_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/events.h"
#include "umbertrail/manifest.h"

namespace umbertrail::sim {

// What the operator published and the lists of instances and targets, with
// their history, so that a reader can be shown an older state.
class FakePlatform {
 public:
  struct State {
    absl::Time at;
    uint64_t version = 0;
    manifest::Head head;
    std::vector<core::InstanceInfo> instances;
    std::vector<core::TargetInfo> targets;
  };

  // Publishes the next revision of `manifest`.
  void Publish(absl::Time now, manifest::Manifest manifest);
  void SetInstances(absl::Time now, std::vector<core::InstanceInfo> instances);
  void SetTargets(absl::Time now, std::vector<core::TargetInfo> targets);

  // The state that a reader sees whose view is `lag` old.
  const State& Seen(absl::Time now, absl::Duration lag) const;
  const State& Latest() const { return history_.back(); }
  const manifest::Manifest& manifest() const { return manifest_; }
  // Null when no part has this hash.
  const std::string* FindPart(const std::string& hash) const;

 private:
  State& Next(absl::Time now);

  manifest::Manifest manifest_;
  std::map<std::string, std::string> parts_;
  std::vector<State> history_;
};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_PLATFORM_H_
