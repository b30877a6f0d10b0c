#include "umbertrail/core/owner/ledger.h"

#include <algorithm>
#include <utility>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

// Settled charges are remembered this long: no report is older.
constexpr absl::Duration kLongestReportAge = absl::Seconds(30);
// And at most this many of them.
constexpr size_t kMaxEnded = 4096;

size_t IndexOf(LengthClass length) {
  return static_cast<size_t>(length);
}

bool Prefilling(absl::Time now, const Charge& charge) {
  return !charge.decoding && charge.state != ChargeState::kSilent &&
         now < charge.first_token_at;
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
  charge->heard_at = now;
  charge->state = ChargeState::kRunning;
  charge->decoding = charge->decoding || generated > Tokens(0);
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
    const bool gone = before && !present.contains(it->first.request);
    it = gone ? Erase(it) : std::next(it);
  }
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

int Ledger::Prefilling(absl::Time now, LengthClass length) const {
  int n = 0;
  for (const auto& [key, charge] : charges_) {
    if (charge.length == length && core::Prefilling(now, charge)) {
      ++n;
    }
  }
  return n;
}

Tokens Ledger::PendingPrefill(absl::Time now, LengthClass length) const {
  Tokens sum;
  for (const auto& [key, charge] : charges_) {
    if (charge.length > length || !core::Prefilling(now, charge)) {
      continue;
    }
    const absl::Duration whole = charge.first_token_at - charge.granted_at;
    const absl::Duration left = charge.first_token_at - now;
    const double part = std::min(absl::FDivDuration(left, whole), 1.0);
    sum += Tokens(static_cast<int64_t>(
        part * static_cast<double>(charge.prefill.value())));
  }
  return sum;
}

Ledger::ChargeMap::iterator Ledger::Erase(ChargeMap::iterator it) {
  charged_ -= it->second.tokens;
  charged_by_class_[IndexOf(it->second.length)] -= it->second.tokens;
  return charges_.erase(it);
}

}  // namespace umbertrail::core
