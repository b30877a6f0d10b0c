#include "umbertrail/front/state.h"

#include "umbertrail/front/placer.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace umbertrail::front {
namespace {

// Lifetime of the cached homes.
constexpr absl::Duration kHomesCacheTime = absl::Milliseconds(100);
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

std::string State::NextReservation() {
  return absl::StrCat(settings.name.text(), "-", absl::Hex(incarnation), "-",
                      next_reservation++);
}

double State::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace umbertrail::front
