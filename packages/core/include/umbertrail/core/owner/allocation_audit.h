#ifndef UMBERTRAIL_CORE_OWNER_ALLOCATION_AUDIT_H_
#define UMBERTRAIL_CORE_OWNER_ALLOCATION_AUDIT_H_

#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/owner/holder_table.h"
#include "umbertrail/core/owner/ledger.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// What an audit found in one report.
struct AuditFindings {
  std::vector<FreeAllocations> to_free;
  // Holders whose life is unknown: asking them shows whether it goes on.
  std::vector<InstanceId> to_ask;
};

// Finds the engine memory of one target that nobody will free: that of lives
// that are over, and that of attempts which their holder settled a while ago.
// Memory of a life that may go on is left alone. Each finding is repeated with
// the next report for as long as the memory is held.
class AllocationAudit {
 public:
  // The pointers must outlive the audit.
  AllocationAudit(const OwnerConfig* config, const Mutations* mutations);

  // The holder settled its attempt at `now`. `exported`: its memory is kept to
  // be resumed from.
  void OnSettled(absl::Time now, const AttemptKey& key, bool exported);

  // Checks a report taken at `taken_at` against the holders and the ledger.
  // `whole` says that the ledger is all that runs on the target. Cost: linear
  // in the allocations, with a logarithmic look-up each.
  AuditFindings OnReport(absl::Time now,
                         absl::Time taken_at,
                         const TargetId& target,
                         const std::vector<Allocation>& allocations,
                         const Ledger& ledger,
                         bool whole,
                         HolderTable* holders);

 private:
  using Held = std::pair<InstanceRef, RequestId>;

  bool SettledLongAgo(absl::Time taken_at, const Held& held) const;

  const OwnerConfig* config_;
  const Mutations* mutations_;
  std::map<Held, absl::Time> settled_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_ALLOCATION_AUDIT_H_
