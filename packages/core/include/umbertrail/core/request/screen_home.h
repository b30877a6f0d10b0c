#ifndef UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_
#define UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"

namespace umbertrail::core {

// The home of some fingerprints: counts the open runs and the deaths of each,
// so that copies of one content sent through any instances kill at most
// kDeathLimit targets. Content that has run to its end is not limited again
// until a target dies under it.
class ScreenHome {
 public:
  static constexpr uint32_t kDeathLimit = 2;
  // A caller that sends the same content again does so within minutes.
  static constexpr absl::Duration kMemory = absl::Minutes(30);
  // At 200 bytes an entry this stays far under a node's memory limit.
  static constexpr std::size_t kMaxEntries = 50000;

  explicit ScreenHome(const Mutations* mutations);

  // Asking again for a request that holds a run is idempotent.
  ScreenReply OnRequest(absl::Time now,
                        const InstanceRef& from,
                        const ScreenRequest& request);
  void OnEnded(absl::Time now,
               const InstanceRef& from,
               const ScreenEnded& ended);
  // Frees the runs of an incarnation that is over.
  void OnHolderGone(const InstanceRef& holder);

  // Forgets what is older than kMemory. Cost: linear, at most once a minute.
  void OnTick(absl::Time now);

  std::vector<QuarantineStatus> Status() const;

 private:
  struct Run {
    InstanceRef holder;
    RequestId request;
    absl::Time expires;
  };
  struct Entry {
    uint32_t deaths = 0;
    bool proven = false;
    absl::Time touched;
    std::vector<Run> runs;
  };

  ScreenVerdict Judge(const Entry& entry) const;
  void DropExpiredRuns(absl::Time now, Entry* entry) const;

  const Mutations* mutations_;
  std::map<Fingerprint, Entry> entries_;
  absl::Time swept_ = absl::InfinitePast();
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_SCREEN_HOME_H_
