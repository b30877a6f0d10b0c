#ifndef UMBERTRAIL_DISPATCH_FLEET_VIEW_H_
#define UMBERTRAIL_DISPATCH_FLEET_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/route_table.h"

// This instance's view of the configuration, the targets and the closed data
// centres, its age, and which targets can receive work.

namespace umbertrail::dispatch {

// One update of an entry in the store.
struct ConfigChange {
  FleetConfig config;
};
// The configuration changed to one that can't be read.
struct ConfigUnreadable {};
struct TargetChange {
  TargetEntry entry;
};
struct TargetGone {
  TargetId id;
};
struct DataCentreClosed {
  DataCentreId data_centre;
};
struct DataCentreReopened {
  DataCentreId data_centre;
};
using Change = std::variant<ConfigChange,
                            ConfigUnreadable,
                            TargetChange,
                            TargetGone,
                            DataCentreClosed,
                            DataCentreReopened>;

// A change with the store revision that introduced it.
struct Revised {
  uint64_t revision = 0;
  Change change;
};

// Entries that expired during a store outage are registered again within this
// time after its end; one still missing then is removed.
inline constexpr absl::Duration kExpiryGrace = absl::Milliseconds(1900);
// Retention of removed or leaving targets after they were last known: a store
// restored from a copy may be some seconds old.
inline constexpr absl::Duration kEndedRetention = absl::Minutes(10);
// Shorter outages don't let entries expire.
inline constexpr absl::Duration kMinExpiryOutage = absl::Seconds(2);

class FleetView {
 public:
  // Applies one change; false if an equal or newer revision is known.
  bool Apply(const Revised& revised, absl::Time now);
  // Applies a snapshot of the store: entries not in `all` are removed, unless
  // they changed after `revision`.
  void ApplySnapshot(const std::vector<Revised>& all,
                     uint64_t revision,
                     absl::Time now);
  // Handles a store restored from an older copy: revisions start over, and
  // entries that the copy lacks get a grace period to be written again. Returns
  // the part of `copy` to apply as a snapshot: without earlier incarnations and
  // states of targets that this view knows to have ended.
  std::vector<Revised> HandleStoreRestore(const std::vector<Revised>& copy,
                                          absl::Time now);
  // Records that the target announced its shutdown; this incarnation gets no
  // new work, whatever the store says.
  void RecordShutdown(const TargetId& id, int64_t born_ms, absl::Time now);
  // Records that the store matched this view as of `asked_at`, the time at
  // which the query was sent.
  void RecordConfirmation(absl::Time asked_at);
  // Records the end of a store outage that began at `since`.
  void RecordStoreOutage(absl::Time since, absl::Time now);
  // Removes targets and closed data centres whose grace period has ended, and
  // old records of ended incarnations; true if any of the first two were
  // removed.
  bool RemoveExpired(absl::Time now);

  bool has_config() const { return config_ != nullptr; }
  const FleetConfig& config() const { return *config_; }
  // Keeps the configuration alive while a request uses its routes.
  const std::shared_ptr<const FleetConfig>& shared_config() const {
    return config_;
  }
  const RouteTable& routes() const { return routes_; }
  absl::Time confirmed_at() const { return confirmed_at_; }
  // Latest time at which the configuration in force was the store's: earlier
  // than confirmed_at() while the store holds one that can't be read.
  absl::Time config_confirmed_at() const {
    return std::min(confirmed_at_, config_unreadable_since_);
  }

  const std::map<TargetId, TargetEntry>& targets() const { return targets_; }
  // Incremented whenever a target is added, removed or changed.
  uint64_t target_changes() const { return target_changes_; }
  const TargetEntry* Find(const TargetId& id) const;
  bool IsClosed(const DataCentreId& data_centre) const;
  // True if new work may be sent to that target now.
  bool MayServe(const TargetEntry& target) const;
  // End of a target's warm-up, as reported by the target.
  absl::Time ColdUntil(const TargetId& id) const;

 private:
  bool IsNew(const std::string& key, uint64_t revision);
  void RemoveTarget(const TargetId& id, absl::Time now);
  void Reopen(const DataCentreId& id, absl::Time now);
  // True if that incarnation is known to have ended or to be draining.
  bool HasEnded(const TargetEntry& entry) const;

  std::shared_ptr<const FleetConfig> config_;
  RouteTable routes_;
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Time config_unreadable_since_ = absl::InfiniteFuture();
  absl::Time outage_grace_until_ = absl::InfinitePast();
  std::map<TargetId, TargetEntry> targets_;
  uint64_t target_changes_ = 0;
  std::map<TargetId, absl::Time> cold_until_;
  std::map<TargetId, absl::Time> expiring_;
  // Closed data centres that a restored copy lacks.
  std::map<DataCentreId, absl::Time> expiring_closed_;
  absl::Time restore_grace_until_ = absl::InfinitePast();
  struct EndedIncarnation {
    int64_t born_ms = 0;
    absl::Time at;
  };
  // Last incarnations of removed targets.
  std::map<TargetId, EndedIncarnation> removed_;
  // Incarnations that announced their shutdown.
  std::map<TargetId, EndedIncarnation> shutting_down_;
  std::set<DataCentreId> closed_;
  // Latest revision by kind and id, including removed entries.
  std::map<std::string, uint64_t> revisions_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FLEET_VIEW_H_
