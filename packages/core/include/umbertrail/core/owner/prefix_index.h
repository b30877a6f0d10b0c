#ifndef UMBERTRAIL_CORE_OWNER_PREFIX_INDEX_H_
#define UMBERTRAIL_CORE_OWNER_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// The prompt prefixes that one target is believed to hold in its cache, from
// events that come late and with gaps. A gap may hide removals, so what is held
// is trusted less with each gap and no longer after two, unless it is added
// again. A new boot forgets everything. Holds at most `max_entries`, dropping
// the one used least recently. A wrong entry costs time, never correctness.
class PrefixIndex {
 public:
  // Precondition: max_entries > 0.
  explicit PrefixIndex(size_t max_entries);

  // Takes in the events of a report of `boot`, oldest first. Events seen before
  // are skipped. Cost: linear in the events.
  void OnEvents(const BootId& boot, const std::vector<CacheEvent>& events);

  // Length of the longest mark that the target is believed to hold; zero when
  // none. Cost: linear in the marks.
  Tokens Matched(const std::vector<PrefixMark>& marks) const;

  // As Matched(), and keeps the prefix from being dropped soon.
  Tokens Use(const std::vector<PrefixMark>& marks);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Tokens length;
    uint64_t gaps_before = 0;  // value of gaps_ when it was last added
    std::list<PrefixHash>::iterator place;
  };

  void Apply(const CacheEvent& event);
  void Add(const PrefixMark& mark);
  void Remove(PrefixHash hash);
  bool Trusted(const Entry& entry) const;

  size_t max_entries_;
  BootId boot_;
  uint64_t last_sequence_ = 0;
  uint64_t gaps_ = 0;
  absl::flat_hash_map<PrefixHash, Entry> entries_;
  std::list<PrefixHash> by_use_;  // most recent first
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_PREFIX_INDEX_H_
