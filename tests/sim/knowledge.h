#ifndef UMBERTRAIL_TESTS_SIM_KNOWLEDGE_H_
#define UMBERTRAIL_TESTS_SIM_KNOWLEDGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace umbertrail::sim {

// When one life of an instance was there.
struct Life {
  uint64_t id = 0;
  std::string name;
  absl::Time started;
  absl::Time ended = absl::InfiniteFuture();
};

// Which instances can know of an event: instances keep nothing, so what all
// that knew have taken with them, or kept behind a partition, is gone.
class Knowledge {
 public:
  // From now on `far_side` can't reach the others; replaces what was before.
  void Part(absl::Time now, absl::Time until, std::set<std::string> far_side);
  // All can reach each other again.
  void Heal(absl::Time now);

  // Whether at `until` some instance is there that must know of an event that
  // `witness` saw at `since`.
  bool Kept(const std::vector<Life>& lives,
            const Life& witness,
            absl::Time since,
            absl::Time until) const;

 private:
  struct Partition {
    absl::Time from;
    absl::Time until;
    std::set<std::string> far_side;
  };

  // The first moment from `since` on after which the two reach each other for
  // `span` without a break.
  absl::Time InTouchFrom(const std::string& a,
                         const std::string& b,
                         absl::Time since,
                         absl::Duration span) const;

  std::vector<Partition> partitions_;
};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_KNOWLEDGE_H_
