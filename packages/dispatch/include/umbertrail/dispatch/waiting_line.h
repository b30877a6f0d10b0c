#ifndef UMBERTRAIL_DISPATCH_WAITING_LINE_H_
#define UMBERTRAIL_DISPATCH_WAITING_LINE_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/load_board.h"

// Requests that can't be placed now and were told when to ask again.

namespace umbertrail::dispatch {

// Position of a request among others that want the same targets.
struct WaitingRank {
  // 0 is the most urgent.
  int urgency = 0;
  // Its client account is above its fair share.
  bool above_share = false;
  // Its first event can still meet its SLO.
  bool can_be_on_time = true;
  // The request's arrival.
  absl::Time since;
};

// Whether `a` goes first at `now`: the most urgent, then accounts below their
// share, then requests that can still be on time, then the longest wait. Each
// second of waiting makes a request one step more urgent, and after one it goes
// before later requests whatever its account's share is.
bool RanksBefore(const WaitingRank& a, const WaitingRank& b, absl::Time now);

// Identifies a request when it asks again.
using WaitingKey = uint64_t;

struct WaitingRequest {
  WaitingKey key = 0;
  WaitingRank rank;
  // The entry is dropped if the request hasn't asked again by then.
  absl::Time lapses_at;
  // Load that it would add where it would be placed; empty if nowhere yet.
  std::vector<std::pair<TargetId, WorkItem>> room;
};

// Bounded in length by kMaxLength and in time by `lapses_at`. Costs are linear
// in the length.
class WaitingLine {
 public:
  static constexpr size_t kMaxLength = 64;

  // Adds a request, or replaces the entry with its key. If the line is full,
  // the last request in order is dropped; false if it is this one.
  bool Put(WaitingRequest request, absl::Time now);
  // True if there was an entry with that key.
  bool Remove(WaitingKey key);
  void RemoveLapsed(absl::Time now);
  // The entries that rank before a request, except its own.
  std::vector<const WaitingRequest*> Before(WaitingKey key,
                                            const WaitingRank& rank,
                                            absl::Time now) const;
  const WaitingRequest* Find(WaitingKey key) const;
  size_t size() const { return entries_.size(); }

 private:
  std::vector<WaitingRequest> entries_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_WAITING_LINE_H_
