#ifndef UMBERTRAIL_CORE_FLEET_PART_STORE_H_
#define UMBERTRAIL_CORE_FLEET_PART_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/fleet/config.h"

namespace umbertrail::core {

// Parts of manifests by the hash of their content, and the fetching of those
// that lack. A part is asked of the peers that offered a head with it, then of
// the configuration service, in turn, with a growing jittered wait.
class PartStore {
 public:
  // `random` must outlive the store.
  PartStore(const FleetConfig& config, RandomSource* random);

  // The part's bytes; null when it isn't held.
  const std::string* Find(const std::string& hash) const;

  // Wants a part; `offered_by` is a peer that holds it. Asks for it at once
  // when nobody was asked so far.
  void Want(absl::Time now,
            const std::string& hash,
            const std::optional<InstanceId>& offered_by,
            Actions* actions);

  // A part came. Kept when it is wanted and its bytes have the hash; otherwise
  // the next source is asked. Returns whether it was kept.
  bool OnPart(absl::Time now,
              const std::string& hash,
              const std::string& bytes,
              Actions* actions);

  // Asks again where an answer is overdue.
  void OnTick(absl::Time now, Actions* actions);

  // Drops all parts and fetches that aren't named.
  void KeepOnly(const std::set<std::string>& hashes);

  // Bytes held.
  size_t bytes() const;

 private:
  struct Fetch {
    std::vector<InstanceId> offered_by;
    int tries = 0;
    absl::Time next_try;
  };

  void Ask(absl::Time now,
           const std::string& hash,
           Fetch* fetch,
           Actions* actions);

  const FleetConfig config_;
  RandomSource* const random_;
  std::map<std::string, std::string> parts_;
  std::map<std::string, Fetch> fetches_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_PART_STORE_H_
