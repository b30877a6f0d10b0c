#ifndef UMBERTRAIL_TOOLS_STANDINS_CONFIG_STATE_H_
#define UMBERTRAIL_TOOLS_STANDINS_CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace umbertrail::standin {

// What a directory publishes. Files: `manifest.yaml`, a whole manifest, or else
// `head.json` with {"revision", "parts": [{"name", "file"}]} and the parts'
// files; beside it `instances.json` and `targets.json`.
struct PublishedState {
  nlohmann::json head;
  std::map<std::string, std::string> parts;  // by hash
  nlohmann::json instances = nlohmann::json::array();
  nlohmann::json targets = nlohmann::json::array();
};

// Reads a directory; nothing while a file is absent, half
// written or invalid.
std::optional<PublishedState> ReadPublished(const std::string& directory);

// The state of a configuration service stand-in: published values with their
// versions, lists that lag, and faults. Thread-safe.
class ConfigState {
 public:
  struct Faults {
    // Every call is answered with an error.
    bool down = false;
    // Answers stay what they were when this was set.
    bool stale = false;
    // How late the lists show a change.
    absl::Duration list_lag;
  };

  struct Query {
    uint64_t after = 0;
    absl::Duration wait;
    uint64_t instances = 0;
    uint64_t targets = 0;
  };

  // Takes what is published now; parts once served stay readable.
  void Publish(PublishedState state, absl::Time now);
  // Shows list changes whose lag has passed.
  void Advance(absl::Time now);

  // Waits for a change past the query's version; nothing while down.
  std::optional<nlohmann::json> Watch(const Query& query);
  // The part's bytes; nothing when it is not known or while down.
  std::optional<std::string> Part(const std::string& hash);

  void SetFaults(const Faults& faults);
  Faults faults() const;
  nlohmann::json Counters() const;
  // Ends waiting watches.
  void Stop();

 private:
  struct ListChange {
    absl::Time visible_at;
    nlohmann::json instances;
    nlohmann::json targets;
  };
  struct Shown {
    uint64_t version = 0;
    nlohmann::json head;
    uint64_t instances_version = 0;
    nlohmann::json instances;
    uint64_t targets_version = 0;
    nlohmann::json targets;
  };

  void ShowLists(const ListChange& change)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  const Shown& Visible() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  Shown current_ ABSL_GUARDED_BY(mutex_);
  // What is answered while stale.
  Shown frozen_ ABSL_GUARDED_BY(mutex_);
  std::deque<ListChange> changes_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> parts_ ABSL_GUARDED_BY(mutex_);
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t watches_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t part_reads_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_CONFIG_STATE_H_
