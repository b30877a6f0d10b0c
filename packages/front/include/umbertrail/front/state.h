#ifndef UMBERTRAIL_FRONT_STATE_H_
#define UMBERTRAIL_FRONT_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "platform/node_settings.h"
#include "umbertrail/dispatch/block_trials.h"
#include "umbertrail/dispatch/budgets.h"
#include "umbertrail/dispatch/config_agreement.h"
#include "umbertrail/dispatch/crash_detector.h"
#include "umbertrail/dispatch/crash_evidence.h"
#include "umbertrail/dispatch/features.h"
#include "umbertrail/dispatch/fleet_size.h"
#include "umbertrail/dispatch/fleet_view.h"
#include "umbertrail/dispatch/freshness.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/members.h"
#include "umbertrail/dispatch/output_estimator.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/shards.h"
#include "umbertrail/dispatch/target_health.h"
#include "umbertrail/dispatch/target_limits.h"
#include "umbertrail/dispatch/target_links.h"
#include "umbertrail/front/event_log.h"
#include "umbertrail/front/metrics.h"
#include "umbertrail/front/target_pool.h"
#include "umbertrail/net/memory_budget.h"

namespace umbertrail::front {

// Time since boot, including suspension; only differences are meaningful.
absl::Time BootNow();

class Placer;
struct PlacementRequest;

// Request outcomes at one target since the last report to its homes.
struct UnreportedOutcomes {
  int successes = 0;
  int failures = 0;
  int first_events = 0;
  // Sum of the ratios of actual to predicted time to first event.
  double latency_ratio_sum = 0;
  // Windows of pauses between events, and the sum of their typical pauses.
  int pause_windows = 0;
  absl::Duration pause_sum;
};

// State shared by all requests of an instance. Event loop thread only.
struct State {
  State(net::Loop& event_loop,
        adapter::InstanceSettings instance_settings,
        int log_fd);

  // Work at a target that the placement mode takes into account.
  std::vector<dispatch::WorkItem> WorkAt(const TargetId& target,
                                         absl::Time now) const;
  // Targets of a shard that are eligible for a request from an instance in data
  // centre `from`, without those in `excluded`, which were tried before.
  std::vector<dispatch::Candidate> CandidatesFor(
      const dispatch::Shard& shard,
      const DataCentreId& from,
      const std::vector<TargetId>& excluded,
      absl::Time now);
  // Instances that receive a shard's load reports and placement requests; the
  // first is the primary.
  std::vector<InstanceId> HomesOf(const dispatch::Shard& shard, absl::Time now);
  // Marks an instance that did not answer a request as suspect.
  void SuspectHome(const InstanceId& home, absl::Time now);
  // Engine model for the request's service; null for a plain service.
  const dispatch::EngineModel* EngineFor(const PlacementRequest& request) const;
  // Updates `live_instances` and `fleet_size` from the membership.
  void CountInstances(absl::Time now);
  // Shards of the currently known targets.
  const dispatch::ShardTable& Shards();
  // Requests per second that the fleet may send to a cold target of `service`;
  // 0 if unlimited.
  double FleetRateOf(const ServiceId& service) const;
  dispatch::RetryBudget& RetryBudgetOf(const ServiceId& service,
                                       absl::Time now);
  // Charges a retry of `request` to the service's budget and logs it; false if
  // the budget is exhausted.
  bool TakeRetry(const ServiceId& service,
                 const RequestId& request,
                 absl::Time now);
  // Records a request's outcome, which is also reported to the target's homes.
  void RecordSuccess(const TargetId& target, absl::Time now);
  void RecordFailure(const TargetId& target, absl::Time now);
  void RecordFirstEvent(const TargetId& target,
                        absl::Duration predicted,
                        absl::Duration actual);
  // Records the mean typical pause of `windows` PauseWindows at a target, and
  // derives its decode speed from the work known here.
  void RecordPauses(const TargetId& target,
                    absl::Duration pause,
                    int64_t windows,
                    absl::Time now);
  // As RecordPauses, for one window of this instance, which is also reported to
  // the target's homes.
  void RecordOwnPause(const TargetId& target,
                      absl::Duration pause,
                      absl::Time now);
  // A target sent bytes or accepted a connection.
  void RecordContact(absl::Time now);
  // Opens connections to some targets to find out whether the links to them are
  // lost, or back.
  void CheckLinks(absl::Time now);
  // Whether a target accepts new connections; unknown where none does that is
  // tried.
  enum class Reachability { kReachable, kUnreachable, kUnknown };
  using ReachabilityCallback = std::function<void(Reachability reachability)>;
  // A target closed its connection within a request, or ended its response so:
  // finds out whether it crashed. `done` runs then; it may be null.
  void RecordBrokenConnection(const TargetId& target,
                              int64_t born_ms,
                              const dispatch::RequestContents& contents,
                              absl::Time now,
                              ReachabilityCallback done = nullptr);
  // A target can't be connected to.
  void RecordUnreachable(const TargetId& target, absl::Time now);
  // The store shows that the target has restarted or is gone.
  void RecordRestart(const TargetId& target, absl::Time now);
  // Logs contents that have become blocked.
  void LogNewBlocks(absl::Time now);
  // Whether requests with these contents must not be sent. Now and then one
  // instance may try such a request, lest harmless content stays blocked.
  bool IsBlocked(const dispatch::RequestContents& contents, absl::Time now);
  bool TakeTrial(const dispatch::RequestContents& contents, absl::Time now);
  // Stops sending requests to a target that announced its departure, if it was
  // born at or before `born_ms`. True when this was not known.
  bool MarkLeaving(const TargetId& target, int64_t born_ms, absl::Time now);
  // Takes note of what a response says of a target's rate limit. True if that
  // changes it.
  bool RecordLimit(const dispatch::TargetLimit& stated, absl::Time now);
  // Time until this instance may send to a target by the limit that it states;
  // zero if it may now.
  absl::Duration TimeToSend(const dispatch::TargetEntry& target,
                            absl::Time now);
  // Charges a request to the limit that the target states, if any; false if
  // this instance may not send now.
  bool ChargeLimit(const dispatch::TargetEntry& target, absl::Time now);
  // Starts a backoff that the target requested. It outlasts a restart, as it
  // applies to the target's address.
  void StartBackoff(const TargetId& target,
                    absl::Duration duration,
                    absl::Time now);
  bool InBackoff(const TargetId& target, absl::Time now) const;
  // Targets in backoff; removes expired entries.
  std::vector<TargetId> TargetsInBackoff(absl::Time now);
  // Time until the first backoff among a service's targets ends; infinite when
  // none is in backoff.
  absl::Duration ShortestBackoff(const ServiceId& service,
                                 absl::Time now) const;
  double Random();
  // A reservation name that is unique across instances.
  std::string NextReservation();

  net::Loop& loop;
  // What clients, targets and other instances make this process hold.
  std::shared_ptr<net::MemoryBudget> memory;
  dispatch::PlacementMode mode = dispatch::PlacementMode::kPredicted;
  dispatch::Features features;
  adapter::InstanceSettings settings;
  EventLog log;
  Metrics metrics;
  dispatch::FleetView view;
  dispatch::LoadBoard board;
  dispatch::CrashDetector crash_detector;
  dispatch::CrashEvidence crash_evidence;
  dispatch::Members members;
  TargetPool pool;
  // Connections to other instances, by address.
  TargetPool peer_pool;
  dispatch::TargetLinks links;
  dispatch::OutputEstimator outputs;
  std::map<TargetId, dispatch::TargetHealth> health;
  std::map<TargetId, dispatch::TargetRate> rates;
  dispatch::TargetLimits limits;
  // Outcomes not yet reported to the targets' homes.
  std::map<TargetId, UnreportedOutcomes> unreported_outcomes;
  std::map<ServiceId, dispatch::RetryBudget> retry_budgets;
  // Instances that share the fleet's budgets.
  dispatch::FleetSize fleet_size;
  dispatch::BlockTrials block_trials;
  // Live instances, including this one.
  int live_instances = 1;
  // The view includes all changes of the store up to this revision.
  dispatch::KnownStore known_store;
  dispatch::ConfigAgreement config_agreement;
  // Set once all parts of the instance are constructed.
  std::shared_ptr<Placer> placer;
  // An instance that reaches targets and can serve requests for this one; none
  // if there is none beside `excluded`.
  std::function<std::optional<InstanceId>(
      const std::vector<InstanceId>& excluded)>
      choose_stand_in;
  // Disseminates crashes detected locally, and trials of blocked content.
  std::function<void()> publish_crashes;
  // Disseminates departures announced to this instance.
  std::function<void(const TargetId& target, int64_t born_ms)>
      publish_departure;
  // Disseminates a change of a target's limit that was stated to this instance.
  std::function<void(const TargetId& target)> publish_limit;
  std::mt19937_64 random;
  uint64_t next_reservation = 1;
  // Incarnation number: random per process start.
  uint64_t incarnation;

 private:
  // Among how many instances a target's limit is shared; 0 if this one has no
  // share in it.
  int SharersOfLimit(const dispatch::TargetEntry& target,
                     const dispatch::TargetLimit& limit,
                     absl::Time now);

  // Opens a connection to a target and, if that fails, to others, so that a
  // target that is down can be told from lost links.
  void CheckReachable(const TargetId& target, ReachabilityCallback done);
  void CheckAnyReachable(const TargetId& unreachable,
                         std::vector<TargetId> others);
  void FinishCheck(const TargetId& target, Reachability reachability);
  void OpenConnection(const TargetId& target,
                      std::function<void(bool connected)> done);
  // At most `count` random targets that may serve, without `excluded`.
  std::vector<TargetId> SampleTargets(size_t count, const TargetId& excluded);
  void ReportCrashes(absl::Time now);

  absl::Time links_lost_at_ = absl::InfinitePast();
  // Targets that are being checked, and who waits for the result.
  std::map<TargetId, std::vector<ReachabilityCallback>> checks_;
  // Blocked contents, and since when this instance knows.
  std::map<std::set<Fingerprint>, absl::Time> blocked_since_;
  std::map<TargetId, absl::Time> backoff_until_;
  dispatch::ShardTable shards_;
  uint64_t sharded_changes_ = 0;
  // Homes by shard name, cached until `homes_until_`.
  std::map<std::string, std::vector<InstanceId>> homes_;
  absl::Time homes_until_ = absl::InfinitePast();
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_STATE_H_
