#include "umbertrail/core/request/screen_home.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "umbertrail/core/request/rendezvous.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kSweepInterval = absl::Minutes(1);
// An instance heard within this time is likely to be there.
constexpr absl::Duration kHeardOfLate = absl::Seconds(30);
// Contents whose deaths are told again in one round; the next round goes on
// with others. Two deaths to six homes each are about 20 messages a second.
constexpr std::size_t kRetoldAtOnce = 8;

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
  Entry* found = EntryFor(request.fingerprint);
  if (found == nullptr) {
    return reply;
  }
  Entry& entry = *found;
  entry.touched = now;
  CloseRuns(request.fingerprint, &entry,
            [now](const Run& it) { return it.expires <= now; });
  reply.deaths = CountOf(entry);
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
  // A death is remembered also by homes that did not grant the run.
  const bool wanted =
      ended.end == ScreenEnd::kDied || entries_.count(ended.fingerprint) != 0;
  Entry* found = wanted ? EntryFor(ended.fingerprint) : nullptr;
  if (found == nullptr) {
    return;
  }
  Entry& entry = *found;
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
  if (ended.end == ScreenEnd::kReleased) {
    // Its time had passed before its holder knew that no target died.
    RemoveDeath({from, ended.request, ended.attempt}, &entry);
    if (CountOf(entry) == 0) {
      deadly_.erase(ended.fingerprint);
    }
  }
  if (ended.end == ScreenEnd::kCompleted) {
    // One death beside others was not this content's doing: it ran whole.
    if (CountOf(entry) < kDeathLimit) {
      entry.deaths.clear();
      entry.heard = 0;
      entry.told.clear();
      deadly_.erase(ended.fingerprint);
    }
    entry.proven = CountOf(entry) == 0;
    entry.runs.clear();
  }
}

void ScreenHome::OnHeard(absl::Time now, const ScreenReply& reply) {
  if (reply.deaths == 0 || mutations_->forget_deaths) {
    return;
  }
  Entry* found = EntryFor(reply.fingerprint);
  if (found == nullptr) {
    return;
  }
  Entry& entry = *found;
  entry.touched = now;
  entry.heard = std::max(entry.heard, std::min(reply.deaths, kDeathLimit));
  entry.proven = false;
}

void ScreenHome::OnFleetChanged(Actions* actions) {
  for (const Fingerprint fingerprint : deadly_) {
    Entry& entry = entries_.at(fingerprint);
    const auto homes =
        RankInstances(fingerprint.value(), fleet_->instances(), kDeathHomes);
    for (const InstanceId& home : homes) {
      if (home != self_ && entry.told.insert(home).second) {
        Tell(fingerprint, entry, home, actions);
      }
    }
  }
}

void ScreenHome::Tell(Fingerprint fingerprint,
                      const Entry& entry,
                      const InstanceId& home,
                      Actions* actions) const {
  for (const Death& it : entry.deaths) {
    actions->push_back(
        SendPeer{home, ScreenEnded{it.request, it.attempt, fingerprint,
                                   ScreenEnd::kDied, it.holder}});
  }
}

void ScreenHome::Retell(absl::Time now, Actions* actions) {
  if (retold_ == absl::InfinitePast()) {
    retold_ = now;
  }
  if (now - retold_ < kRetell) {
    return;
  }
  retold_ = now;
  auto it = deadly_.lower_bound(retell_from_);
  for (std::size_t n = 0; n < std::min(kRetoldAtOnce, deadly_.size()); ++n) {
    it = it == deadly_.end() ? deadly_.begin() : it;
    for (const InstanceId& home : HomesByAnyView(now, *it)) {
      if (home != self_) {
        Tell(*it, entries_.at(*it), home, actions);
      }
    }
    ++it;
  }
  retell_from_ = it == deadly_.end() ? Fingerprint(0) : *it;
}

std::set<InstanceId> ScreenHome::HomesByAnyView(absl::Time now,
                                                Fingerprint fingerprint) const {
  const auto listed =
      RankInstances(fingerprint.value(), fleet_->instances(), kDeathHomes);
  const auto present = RankInstances(
      fingerprint.value(), fleet_->HeardSince(now - kHeardOfLate), kDeathHomes);
  std::set<InstanceId> homes(listed.begin(), listed.end());
  homes.insert(present.begin(), present.end());
  return homes;
}

void ScreenHome::OnHolderGone(const InstanceRef& holder) {
  for (auto& [fingerprint, entry] : entries_) {
    CloseRuns(fingerprint, &entry,
              [&](const Run& it) { return it.holder == holder; });
  }
}

void ScreenHome::OnTick(absl::Time now, Actions* actions) {
  born_ = std::min(born_, now);
  Retell(now, actions);
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
    const uint32_t n = CountOf(entry);
    if (n > 0) {
      status.push_back({fingerprint, static_cast<int>(n)});
    }
  }
  return status;
}

ScreenHome::Entry* ScreenHome::EntryFor(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (entries_.size() >= kMaxEntries) {
    return nullptr;
  }
  return &entries_[fingerprint];
}

uint32_t ScreenHome::LimitFor(Fingerprint fingerprint) const {
  const auto homes =
      RankInstances(fingerprint.value(), fleet_->instances(), kHomes);
  const bool home = std::find(homes.begin(), homes.end(), self_) != homes.end();
  return home ? kDeathLimit : kDeathLimit - 1;
}

ScreenVerdict ScreenHome::Judge(const Entry& entry, uint32_t limit) const {
  if (CountOf(entry) >= kDeathLimit) {
    return ScreenVerdict::kQuarantined;
  }
  if (entry.proven || CountOf(entry) + entry.runs.size() < limit) {
    return ScreenVerdict::kRun;
  }
  return ScreenVerdict::kWait;
}

std::vector<ScreenHome::Death>::iterator ScreenHome::FindDeath(
    const Death& death,
    Entry* entry) {
  return std::find_if(
      entry->deaths.begin(), entry->deaths.end(), [&](const Death& it) {
        return it.holder == death.holder && it.request == death.request &&
               it.attempt == death.attempt;
      });
}

void ScreenHome::RemoveDeath(const Death& death, Entry* entry) {
  const auto found = FindDeath(death, entry);
  if (found != entry->deaths.end()) {
    entry->deaths.erase(found);
  }
}

void ScreenHome::CountDeath(Death death, Entry* entry) {
  const bool known = FindDeath(death, entry) != entry->deaths.end();
  if (!known && entry->deaths.size() < kDeathLimit) {
    entry->deaths.push_back(std::move(death));
    entry->told.clear();
  }
}

uint32_t ScreenHome::DeathsOf(Fingerprint fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : CountOf(it->second);
}

uint32_t ScreenHome::CountOf(const Entry& entry) {
  return std::max(static_cast<uint32_t>(entry.deaths.size()), entry.heard);
}

template <typename Predicate>
void ScreenHome::CloseRuns(Fingerprint fingerprint,
                           Entry* entry,
                           Predicate is_over) {
  auto& runs = entry->runs;
  const auto kept = std::stable_partition(
      runs.begin(), runs.end(), [&](const Run& it) { return !is_over(it); });
  for (auto it = kept; it != runs.end(); ++it) {
    CountDeath({it->holder, it->request, it->attempt}, entry);
    deadly_.insert(fingerprint);
  }
  runs.erase(kept, runs.end());
}

}  // namespace umbertrail::core
