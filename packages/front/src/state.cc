#include "umbertrail/front/state.h"

#include "umbertrail/front/placer.h"

#include <time.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"
#include "umbertrail/base/hash.h"

namespace umbertrail::front {
namespace {

// Lifetime of the cached homes.
constexpr absl::Duration kHomesCacheTime = absl::Milliseconds(100);
// Shorter losses of the links leave connections intact: only new ones fail.
constexpr absl::Duration kLinkOutage = absl::Seconds(1);
// Homes per shard, each of which allots its share of a target's rate.
constexpr int kHomesSharingRate = 2;

dispatch::FleetSize::Start StartOf(const adapter::InstanceSettings& settings) {
  if (!settings.first_start) {
    return dispatch::FleetSize::Start::kLater;
  }
  return settings.seeds.empty() ? dispatch::FleetSize::Start::kAlone
                                : dispatch::FleetSize::Start::kWithFleet;
}

}  // namespace

absl::Time BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

State::State(net::Loop& event_loop,
             adapter::InstanceSettings instance_settings,
             int log_fd)
    : loop(event_loop),
      memory(std::make_shared<net::MemoryBudget>()),
      settings(std::move(instance_settings)),
      log(log_fd, settings.name.text()),
      members({InstanceId(settings.ip), settings.data_centre,
               settings.cpu_cores, absl::InfiniteFuture()}),
      pool(event_loop, memory),
      peer_pool(event_loop, memory),
      fleet_size(StartOf(settings), BootNow()),
      block_trials(settings.first_start
                       ? dispatch::BlockTrials::Start::kWithFleet
                       : dispatch::BlockTrials::Start::kLater,
                   BootNow()),
      config_agreement(settings.first_start
                           ? dispatch::ConfigAgreement::Start::kFirst
                           : dispatch::ConfigAgreement::Start::kLater,
                       BootNow()),
      random(std::random_device{}()),
      incarnation(random()) {
  log.SetOnDropped([this] { metrics.CountDroppedLogLine(); });
}

std::vector<dispatch::WorkItem> State::WorkAt(const TargetId& target,
                                              absl::Time now) const {
  switch (mode) {
    case dispatch::PlacementMode::kPredicted:
      return board.LoadAt(target, now);
    case dispatch::PlacementMode::kLeastConnections:
      return board.OwnLoadAt(target);
    case dispatch::PlacementMode::kRandom:
      break;
  }
  return {};
}

const dispatch::ShardTable& State::Shards() {
  if (sharded_changes_ != view.target_changes()) {
    sharded_changes_ = view.target_changes();
    shards_ = dispatch::ShardTable(view.targets());
  }
  return shards_;
}

std::vector<InstanceId> State::HomesOf(const dispatch::Shard& shard,
                                       absl::Time now) {
  if (now >= homes_until_) {
    homes_.clear();
    homes_until_ = now + kHomesCacheTime;
    CountInstances(now);
  }
  const auto [entry, is_new] = homes_.try_emplace(shard.Name());
  if (is_new) {
    std::vector<const dispatch::Member*> live = members.Live(now);
    live.erase(std::remove_if(live.begin(), live.end(),
                              [&](const dispatch::Member* member) {
                                return members.IsSuspect(member->id, now);
                              }),
               live.end());
    entry->second = dispatch::ChooseHomes(shard, live);
  }
  return entry->second;
}

void State::SuspectHome(const InstanceId& home, absl::Time now) {
  members.Suspect(home, now);
  homes_until_ = absl::InfinitePast();
}

const dispatch::EngineModel* State::EngineFor(
    const PlacementRequest& request) const {
  const auto& services = view.config().services;
  const auto found = services.find(request.shard.service);
  return request.use_engine_model && found != services.end() &&
                 found->second.engine
             ? &*found->second.engine
             : nullptr;
}

void State::CountInstances(absl::Time now) {
  live_instances = members.CountLive(now);
  fleet_size.NoteLive(live_instances, now);
}

std::vector<dispatch::Candidate> State::CandidatesFor(
    const dispatch::Shard& shard,
    const DataCentreId& from,
    const std::vector<TargetId>& excluded,
    absl::Time now) {
  std::vector<dispatch::Candidate> candidates;
  const double fleet_rate = FleetRateOf(shard.service);
  const int sharers = dispatch::AllInstancesAreHomes(live_instances)
                          ? fleet_size.Minimum()
                          : kHomesSharingRate;
  for (const auto& [id, entry] : view.targets()) {
    if (!shard.Holds(entry) || !view.MayServe(entry) ||
        std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
      continue;
    }
    const dispatch::TargetHealth& seen = health[id];
    if (seen.InBackoff(now)) {
      continue;
    }
    dispatch::Candidate candidate;
    candidate.id = id;
    candidate.slots = entry.slots;
    candidate.work = WorkAt(id, now);
    candidate.same_data_centre = entry.data_centre == from;
    candidate.cold = now < view.ColdUntil(id);
    candidate.failure_rate = seen.FailureRate(now);
    candidate.slowdown = seen.slowdown();
    candidate.decode_slowdown = seen.DecodeSlowdown(now);
    candidate.rate_wait =
        rates[id].MaySend(now, fleet_rate, sharers)
            ? TimeToSend(entry, now)
            : std::max(absl::Seconds(1), TimeToSend(entry, now));
    candidate.excluded_as_helper = limits.Find(id, entry.born_ms) != nullptr;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

double State::FleetRateOf(const ServiceId& service) const {
  const auto& services = view.config().services;
  const auto found = services.find(service);
  if (found == services.end() || found->second.cold_requests_per_s <= 0) {
    return 0;
  }
  return found->second.cold_requests_per_s * settings.cold_overage +
         settings.cold_slack;
}

dispatch::RetryBudget& State::RetryBudgetOf(const ServiceId& service,
                                            absl::Time now) {
  return retry_budgets
      .try_emplace(service, settings.retry_ratio, settings.retry_slack,
                   settings.retry_window,
                   settings.first_start
                       ? dispatch::RetryBudget::InitialCredit::kFull
                       : dispatch::RetryBudget::InitialCredit::kNone,
                   now)
      .first->second;
}

bool State::TakeRetry(const ServiceId& service,
                      const RequestId& request,
                      absl::Time now) {
  dispatch::RetryBudget& budget = RetryBudgetOf(service, now);
  const std::optional<int> instances = fleet_size.Divisor(now);
  const bool granted = budget.Take(now, instances);
  metrics.CountRetry(granted);
  log.Write(EventLog::Level::kNormal, "retry",
            {{"request", request.text()},
             {"service", service.text()},
             {"granted", granted},
             {"left", budget.Remaining(now, instances)},
             {"instances", static_cast<int64_t>(instances.value_or(0))}},
            now);
  return granted;
}

void State::RecordSuccess(const TargetId& target, absl::Time now) {
  health[target].RecordSuccess(now);
  ++unreported_outcomes[target].successes;
}

void State::RecordFailure(const TargetId& target, absl::Time now) {
  if (links.lost()) {
    return;  // Says nothing of the target.
  }
  health[target].RecordFailure(now);
  ++unreported_outcomes[target].failures;
}

void State::RecordFirstEvent(const TargetId& target,
                             absl::Duration predicted,
                             absl::Duration actual) {
  if (links.lost()) {
    return;  // Says nothing of the target.
  }
  UnreportedOutcomes& outcomes = unreported_outcomes[target];
  ++outcomes.first_events;
  outcomes.latency_ratio_sum +=
      health[target].RecordFirstEvent(predicted, actual);
}

void State::RecordBrokenConnection(const TargetId& target,
                                   int64_t born_ms,
                                   const dispatch::RequestContents& contents,
                                   absl::Time now,
                                   ReachabilityCallback done) {
  crash_detector.RecordBrokenConnection(target, born_ms, contents, now);
  CheckReachable(target, std::move(done));
}

void State::CheckReachable(const TargetId& target, ReachabilityCallback done) {
  const auto [check, is_new] = checks_.try_emplace(target);
  if (done) {
    check->second.push_back(std::move(done));
  }
  if (!is_new) {
    return;
  }
  OpenConnection(target, [this, target](bool connected) {
    if (connected) {
      FinishCheck(target, Reachability::kReachable);
    } else {
      CheckAnyReachable(
          target,
          SampleTargets(dispatch::TargetLinks::kMinUnreachable, target));
    }
  });
}

void State::CheckAnyReachable(const TargetId& unreachable,
                              std::vector<TargetId> others) {
  if (others.empty()) {
    FinishCheck(unreachable, Reachability::kUnknown);
    return;
  }
  const TargetId other = std::move(others.back());
  others.pop_back();
  OpenConnection(
      other, [this, unreachable, others = std::move(others)](bool connected) {
        if (connected) {
          FinishCheck(unreachable, Reachability::kUnreachable);
        } else {
          CheckAnyReachable(unreachable, others);
        }
      });
}

void State::FinishCheck(const TargetId& target, Reachability reachability) {
  const auto check = checks_.extract(target);
  if (check.empty()) {
    return;
  }
  for (const ReachabilityCallback& done : check.mapped()) {
    done(reachability);
  }
}

void State::OpenConnection(const TargetId& target,
                           std::function<void(bool connected)> done) {
  const dispatch::TargetEntry* entry = view.Find(target);
  const auto endpoint =
      entry == nullptr ? std::nullopt : net::ParseEndpoint(entry->address);
  if (!endpoint) {
    done(false);
    return;
  }
  const auto connection = std::make_shared<net::ClientConnection>(loop, memory);
  connection->Open(
      *endpoint, TargetPool::kConnectTimeout, TargetPool::kAckTimeout,
      [this, target, connection, done = std::move(done)](bool connected) {
        const absl::Time now = BootNow();
        if (connected) {
          RecordContact(now);
          crash_detector.RecordConnected(target, now);
          ReportCrashes(now);
          pool.Release(target, connection);
        } else {
          RecordUnreachable(target, now);
        }
        done(connected);
      });
}

std::vector<TargetId> State::SampleTargets(size_t count,
                                           const TargetId& excluded) {
  std::vector<TargetId> targets;
  for (const auto& [id, entry] : view.targets()) {
    if (view.MayServe(entry) && id != excluded) {
      targets.push_back(id);
    }
  }
  std::vector<TargetId> chosen;
  std::sample(targets.begin(), targets.end(), std::back_inserter(chosen), count,
              random);
  return chosen;
}

void State::RecordContact(absl::Time now) {
  if (links.RecordContact(now)) {
    const absl::Duration lost_for = now - links_lost_at_;
    log.Write(EventLog::Level::kImportant, "links_regained",
              {{"lost_ms", absl::ToInt64Milliseconds(lost_for)}}, now);
    if (lost_for >= kLinkOutage) {
      pool.CloseAllIdle();  // They may be dead.
    }
  }
}

void State::CheckLinks(absl::Time now) {
  const bool waits = !board.OwnTargets().empty() && links.IsSilent(now);
  if (!links.lost() && !waits) {
    return;
  }
  const size_t count =
      links.has_failures() ? dispatch::TargetLinks::kMinUnreachable : 1;
  for (const TargetId& target : SampleTargets(count, TargetId())) {
    OpenConnection(target, [](bool) {});
  }
}

void State::RecordUnreachable(const TargetId& target, absl::Time now) {
  if (links.RecordUnreachable(target, view.targets().size())) {
    log.Write(EventLog::Level::kImportant, "links_lost",
              {{"targets", static_cast<int64_t>(view.targets().size())}}, now);
    // What was seen last says nothing of the targets.
    health.clear();
    unreported_outcomes.clear();
    links_lost_at_ = now;
  }
  if (links.lost()) {
    return;
  }
  health[target].RecordUnreachable(now);
  pool.CloseIdle(target);
  crash_detector.RecordUnreachable(target, now);
  ReportCrashes(now);
}

void State::RecordRestart(const TargetId& target, absl::Time now) {
  pool.CloseIdle(target);
  health.erase(target);
  crash_detector.RecordRestart(target, now);
  ReportCrashes(now);
}

void State::ReportCrashes(absl::Time now) {
  bool news = false;
  for (const dispatch::TargetCrash& crash : crash_detector.TakeCrashes(now)) {
    log.Write(EventLog::Level::kImportant, "target_crashed",
              {{"target", crash.target.text()},
               {"born_ms", crash.born_ms},
               {"requests", static_cast<int64_t>(crash.wholes.size())},
               {"parts", static_cast<int64_t>(crash.parts.size())}},
              now);
    news = crash_evidence.Merge(crash, now) || news;
  }
  if (news && publish_crashes) {
    LogNewBlocks(now);
    publish_crashes();
  }
}

void State::LogNewBlocks(absl::Time now) {
  std::map<std::set<Fingerprint>, absl::Time> blocked;
  for (const auto& block : crash_evidence.blocks()) {
    const auto known = blocked_since_.find(block.contents);
    if (known != blocked_since_.end()) {
      blocked.insert(*known);
      continue;
    }
    blocked[block.contents] = now;
    const std::string contents = absl::StrJoin(
        block.contents, ",", [](std::string* out, Fingerprint content) {
          absl::StrAppend(out, absl::Hex(content.value()));
        });
    log.Write(EventLog::Level::kImportant, "content_blocked",
              {{"contents", absl::string_view(contents)},
               {"last_crash_ms_ago",
                absl::ToInt64Milliseconds(now - block.last_crash)}},
              now);
  }
  blocked_since_ = std::move(blocked);
}

bool State::IsBlocked(const dispatch::RequestContents& contents,
                      absl::Time now) {
  const bool blocked = crash_evidence.FindBlock(contents) != nullptr;
  if (blocked) {
    LogNewBlocks(now);
  }
  return blocked;
}

bool State::TakeTrial(const dispatch::RequestContents& contents,
                      absl::Time now) {
  const auto* block = crash_evidence.FindBlock(contents);
  if (block == nullptr) {
    return false;
  }
  const auto since = blocked_since_.find(block->contents);
  if (since == blocked_since_.end() ||
      !block_trials.MayTry(since->second, now)) {
    return false;
  }
  // One instance tries for all.
  const auto rank = [&](const InstanceId& instance) {
    return StableHash(instance.text(), block->contents.begin()->value());
  };
  const uint64_t own = rank(InstanceId(settings.ip));
  for (const dispatch::Member* member : members.Live(now)) {
    if (rank(member->id) < own) {
      return false;
    }
  }
  block_trials.RecordTrial(now);
  publish_crashes();
  return true;
}

bool State::MarkLeaving(const TargetId& target,
                        int64_t born_ms,
                        absl::Time now) {
  const dispatch::TargetEntry* entry = view.Find(target);
  if (entry == nullptr || !view.MayServe(*entry) || entry->born_ms > born_ms) {
    return false;
  }
  view.RecordShutdown(target, born_ms, now);
  log.Write(EventLog::Level::kImportant, "target_leaving",
            {{"target", target.text()}, {"born_ms", born_ms}}, now);
  return true;
}

bool State::RecordLimit(const dispatch::TargetLimit& stated, absl::Time now) {
  if (!limits.Merge(stated)) {
    return false;
  }
  log.Write(EventLog::Level::kImportant, "target_limit",
            {{"target", stated.target.text()},
             {"limited", stated.rate.has_value()},
             {"per_s", stated.rate.value_or(0)},
             {"age_ms", absl::ToInt64Milliseconds(now - stated.stated_at)}},
            now);
  return true;
}

int State::SharersOfLimit(const dispatch::TargetEntry& target,
                          const dispatch::TargetLimit& limit,
                          absl::Time now) {
  const InstanceId self(settings.ip);
  if (dispatch::AllInstancesAreHomes(live_instances)) {
    const auto live = members.Live(now);
    const int senders = dispatch::SenderCount(
        *limit.rate, static_cast<int>(live.size()), now - limit.stated_at);
    return dispatch::IsSender(target.id, self, live, senders) ? senders : 0;
  }
  const dispatch::Shard* shard = Shards().Of(target);
  if (shard == nullptr) {
    return 0;
  }
  const std::vector<InstanceId> homes = HomesOf(*shard, now);
  return std::find(homes.begin(), homes.end(), self) == homes.end()
             ? 0
             : static_cast<int>(homes.size());
}

absl::Duration State::TimeToSend(const dispatch::TargetEntry& target,
                                 absl::Time now) {
  const dispatch::TargetLimit* limit = limits.Find(target.id, target.born_ms);
  if (limit == nullptr) {
    return absl::ZeroDuration();
  }
  const int sharers = SharersOfLimit(target, *limit, now);
  return sharers == 0 ? dispatch::TurnInterval(*limit)
                      : limits.TimeToSend(*limit, sharers, now);
}

bool State::ChargeLimit(const dispatch::TargetEntry& target, absl::Time now) {
  const dispatch::TargetLimit* limit = limits.Find(target.id, target.born_ms);
  if (limit == nullptr) {
    return true;
  }
  const int sharers = SharersOfLimit(target, *limit, now);
  return sharers > 0 && limits.Take(*limit, sharers, now);
}

void State::StartBackoff(const TargetId& target,
                         absl::Duration duration,
                         absl::Time now) {
  absl::Time& until = backoff_until_[target];
  until = std::max(until, now + duration);
  log.Write(EventLog::Level::kNormal, "target_wants_nothing",
            {{"target", target.text()},
             {"for_ms", absl::ToInt64Milliseconds(duration)}},
            now);
}

bool State::InBackoff(const TargetId& target, absl::Time now) const {
  const auto found = backoff_until_.find(target);
  return found != backoff_until_.end() && now < found->second;
}

std::vector<TargetId> State::TargetsInBackoff(absl::Time now) {
  std::vector<TargetId> targets;
  for (auto it = backoff_until_.begin(); it != backoff_until_.end();) {
    if (now >= it->second) {
      it = backoff_until_.erase(it);
      continue;
    }
    targets.push_back(it->first);
    ++it;
  }
  return targets;
}

absl::Duration State::ShortestBackoff(const ServiceId& service,
                                      absl::Time now) const {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const auto& [target, until] : backoff_until_) {
    const dispatch::TargetEntry* entry = view.Find(target);
    if (now < until && entry != nullptr && entry->service == service &&
        view.MayServe(*entry)) {
      shortest = std::min(shortest, until - now);
    }
  }
  return shortest;
}

std::string State::NextReservation() {
  return absl::StrCat(settings.name.text(), "-", absl::Hex(incarnation), "-",
                      next_reservation++);
}

double State::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace umbertrail::front
