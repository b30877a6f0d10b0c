#include "umbertrail/core/fleet/part_store.h"

#include <algorithm>

#include "umbertrail/manifest.h"

namespace umbertrail::core {
namespace {

// Peers remembered as holders of one part.
constexpr size_t kMaxOffers = 3;
// The wait between tries doubles this many times at most.
constexpr int kMaxDoublings = 4;

}  // namespace

PartStore::PartStore(const FleetConfig& config, RandomSource* random)
    : config_(config), random_(random) {}

const std::string* PartStore::Find(const std::string& hash) const {
  const auto it = parts_.find(hash);
  return it == parts_.end() ? nullptr : &it->second;
}

void PartStore::Want(absl::Time now,
                     const std::string& hash,
                     const std::optional<InstanceId>& offered_by,
                     Actions* actions) {
  if (parts_.count(hash) > 0) {
    return;
  }
  const auto [it, added] = fetches_.try_emplace(hash);
  std::vector<InstanceId>& offers = it->second.offered_by;
  if (offered_by.has_value() && offers.size() < kMaxOffers &&
      std::find(offers.begin(), offers.end(), *offered_by) == offers.end()) {
    offers.push_back(*offered_by);
  }
  if (added) {
    Ask(now, hash, &it->second, actions);
  }
}

bool PartStore::OnPart(absl::Time now,
                       const std::string& hash,
                       const std::string& bytes,
                       Actions* actions) {
  const auto it = fetches_.find(hash);
  if (it == fetches_.end()) {
    return false;
  }
  if (manifest::ContentHash(bytes) != hash) {
    // One round over all sources goes without a wait.
    const int sources = static_cast<int>(it->second.offered_by.size()) + 1;
    if (it->second.tries < sources) {
      Ask(now, hash, &it->second, actions);
    }
    return false;
  }
  parts_[hash] = bytes;
  fetches_.erase(it);
  return true;
}

void PartStore::OnTick(absl::Time now, Actions* actions) {
  for (auto& [hash, fetch] : fetches_) {
    if (fetch.next_try <= now) {
      Ask(now, hash, &fetch, actions);
    }
  }
}

void PartStore::KeepOnly(const std::set<std::string>& hashes) {
  const auto drop = [&](auto* map) {
    for (auto it = map->begin(); it != map->end();) {
      it = hashes.count(it->first) > 0 ? std::next(it) : map->erase(it);
    }
  };
  drop(&parts_);
  drop(&fetches_);
}

size_t PartStore::bytes() const {
  size_t n = 0;
  for (const auto& it : parts_) {
    n += it.first.size() + it.second.size();
  }
  return n;
}

void PartStore::Ask(absl::Time now,
                    const std::string& hash,
                    Fetch* fetch,
                    Actions* actions) {
  const int sources = static_cast<int>(fetch->offered_by.size()) + 1;
  const int source = fetch->tries % sources;
  if (source < sources - 1) {
    actions->push_back(SendPeer{fetch->offered_by[source], PartRequest{hash}});
  } else {
    actions->push_back(ReadPart{hash});
  }
  const int doublings = std::min(fetch->tries / sources, kMaxDoublings);
  const double jitter = 0.75 + random_->Fraction() / 2;
  fetch->next_try = now + config_.part_retry * (1 << doublings) * jitter;
  ++fetch->tries;
}

}  // namespace umbertrail::core
