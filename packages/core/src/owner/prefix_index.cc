#include "umbertrail/core/owner/prefix_index.h"

#include <algorithm>

namespace umbertrail::core {
namespace {

// An entry is trusted through this many gaps after it was last added.
constexpr uint64_t kTrustedGaps = 2;

}  // namespace

PrefixIndex::PrefixIndex(size_t max_entries) : max_entries_(max_entries) {}

void PrefixIndex::OnEvents(const BootId& boot,
                           const std::vector<CacheEvent>& events) {
  if (boot != boot_) {
    boot_ = boot;
    last_sequence_ = 0;
    entries_.clear();
    by_use_.clear();
  }
  for (const CacheEvent& event : events) {
    if (event.sequence <= last_sequence_) {
      continue;
    }
    if (event.sequence != last_sequence_ + 1) {
      ++gaps_;
    }
    last_sequence_ = event.sequence;
    Apply(event);
  }
}

Tokens PrefixIndex::Matched(const std::vector<PrefixMark>& marks) const {
  Tokens best;
  for (const PrefixMark& mark : marks) {
    const auto it = entries_.find(mark.hash);
    if (it != entries_.end() && Trusted(it->second)) {
      best = std::max(best, mark.length);
    }
  }
  return best;
}

Tokens PrefixIndex::Use(const std::vector<PrefixMark>& marks) {
  for (const PrefixMark& mark : marks) {
    const auto it = entries_.find(mark.hash);
    if (it != entries_.end()) {
      by_use_.splice(by_use_.begin(), by_use_, it->second.place);
    }
  }
  return Matched(marks);
}

void PrefixIndex::Apply(const CacheEvent& event) {
  if (event.added) {
    Add(event.mark);
  } else {
    Remove(event.mark.hash);
  }
}

void PrefixIndex::Add(const PrefixMark& mark) {
  Remove(mark.hash);
  by_use_.push_front(mark.hash);
  entries_[mark.hash] = Entry{mark.length, gaps_, by_use_.begin()};
  if (entries_.size() > max_entries_) {
    Remove(by_use_.back());
  }
}

void PrefixIndex::Remove(PrefixHash hash) {
  const auto it = entries_.find(hash);
  if (it == entries_.end()) {
    return;
  }
  by_use_.erase(it->second.place);
  entries_.erase(it);
}

bool PrefixIndex::Trusted(const Entry& entry) const {
  return gaps_ - entry.gaps_before < kTrustedGaps;
}

}  // namespace umbertrail::core
