#include "umbertrail/core/owner/holder_table.h"

#include <iterator>

namespace umbertrail::core {
namespace {

// Messages of a former life arrive at most this late.
constexpr absl::Duration kLatestMessage = absl::Seconds(5);
// A life that was not heard or asked of for this long is forgotten.
constexpr absl::Duration kForgetAfter = absl::Hours(1);
// More lives than this are thinned out.
constexpr size_t kMaxLives = 4096;

}  // namespace

HolderTable::HolderTable(const OwnerConfig* config) : config_(config) {}

void HolderTable::OnHeard(absl::Time now, const InstanceRef& holder) {
  Life& life = lives_[holder];
  life.heard_at = now;
  life.heard = true;
  if (lives_.size() > kMaxLives) {
    DropForgotten(now);
  }
}

void HolderTable::OnGone(const InstanceRef& holder) {
  lives_[holder].gone = true;
}

void HolderTable::OnList(absl::Time now,
                         const std::vector<InstanceInfo>& instances) {
  if (instances.empty()) {
    return;
  }
  list_read_at_ = now;
  for (const InstanceInfo& instance : instances) {
    listed_at_[instance.id] = now;
  }
  for (auto it = listed_at_.begin(); it != listed_at_.end();) {
    const bool old = now - it->second > kForgetAfter;
    it = old ? listed_at_.erase(it) : std::next(it);
  }
}

HolderLife HolderTable::LifeOf(absl::Time now, const InstanceRef& holder) {
  const auto [it, added] = lives_.try_emplace(holder, Life{now});
  Life& life = it->second;
  if (life.gone || Replaced(holder, life) || Vanished(now, holder, life)) {
    life.gone = true;
    return HolderLife::kGone;
  }
  const bool recent = now - life.heard_at < config_->grant_silence;
  return life.heard && recent ? HolderLife::kAlive : HolderLife::kUnknown;
}

bool HolderTable::Replaced(const InstanceRef& holder, const Life& life) const {
  auto it = lives_.lower_bound(InstanceRef{holder.id, Incarnation(0)});
  for (; it != lives_.end() && it->first.id == holder.id; ++it) {
    const bool other = it->first != holder && it->second.heard;
    if (other && it->second.heard_at > life.heard_at + kLatestMessage) {
      return true;
    }
  }
  return false;
}

bool HolderTable::Vanished(absl::Time now,
                           const InstanceRef& holder,
                           const Life& life) const {
  // Without a list read lately, absence from it says nothing.
  if (now - list_read_at_ > config_->holder_silence) {
    return false;
  }
  const auto it = listed_at_.find(holder.id);
  const bool listed =
      it != listed_at_.end() && now - it->second <= config_->holder_silence;
  return !listed && now - life.heard_at > config_->holder_silence;
}

void HolderTable::DropForgotten(absl::Time now) {
  for (auto it = lives_.begin(); it != lives_.end();) {
    const bool old = now - it->second.heard_at > kForgetAfter;
    it = old ? lives_.erase(it) : std::next(it);
  }
}

}  // namespace umbertrail::core
