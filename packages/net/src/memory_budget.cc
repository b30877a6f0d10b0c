#include "umbertrail/net/memory_budget.h"

#include <algorithm>
#include <limits>

namespace umbertrail::net {
namespace {

// Sixteenths of the budget for each use, in the order of MemoryUse. Bodies are
// the largest legal buffers and have half.
constexpr std::array<size_t, kMemoryUses> kSixteenths = {5, 8, 3};
// Large enough never to be reached, small enough for sums.
constexpr size_t kUnlimited = std::numeric_limits<size_t>::max() / 4;

}  // namespace

absl::string_view NameOf(MemoryUse use) {
  switch (use) {
    case MemoryUse::kConnections:
      return "connections";
    case MemoryUse::kBodies:
      return "bodies";
    case MemoryUse::kResponses:
      return "responses";
  }
  return "unknown";
}

absl::string_view NameOf(ShedReason reason) {
  switch (reason) {
    case ShedReason::kNoMemory:
      return "no_memory";
    case ShedReason::kStalledRequest:
      return "stalled_request";
    case ShedReason::kUnreadResponse:
      return "unread_response";
    case ShedReason::kIdleConnection:
      return "idle_connection";
    case ShedReason::kNewConnection:
      return "new_connection";
  }
  return "unknown";
}

MemoryBudget::MemoryBudget() : size_(kUnlimited) {
  parts_.fill(kUnlimited);
}

void MemoryBudget::SetSize(size_t bytes) {
  size_ = bytes;
  for (size_t i = 0; i < kMemoryUses; ++i) {
    parts_[i] = bytes / 16 * kSixteenths[i];
  }
}

bool MemoryBudget::MakeRoom(const MemoryDemand& demand) {
  for (MemoryReclaimer* reclaimer : reclaimers_) {
    if (HasRoom(demand.use, demand.bytes)) {
      return true;
    }
    reclaimer->Reclaim(demand);
  }
  return HasRoom(demand.use, demand.bytes);
}

void MemoryBudget::Add(MemoryReclaimer* reclaimer) {
  reclaimers_.push_back(reclaimer);
}

void MemoryBudget::Remove(MemoryReclaimer* reclaimer) {
  reclaimers_.erase(
      std::remove(reclaimers_.begin(), reclaimers_.end(), reclaimer),
      reclaimers_.end());
}

void MemoryBudget::NoteShed(ShedReason reason) const {
  if (on_shed_) {
    on_shed_(reason);
  }
}

void MemoryBudget::Change(MemoryUse use, size_t before, size_t after) {
  used_[Index(use)] += after - before;
  total_ += after - before;
  if (total_ > peak_) {
    peak_ = total_;
  } else if (total_ < peak_ / 2 && peak_ > size_ / 4) {
    peak_ = total_;
    if (on_drained_) {
      on_drained_();
    }
  }
}

}  // namespace umbertrail::net
