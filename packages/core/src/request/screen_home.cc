#include "umbertrail/core/request/screen_home.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "umbertrail/core/request/rendezvous.h"

namespace umbertrail::core {
namespace {

// Instances that remember a death, so that homes replaced forget nothing.
constexpr std::size_t kDeathHomes = 3;
// Homes of one fingerprint.
constexpr std::size_t kHomes = 2;
constexpr absl::Duration kSweepInterval = absl::Minutes(1);

template <typename Runs>
auto FindRun(Runs& runs,
             const InstanceRef& holder,
             const RequestId& request,
             AttemptNumber attempt) {
  return std::find_if(runs.begin(), runs.end(), [&](const auto& it) {
    return it.holder == holder && it.request == request &&
           it.attempt == attempt;
  });
}

}  // namespace

ScreenHome::ScreenHome(InstanceId self,
                       const FleetView* fleet,
                       const Mutations* mutations)
    : self_(std::move(self)), fleet_(fleet), mutations_(mutations) {}

ScreenReply ScreenHome::OnRequest(absl::Time now,
                                  const InstanceRef& from,
                                  const ScreenRequest& request) {
  ScreenReply reply{request.request, request.attempt, request.fingerprint,
                    ScreenVerdict::kRun, 0};
  born_ = std::min(born_, now);
  reply.young = now - born_ < kYoung;
  if (mutations_->forget_deaths) {
    return reply;
  }
  auto found = entries_.find(request.fingerprint);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxEntries) {
      return reply;
    }
    found = entries_.emplace(request.fingerprint, Entry{}).first;
  }
  Entry& entry = found->second;
  entry.touched = now;
  DropExpiredRuns(now, &entry);
  reply.deaths = static_cast<uint32_t>(entry.deaths.size());
  if (FindRun(entry.runs, from, request.request, request.attempt) !=
      entry.runs.end()) {
    return reply;
  }
  reply.others = static_cast<uint32_t>(entry.runs.size());
  reply.verdict = Judge(entry, LimitFor(request.fingerprint));
  if (reply.verdict == ScreenVerdict::kRun && !entry.proven) {
    entry.runs.push_back(
        {from, request.request, request.attempt, now + request.time_left});
  }
  return reply;
}

void ScreenHome::OnEnded(absl::Time now,
                         const InstanceRef& from,
                         const ScreenEnded& ended) {
  auto found = entries_.find(ended.fingerprint);
  if (found == entries_.end()) {
    // A death is remembered also by homes that did not grant the run.
    if (ended.end != ScreenEnd::kDied || entries_.size() >= kMaxEntries) {
      return;
    }
    found = entries_.emplace(ended.fingerprint, Entry{}).first;
  }
  Entry& entry = found->second;
  entry.touched = now;
  const auto run = FindRun(entry.runs, from, ended.request, ended.attempt);
  if (run != entry.runs.end()) {
    entry.runs.erase(run);
  }
  if (ended.end == ScreenEnd::kDied) {
    const bool own = ended.holder.id.empty();
    CountDeath({own ? from : ended.holder, ended.request, ended.attempt},
               &entry);
    deadly_.insert(ended.fingerprint);
    entry.proven = false;
  }
  if (ended.end == ScreenEnd::kCompleted) {
    // One death beside others was not this content's doing: it ran whole.
    if (entry.deaths.size() < kDeathLimit) {
      entry.deaths.clear();
      entry.told.clear();
      deadly_.erase(ended.fingerprint);
    }
    entry.proven = entry.deaths.empty();
    entry.runs.clear();
  }
}

void ScreenHome::OnFleetChanged(Actions* actions) {
  for (const Fingerprint fingerprint : deadly_) {
    Entry& entry = entries_.at(fingerprint);
    const auto homes =
        RankInstances(fingerprint.value(), fleet_->instances(), kDeathHomes);
    for (const InstanceId& home : homes) {
      const bool news = home != self_ && entry.told.insert(home).second;
      for (const Death& it : entry.deaths) {
        if (news) {
          actions->push_back(
              SendPeer{home, ScreenEnded{it.request, it.attempt, fingerprint,
                                         ScreenEnd::kDied, it.holder}});
        }
      }
    }
  }
}

void ScreenHome::OnHolderGone(const InstanceRef& holder) {
  for (auto& [fingerprint, entry] : entries_) {
    auto& runs = entry.runs;
    runs.erase(
        std::remove_if(runs.begin(), runs.end(),
                       [&](const Run& it) { return it.holder == holder; }),
        runs.end());
  }
}

void ScreenHome::OnTick(absl::Time now) {
  born_ = std::min(born_, now);
  if (now - swept_ < kSweepInterval) {
    return;
  }
  swept_ = now;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool old = now - it->second.touched > kMemory;
    if (old) {
      deadly_.erase(it->first);
    }
    it = old ? entries_.erase(it) : std::next(it);
  }
}

std::vector<QuarantineStatus> ScreenHome::Status() const {
  std::vector<QuarantineStatus> status;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!entry.deaths.empty()) {
      const int n = static_cast<int>(entry.deaths.size());
      status.push_back({fingerprint, n});
    }
  }
  return status;
}

uint32_t ScreenHome::LimitFor(Fingerprint fingerprint) const {
  const auto homes =
      RankInstances(fingerprint.value(), fleet_->instances(), kHomes);
  const bool home = std::find(homes.begin(), homes.end(), self_) != homes.end();
  return home ? kDeathLimit : kDeathLimit - 1;
}

ScreenVerdict ScreenHome::Judge(const Entry& entry, uint32_t limit) const {
  if (entry.deaths.size() >= kDeathLimit) {
    return ScreenVerdict::kQuarantined;
  }
  if (entry.proven || entry.deaths.size() + entry.runs.size() < limit) {
    return ScreenVerdict::kRun;
  }
  return ScreenVerdict::kWait;
}

void ScreenHome::CountDeath(Death death, Entry* entry) {
  const auto same = [&](const Death& it) {
    return it.holder == death.holder && it.request == death.request &&
           it.attempt == death.attempt;
  };
  const bool known =
      std::any_of(entry->deaths.begin(), entry->deaths.end(), same);
  if (!known && entry->deaths.size() < kDeathLimit) {
    entry->deaths.push_back(std::move(death));
    entry->told.clear();
  }
}

uint32_t ScreenHome::DeathsOf(Fingerprint fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0
                              : static_cast<uint32_t>(it->second.deaths.size());
}

void ScreenHome::DropExpiredRuns(absl::Time now, Entry* entry) const {
  auto& runs = entry->runs;
  runs.erase(std::remove_if(runs.begin(), runs.end(),
                            [&](const Run& it) { return it.expires <= now; }),
             runs.end());
}

}  // namespace umbertrail::core
