#include "umbertrail/core/owner/ledger.h"

#include <algorithm>
#include <utility>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

// Part of the prompts that is taken to be pending until a first token is heard
// of, however long that takes.
constexpr double kLeastPending = 0.1;
// Settled charges are remembered this long: no report is older.
constexpr absl::Duration kLongestReportAge = absl::Seconds(30);
// And at most this many of them.
constexpr size_t kMaxEnded = 4096;

size_t IndexOf(LengthClass length) {
  return static_cast<size_t>(length);
}

bool IsPrefilling(const Charge& charge) {
  return !charge.decoding && charge.state != ChargeState::kSilent;
}

}  // namespace

Ledger::Ledger(const OwnerConfig* config) : config_(config) {}

void Ledger::Add(Charge charge) {
  charged_ += charge.tokens;
  charged_by_class_[IndexOf(charge.length)] += charge.tokens;
  const AttemptKey key = charge.key;
  const bool added = charges_.emplace(key, std::move(charge)).second;
  UMBERTRAIL_INVARIANT(added);
}

Charge* Ledger::Find(const AttemptKey& key) {
  const auto it = charges_.find(key);
  return it == charges_.end() ? nullptr : &it->second;
}

const Charge* Ledger::Find(const AttemptKey& key) const {
  const auto it = charges_.find(key);
  return it == charges_.end() ? nullptr : &it->second;
}

void Ledger::Settle(absl::Time now, const AttemptKey& key) {
  const auto it = charges_.find(key);
  if (it == charges_.end()) {
    return;
  }
  const Charge& charge = it->second;
  if (!charge.decoding) {
    progress_at_[IndexOf(charge.length)] = now;
  }
  ended_.push_back({key.request, charge.granted_at, now, charge.tokens});
  while (ended_.size() > kMaxEnded ||
         ended_.front().ended_at < now - kLongestReportAge) {
    ended_.pop_front();
  }
  Erase(it);
}

void Ledger::Withdraw(const AttemptKey& key) {
  const auto it = charges_.find(key);
  if (it != charges_.end()) {
    Erase(it);
  }
}

bool Ledger::OnAlive(absl::Time now, const AttemptKey& key, Tokens generated) {
  Charge* charge = Find(key);
  if (charge == nullptr) {
    return false;
  }
  if (charge->state == ChargeState::kReserved) {
    return true;  // nothing runs by it before it is claimed
  }
  charge->heard_at = now;
  charge->state = ChargeState::kRunning;
  if (generated > Tokens(0) && !charge->decoding) {
    charge->decoding = true;
    progress_at_[IndexOf(charge->length)] = now;
  }
  return true;
}

void Ledger::OnHolderGone(absl::Time now, const InstanceRef& holder) {
  for (auto& [key, charge] : charges_) {
    if (key.holder == holder) {
      charge.state = ChargeState::kSilent;
      charge.heard_at = now;
    }
  }
}

void Ledger::MarkSilent(absl::Time now) {
  for (auto& [key, charge] : charges_) {
    const bool heard = now - charge.heard_at <= config_->grant_silence;
    if (!heard && charge.state != ChargeState::kReserved) {
      charge.state = ChargeState::kSilent;
    }
  }
}

void Ledger::OnReport(absl::Time taken_at,
                      const absl::flat_hash_set<RequestId>& present) {
  for (auto it = charges_.begin(); it != charges_.end();) {
    const Charge& charge = it->second;
    const bool silent = charge.state == ChargeState::kSilent;
    // What its holder had sent by the end of the grant's window shows by then.
    const bool shows = taken_at > charge.heard_at + config_->grant_silence;
    const bool gone = silent && shows && !present.contains(it->first.request);
    it = gone ? Erase(it) : std::next(it);
  }
}

void Ledger::DropSilentBefore(absl::Time heard_before) {
  for (auto it = charges_.begin(); it != charges_.end();) {
    const Charge& charge = it->second;
    const bool gone =
        charge.state == ChargeState::kSilent && charge.heard_at < heard_before;
    it = gone ? Erase(it) : std::next(it);
  }
}

void Ledger::OnRestart(absl::Time started_by,
                       const absl::flat_hash_set<RequestId>& present) {
  for (auto it = charges_.begin(); it != charges_.end();) {
    // A grant given shortly before may have reached the new process.
    const bool before =
        it->second.granted_at + 2 * config_->grant_window < started_by;
    const bool reserved = it->second.state == ChargeState::kReserved;
    const bool gone =
        before && !reserved && !present.contains(it->first.request);
    it->second.witness = false;
    it = gone ? Erase(it) : std::next(it);
  }
}

void Ledger::MarkWitnesses(absl::Time taken_at,
                           const absl::flat_hash_set<RequestId>& present) {
  for (auto& [key, charge] : charges_) {
    if (charge.granted_at + config_->grant_window < taken_at) {
      charge.witness = present.contains(key.request);
    }
  }
}

bool Ledger::HasWitnessBeside(absl::Time now, const AttemptKey& key) const {
  return std::any_of(charges_.begin(), charges_.end(), [&](const auto& it) {
    const Charge& charge = it.second;
    return charge.witness && charge.state != ChargeState::kSilent &&
           charge.granted_at + config_->grant_window < now &&
           !(it.first == key);
  });
}

Tokens Ledger::ForeignWork(absl::Time taken_at,
                           const TargetReport& report) const {
  Tokens own;
  for (const auto& [key, charge] : charges_) {
    if (charge.granted_at <= taken_at) {
      own += charge.tokens;
    }
  }
  for (const Ended& ended : ended_) {
    if (ended.granted_at <= taken_at && ended.ended_at >= taken_at) {
      own += ended.tokens;
    }
  }
  Tokens unknown;
  for (const Allocation& allocation : report.allocations) {
    if (!Knows(allocation.request)) {
      unknown += allocation.tokens;
    }
  }
  const Tokens unexplained = std::max(report.tokens_in_flight - own, Tokens(0));
  return std::max(unexplained, unknown);
}

bool Ledger::Charges(const RequestId& request) const {
  const AttemptKey first{request, AttemptNumber(0), InstanceRef{}};
  const auto it = charges_.lower_bound(first);
  return it != charges_.end() && it->first.request == request;
}

bool Ledger::Knows(const RequestId& request) const {
  return Charges(request) ||
         std::any_of(ended_.begin(), ended_.end(), [&](const Ended& ended) {
           return ended.request == request;
         });
}

Tokens Ledger::charged(LengthClass length) const {
  return charged_by_class_[IndexOf(length)];
}

int Ledger::Prefilling(LengthClass length) const {
  int n = 0;
  for (const auto& [key, charge] : charges_) {
    n += charge.length == length && IsPrefilling(charge) ? 1 : 0;
  }
  return n;
}

Tokens Ledger::PendingPrefill(absl::Time now,
                              LengthClass length,
                              absl::Duration per_token) const {
  std::array<Tokens, 3> sums;
  std::array<absl::Time, 3> since = progress_at_;
  std::array<absl::Time, 3> oldest;
  oldest.fill(now);
  for (const auto& [key, charge] : charges_) {
    if (IsPrefilling(charge)) {
      const size_t i = IndexOf(charge.length);
      sums[i] += charge.prefill;
      oldest[i] = std::min(oldest[i], charge.granted_at);
    }
  }
  double pending = 0;
  for (size_t i = 0; i <= IndexOf(length); ++i) {
    const auto sum = static_cast<double>(sums[i].value());
    const absl::Duration worked = now - std::max(since[i], oldest[i]);
    const double computed = absl::FDivDuration(worked, per_token);
    pending += std::max(sum - computed, sum * kLeastPending);
  }
  return Tokens(static_cast<int64_t>(pending));
}

Ledger::ChargeMap::iterator Ledger::Erase(ChargeMap::iterator it) {
  charged_ -= it->second.tokens;
  charged_by_class_[IndexOf(it->second.length)] -= it->second.tokens;
  return charges_.erase(it);
}

}  // namespace umbertrail::core
