#ifndef UMBERTRAIL_CORE_FLEET_FRESHNESS_H_
#define UMBERTRAIL_CORE_FLEET_FRESHNESS_H_

#include <optional>
#include <string>

#include "umbertrail/core/fleet/config.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// What confirmed the manifest in force, and when; decides whether new work may
// be dispatched. A confirmation is an answer to a question asked after the last
// pause, so that words that waited in a buffer confirm nothing.
class Freshness {
 public:
  // `mutations` must outlive the object.
  Freshness(const FleetConfig& config, const Mutations* mutations);

  // Every event passes here first. Returns true when the process was paused
  // before it: the event came later than the awaited tick by more than the
  // threshold.
  bool OnTime(absl::Time now);

  // The revision in force here.
  void OnRevision(ManifestRevision revision);
  // A head read from the service that isn't older than what is in force.
  void OnServiceRead(absl::Time now);
  // The service can't be reached, or serves what is older.
  void OnServiceLost();
  // A peer answered a query that was sent at `asked_at`.
  void OnPeerAnswer(absl::Time asked_at);
  // Any envelope tells what is in force at its sender.
  void OnPeerRevision(absl::Time now, ManifestRevision revision);
  // A target was ordered under `fence`.
  void OnFence(absl::Time now, const TargetId& target, ManifestRevision fence);
  // The first list came, or the start's comparison went on.
  void OnStartProgress(absl::Time now, int listed_others, int answers);

  // True once revision and peers were compared after the start.
  bool started() const { return started_; }
  // True until freshness is confirmed again after a pause.
  bool paused() const { return paused_; }
  // Whether a revision newer than the one in force is known to be in force
  // elsewhere.
  bool Behind() const;
  ManifestRevision newest_known() const;

  // Whether the awaited tick is so late that the process was paused.
  bool LatePast(absl::Time now) const;

  // Whether new work may be dispatched. `alone`: no other instance is listed.
  bool MayDispatch(absl::Time now, bool alone) const;
  // Time since the last confirmation; InfiniteDuration before the first.
  absl::Duration Age(absl::Time now) const;
  // Why a fence is doubted; empty when none is.
  std::string fault() const;

 private:
  bool FenceDoubted(absl::Time now) const;
  void EndPauseIfConfirmed();

  const FleetConfig config_;
  const Mutations* const mutations_;
  absl::Time last_event_ = absl::InfinitePast();
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Time paused_at_ = absl::InfinitePast();
  absl::Time start_began_ = absl::InfiniteFuture();
  int service_reads_ = 0;  // since start or the last pause
  bool service_reached_ = false;
  bool paused_ = false;
  bool started_ = false;
  ManifestRevision revision_;
  ManifestRevision newest_peer_;
  absl::Time behind_since_ = absl::InfiniteFuture();
  ManifestRevision newest_fence_;
  TargetId fence_target_;
  absl::Time fence_since_ = absl::InfiniteFuture();
  bool fence_doubted_ = false;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_FRESHNESS_H_
