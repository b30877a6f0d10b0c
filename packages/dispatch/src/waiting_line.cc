#include "umbertrail/dispatch/waiting_line.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace umbertrail::dispatch {
namespace {

// Waiting time that counts as much as one step of urgency. Clients leave after
// a few seconds, so the least urgent gets its turn before it has to leave.
constexpr absl::Duration kAgeingStep = absl::Seconds(1);

auto OrderOf(const WaitingRank& rank, absl::Time now) {
  const int64_t steps =
      std::max<int64_t>(0, absl::ToInt64Milliseconds(now - rank.since) /
                               absl::ToInt64Milliseconds(kAgeingStep));
  return std::make_tuple(rank.urgency - steps, rank.above_share && steps == 0,
                         !rank.can_be_on_time, rank.since);
}

}  // namespace

bool RanksBefore(const WaitingRank& a, const WaitingRank& b, absl::Time now) {
  return OrderOf(a, now) < OrderOf(b, now);
}

bool WaitingLine::Put(WaitingRequest request, absl::Time now) {
  Remove(request.key);
  if (entries_.size() < kMaxLength) {
    entries_.push_back(std::move(request));
    return true;
  }
  const auto last =
      std::max_element(entries_.begin(), entries_.end(),
                       [now](const WaitingRequest& a, const WaitingRequest& b) {
                         return RanksBefore(a.rank, b.rank, now);
                       });
  if (!RanksBefore(request.rank, last->rank, now)) {
    return false;
  }
  *last = std::move(request);
  return true;
}

bool WaitingLine::Remove(WaitingKey key) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [key](const WaitingRequest& one) { return one.key == key; });
  if (found == entries_.end()) {
    return false;
  }
  entries_.erase(found);
  return true;
}

void WaitingLine::RemoveLapsed(absl::Time now) {
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [now](const WaitingRequest& one) {
                                  return now >= one.lapses_at;
                                }),
                 entries_.end());
}

std::vector<const WaitingRequest*> WaitingLine::Before(WaitingKey key,
                                                       const WaitingRank& rank,
                                                       absl::Time now) const {
  std::vector<const WaitingRequest*> before;
  for (const WaitingRequest& one : entries_) {
    if (one.key != key && RanksBefore(one.rank, rank, now)) {
      before.push_back(&one);
    }
  }
  return before;
}

const WaitingRequest* WaitingLine::Find(WaitingKey key) const {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [key](const WaitingRequest& one) { return one.key == key; });
  return found == entries_.end() ? nullptr : &*found;
}

}  // namespace umbertrail::dispatch
