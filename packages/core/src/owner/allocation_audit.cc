#include "umbertrail/core/owner/allocation_audit.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace umbertrail::core {
namespace {

// Settled attempts are remembered this long.
constexpr absl::Duration kRemember = absl::Minutes(5);

}  // namespace

AllocationAudit::AllocationAudit(const OwnerConfig* config,
                                 const Mutations* mutations)
    : config_(config), mutations_(mutations) {}

void AllocationAudit::OnSettled(absl::Time now,
                                const AttemptKey& key,
                                bool exported) {
  const Held held{key.holder, key.request};
  if (exported) {
    settled_.erase(held);
  } else {
    settled_[held] = now;
  }
}

AuditFindings AllocationAudit::OnReport(
    absl::Time now,
    absl::Time taken_at,
    const TargetId& target,
    const std::vector<Allocation>& allocations,
    const Ledger& ledger,
    bool whole,
    HolderTable* holders) {
  AuditFindings findings;
  if (mutations_->forget_allocations) {
    return findings;
  }
  std::set<InstanceRef> gone;
  std::set<InstanceId> unknown;
  for (const Allocation& allocation : allocations) {
    const Held held{allocation.holder, allocation.request};
    const HolderLife life = holders->LifeOf(now, allocation.holder);
    if (life == HolderLife::kGone) {
      gone.insert(allocation.holder);
      continue;
    }
    if (life == HolderLife::kUnknown) {
      unknown.insert(allocation.holder.id);
    }
    const bool charged = ledger.Charges(allocation.request);
    if (whole && !charged && SettledLongAgo(taken_at, held)) {
      findings.to_free.push_back(
          {target, allocation.holder, allocation.request});
    }
  }
  for (const InstanceRef& holder : gone) {
    findings.to_free.push_back({target, holder, RequestId()});
  }
  findings.to_ask.assign(unknown.begin(), unknown.end());
  for (auto it = settled_.begin(); it != settled_.end();) {
    const bool old = now - it->second > kRemember;
    it = old ? settled_.erase(it) : std::next(it);
  }
  return findings;
}

bool AllocationAudit::SettledLongAgo(absl::Time taken_at,
                                     const Held& held) const {
  const auto it = settled_.find(held);
  return it != settled_.end() && taken_at > it->second + config_->free_grace;
}

}  // namespace umbertrail::core
