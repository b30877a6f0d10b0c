#ifndef UMBERTRAIL_CORE_OWNER_HOLDER_TABLE_H_
#define UMBERTRAIL_CORE_OWNER_HOLDER_TABLE_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/owner/owner_config.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// Whether a life of an instance, as named by memory on a target, goes on.
enum class HolderLife { kAlive, kUnknown, kGone };

// What this instance knows of the lives of others. A life is gone when that
// was said for certain, when another life of the same address was heard of
// later, or when its address is neither listed nor heard of for a long time.
// A listed address that is merely silent stays unknown: it may be on the other
// side of a partition.
class HolderTable {
 public:
  // `config` must outlive the table.
  explicit HolderTable(const OwnerConfig* config);

  void OnHeard(absl::Time now, const InstanceRef& holder);
  void OnGone(const InstanceRef& holder);
  // The platform's list as read at `now`; an empty one tells nothing.
  void OnList(absl::Time now, const std::vector<InstanceInfo>& instances);

  // Cost: logarithmic. The first question about a life counts from `now`.
  HolderLife LifeOf(absl::Time now, const InstanceRef& holder);

  size_t size() const { return lives_.size(); }

 private:
  struct Life {
    absl::Time heard_at;  // or when it was first asked about
    bool heard = false;
    bool gone = false;
  };

  bool Replaced(const InstanceRef& holder, const Life& life) const;
  bool Vanished(absl::Time now,
                const InstanceRef& holder,
                const Life& life) const;
  void DropForgotten(absl::Time now);

  const OwnerConfig* config_;
  std::map<InstanceRef, Life> lives_;
  // When each address was last seen in a list.
  std::map<InstanceId, absl::Time> listed_at_;
  absl::Time list_read_at_ = absl::InfinitePast();
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_HOLDER_TABLE_H_
