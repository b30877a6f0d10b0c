#ifndef UMBERTRAIL_DISPATCH_LOAD_BOARD_H_
#define UMBERTRAIL_DISPATCH_LOAD_BOARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

// What runs at each target: this instance's own requests exactly, and those of
// its peers as they last told.

namespace umbertrail::dispatch {

// One request, or one part of a prompt, at one target.
struct WorkItem {
  // When it was sent.
  absl::Time sent_at;
  // Its prompt, or the part of it that is read there; zero at a plain service.
  Tokens prompt;
  // Time that reading that takes alone; zero at a plain service.
  absl::Duration prefill_time;
  // From sending it to its first event, as predicted.
  absl::Duration time_to_first_event = absl::InfiniteDuration();
  // Its prompt is still being read.
  bool prefilling = false;
  // Only reads a part of another target's prompt; holds no slot.
  bool is_helper = false;
  // The longest pause between events that its caller looks for.
  absl::Duration max_event_gap = absl::InfiniteDuration();
  // What serving it well is worth beside serving it late.
  double value = 1;
};

// Names one work item of this instance.
using WorkId = uint64_t;

class LoadBoard {
 public:
  // A peer that has told nothing for this long is taken for gone, and its
  // requests with it.
  static constexpr absl::Duration kPeerSilence = absl::Milliseconds(1500);

  // `on_change` runs whenever this instance's own items change.
  void SetOnChange(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

  WorkId Begin(const TargetId& target, const WorkItem& item);
  // The prompt is read: the item writes from here on. False when it was known.
  bool MarkPrefilled(WorkId id);
  void End(WorkId id);

  // Replaces what `peer` has at `target`.
  void SetPeerLoad(const InstanceId& peer,
                   const TargetId& target,
                   std::vector<WorkItem> items);
  // Counts an item that `peer` was offered a place for at `now`, until it tells
  // of its work there or the time is up.
  void Reserve(const InstanceId& peer,
               const TargetId& target,
               const WorkItem& item,
               absl::Time now,
               absl::Duration hold_for);
  // Places that are kept at a target. Those whose time is up go with the next
  // offer there.
  size_t PlacesHeld(const TargetId& target) const;
  // `peer` was heard of; its items count on.
  void RecordHeartbeat(const InstanceId& peer, absl::Time now);
  // Drops all that `peer` told before, as when it has started anew.
  void RemovePeer(const InstanceId& peer);
  // Drops peers that fell silent.
  void RemoveTimedOutPeers(absl::Time now);

  // All items at a target, own ones first, those that places are held for
  // last.
  std::vector<WorkItem> LoadAt(const TargetId& target, absl::Time now) const;
  // This instance's own items at a target.
  std::vector<WorkItem> OwnLoadAt(const TargetId& target) const;
  // Targets at which this instance has items.
  std::vector<TargetId> OwnTargets() const;
  // Targets whose own items changed since the last call.
  std::vector<TargetId> TakeChangedTargets();

 private:
  struct Own {
    TargetId target;
    WorkItem item;
  };
  struct Held {
    InstanceId peer;
    WorkItem item;
    absl::Time until;
  };
  void NoteChange(const TargetId& target);
  void EraseAt(const InstanceId& peer, const TargetId& target);
  void DropHolds(const InstanceId& peer, const TargetId& target);

  absl::flat_hash_map<WorkId, Own> own_;
  std::map<TargetId, std::vector<WorkId>> own_at_;
  absl::flat_hash_map<TargetId, std::map<InstanceId, std::vector<WorkItem>>>
      peers_at_;
  std::map<InstanceId, std::set<TargetId>> peer_targets_;
  absl::flat_hash_map<TargetId, std::vector<Held>> holds_;
  std::map<InstanceId, absl::Time> heard_;

  std::function<void()> on_change_;
  std::set<TargetId> changed_;
  WorkId next_ = 1;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_LOAD_BOARD_H_
