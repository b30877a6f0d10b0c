#include "umbertrail/core/fleet/freshness.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace umbertrail::core {
namespace {

// The first read after a pause may answer a watch that was sent before it; the
// second was asked for after the first was handled.
constexpr int kReadsAfterPause = 2;

}  // namespace

Freshness::Freshness(const FleetConfig& config, const Mutations* mutations)
    : config_(config), mutations_(mutations) {}

bool Freshness::OnTime(absl::Time now) {
  const bool late = LatePast(now);
  last_event_ = std::max(last_event_, now);
  if (late) {
    paused_ = true;
    paused_at_ = now;
    service_reads_ = 0;
    service_reached_ = false;
  }
  fence_doubted_ = FenceDoubted(now);
  return late;
}

void Freshness::OnRevision(ManifestRevision revision) {
  revision_ = revision;
  if (newest_peer_ <= revision_) {
    behind_since_ = absl::InfiniteFuture();
  }
  if (newest_fence_ <= revision_) {
    fence_since_ = absl::InfiniteFuture();
    fence_doubted_ = false;
  }
  EndPauseIfConfirmed();
}

void Freshness::OnServiceRead(absl::Time now) {
  ++service_reads_;
  service_reached_ = true;
  if (paused_ && service_reads_ < kReadsAfterPause) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_, now);
  EndPauseIfConfirmed();
}

void Freshness::OnServiceLost() {
  service_reached_ = false;
}

void Freshness::OnPeerAnswer(absl::Time asked_at) {
  confirmed_at_ = std::max(confirmed_at_, asked_at);
  EndPauseIfConfirmed();
}

void Freshness::OnPeerRevision(absl::Time now, ManifestRevision revision) {
  if (revision <= newest_peer_) {
    return;
  }
  newest_peer_ = revision;
  if (revision > revision_) {
    behind_since_ = std::min(behind_since_, now);
  }
}

void Freshness::OnFence(absl::Time now,
                        const TargetId& target,
                        ManifestRevision fence) {
  if (fence <= newest_fence_) {
    return;
  }
  newest_fence_ = fence;
  if (fence > revision_) {
    fence_target_ = target;
    fence_since_ = std::min(fence_since_, now);
  }
}

void Freshness::OnStartProgress(absl::Time now,
                                int listed_others,
                                int answers) {
  if (started_) {
    return;
  }
  start_began_ = std::min(start_began_, now);
  const int wanted = std::min(config_.burst_peers, listed_others);
  const bool compared = wanted > 0 && answers >= wanted;
  const bool waited = now - start_began_ >= config_.start_wait;
  const bool confirmed = answers > 0 || service_reads_ > 0;
  if ((compared || (waited && confirmed)) && revision_.value() > 0 &&
      !Behind()) {
    started_ = true;
  }
}

bool Freshness::Behind() const {
  return newest_known() > revision_;
}

ManifestRevision Freshness::newest_known() const {
  const ManifestRevision fence =
      fence_doubted_ && started_ ? ManifestRevision() : newest_fence_;
  return std::max(newest_peer_, fence);
}

bool Freshness::MayDispatch(absl::Time now, bool alone) const {
  if (!started_) {
    return false;
  }
  const bool pause = paused_ || LatePast(now);
  if (pause && !mutations_->dispatch_unfresh_after_pause) {
    return false;
  }
  const absl::Time behind_since =
      fence_doubted_ ? behind_since_ : std::min(behind_since_, fence_since_);
  if (Behind() && now - behind_since > config_.behind_limit) {
    return false;
  }
  return alone || pause || Age(now) <= config_.isolation_limit;
}

absl::Duration Freshness::Age(absl::Time now) const {
  return now - confirmed_at_;
}

std::string Freshness::fault() const {
  if (newest_fence_ <= revision_) {
    return "";
  }
  return absl::StrCat("target ", fence_target_.text(),
                      " was ordered under revision ", newest_fence_.value(),
                      ", which is not in force here");
}

bool Freshness::LatePast(absl::Time now) const {
  return last_event_ != absl::InfinitePast() &&
         now - last_event_ > config_.tick_interval + config_.pause_threshold;
}

bool Freshness::FenceDoubted(absl::Time now) const {
  // Both kinds of source are in touch, and neither knows of it.
  const bool informed = service_reached_ && Age(now) <= config_.isolation_limit;
  return newest_fence_ > revision_ && newest_fence_ > newest_peer_ &&
         (fence_doubted_ ||
          (informed && now - fence_since_ > config_.fence_doubt_limit));
}

void Freshness::EndPauseIfConfirmed() {
  if (paused_ && confirmed_at_ >= paused_at_ && !Behind()) {
    paused_ = false;
  }
}

}  // namespace umbertrail::core
