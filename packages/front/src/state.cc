#include "umbertrail/front/state.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace umbertrail::front {
namespace {

// Shares of the fleet's budgets are never larger than this many would give, as
// an instance that is cut off doesn't know how many others there are.
constexpr int kMinInstances = 8;

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
      settings(std::move(instance_settings)),
      log(log_fd, settings.name.text()),
      pool(event_loop),
      instances(kMinInstances),
      random(std::random_device{}()),
      life(random()) {
  log.SetOnLost([this] { metrics.CountLostLine(); });
}

std::vector<dispatch::WorkItem> State::WorkAt(const TargetId& target) const {
  switch (mode) {
    case dispatch::PlacementMode::kPredicted:
      return board.At(target);
    case dispatch::PlacementMode::kLeastConnections:
      return board.OwnAt(target);
    case dispatch::PlacementMode::kRandom:
      break;
  }
  return {};
}

std::vector<dispatch::Candidate> State::CandidatesFor(
    const ServiceId& service,
    const std::vector<TargetId>& excluded,
    absl::Time now) {
  std::vector<dispatch::Candidate> candidates;
  const double fleet_rate = FleetRateOf(service);
  for (const auto& [id, entry] : view.targets()) {
    if (entry.service != service || !view.MayServe(entry) ||
        std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
      continue;
    }
    const dispatch::TargetHealth& seen = health[id];
    if (seen.LeftAlone(now)) {
      continue;
    }
    dispatch::Candidate candidate;
    candidate.id = id;
    candidate.slots = entry.slots;
    candidate.work = WorkAt(id);
    candidate.near = entry.data_centre == settings.data_centre;
    candidate.cold = now < view.ColdUntil(id);
    candidate.failing = seen.Failing(now);
    candidate.pace = seen.pace();
    candidate.rate_used_up = !rates[id].MaySend(now, fleet_rate, instances);
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

dispatch::RetryBudget& State::RetryBudgetOf(const ServiceId& service) {
  return retry_budgets
      .try_emplace(service, settings.retry_ratio, settings.retry_slack,
                   settings.retry_window)
      .first->second;
}

void State::NoteTargetDown(const TargetId& target, absl::Time now) {
  const auto deaths = poison.NoteDown(target, now);
  if (!deaths.empty() && tell_deaths) {
    tell_deaths(deaths);
  }
}

std::string State::NextReservation() {
  return absl::StrCat(settings.name.text(), "-", absl::Hex(life), "-",
                      next_reservation++);
}

double State::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace umbertrail::front
