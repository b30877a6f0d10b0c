#ifndef UMBERTRAIL_DISPATCH_LOAD_BOARD_H_
#define UMBERTRAIL_DISPATCH_LOAD_BOARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

// Load of each target: this instance's own requests exactly, and its peers'
// requests as of their last load report.

namespace umbertrail::dispatch {

// One request, or one part of a prompt, at one target.
struct WorkItem {
  // When it was sent.
  absl::Time sent_at;
  // Length of the prompt, or of the part prefilled there; zero for a plain
  // service.
  Tokens prompt;
  // Its prefill time on an idle engine; zero for a plain service.
  absl::Duration prefill_time;
  // Predicted, from sending.
  absl::Duration time_to_first_event = absl::InfiniteDuration();
  // The prefill hasn't finished.
  bool prefilling = false;
  // Prefills a part of another target's prompt; takes no slot.
  bool is_helper = false;
  // The longest pause between events that its caller accepts.
  absl::Duration max_event_gap = absl::InfiniteDuration();
  // Value of serving it on time; see RequestValue.
  double value = 1;
  // 0 is the most urgent.
  int urgency = 0;
  // Expected events of the response stream; zero if unknown.
  double expected_events = 0;
  // When the first event came; infinite past while there is none.
  absl::Time first_event_at = absl::InfinitePast();
  // Identifies the client account; zero if there is none.
  AccountHash account;
  // KV cache memory that it occupies there until the response ends, a helper's
  // by reservation; none if that is the whole prompt, or isn't stated.
  std::optional<Tokens> memory;
};

// Identifies a work item of this instance.
using WorkId = uint64_t;

class LoadBoard {
 public:
  // Failure-detection timeout: a peer silent for this long is considered
  // failed, and its load is removed.
  static constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1500);
  // Most items that all peers together may report, about 20 MB: anyone who
  // reaches the port of the instances can send reports.
  static constexpr size_t kMaxPeerItems = 131072;

  // `on_change` runs whenever this instance's own load changes.
  void SetOnChange(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

  WorkId Begin(const TargetId& target, const WorkItem& item);
  // Marks the prefill as finished by the first event at `now`. Returns false if
  // it was already.
  bool MarkPrefilled(WorkId id, absl::Time now);
  void End(WorkId id);
  // True if the item is a helper's part with memory reserved for it, which
  // outlasts its prefill.
  bool HoldsReservedMemory(WorkId id) const;

  // Replaces the load reported by `peer` at `target`. Drops the peer's
  // reservations there. Returns false if there is no room for the items; the
  // peer then counts as idle there.
  bool SetPeerLoad(const InstanceId& peer,
                   const TargetId& target,
                   std::vector<WorkItem> items);
  // Reserves capacity granted to `peer` at `now`, until the peer reports its
  // load there or `reserve_for` has passed.
  void Reserve(const InstanceId& peer,
               const TargetId& target,
               const WorkItem& item,
               absl::Time now,
               absl::Duration reserve_for);
  // Number of reservations at a target; the next Reserve there drops expired
  // ones.
  size_t CountReservations(const TargetId& target) const;
  // Records that `peer` is alive; its load stays valid.
  void RecordHeartbeat(const InstanceId& peer, absl::Time now);
  // Drops the load reports of `peer`, for example after its restart.
  void RemovePeer(const InstanceId& peer);
  // Removes peers without a heartbeat within kPeerTimeout.
  void RemoveTimedOutPeers(absl::Time now);

  // All items at a target: own ones first, active reservations last.
  std::vector<WorkItem> LoadAt(const TargetId& target, absl::Time now) const;
  // This instance's own items at a target.
  std::vector<WorkItem> OwnLoadAt(const TargetId& target) const;
  // Targets with items of this instance.
  std::vector<TargetId> OwnTargets() const;
  // Targets whose own items changed since the last call.
  std::vector<TargetId> TakeChangedTargets();

 private:
  struct Own {
    TargetId target;
    WorkItem item;
  };
  struct Reservation {
    InstanceId peer;
    WorkItem item;
    absl::Time until;
  };
  void NoteChange(const TargetId& target);
  void ErasePeerLoad(const InstanceId& peer, const TargetId& target);
  void DropReservations(const InstanceId& peer, const TargetId& target);

  absl::flat_hash_map<WorkId, Own> own_;
  std::map<TargetId, std::vector<WorkId>> own_at_;
  absl::flat_hash_map<TargetId, std::map<InstanceId, std::vector<WorkItem>>>
      peer_load_;
  std::map<InstanceId, std::set<TargetId>> peer_targets_;
  // Items in `peer_load_`.
  size_t peer_items_ = 0;
  absl::flat_hash_map<TargetId, std::vector<Reservation>> reservations_;
  std::map<InstanceId, absl::Time> last_heartbeat_;

  std::function<void()> on_change_;
  std::set<TargetId> changed_;
  WorkId next_ = 1;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_LOAD_BOARD_H_
