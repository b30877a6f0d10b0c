#ifndef UMBERTRAIL_CORE_ONCE_REDEMPTION_ARCHIVE_H_
#define UMBERTRAIL_CORE_ONCE_REDEMPTION_ARCHIVE_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/core/messages.h"

namespace umbertrail::core {

// What stopped instances redeemed, kept by their successors. It answers
// resends and never runs anything.
class RedemptionArchive {
 public:
  // As long as a ticket is valid and its outcome kept.
  static constexpr absl::Duration kKeep = absl::Minutes(40);
  static constexpr std::size_t kMaxIssuers = 64;

  void OnHandover(absl::Time now, const RedemptionHandover& handover);

  // The answer to a submission under a ticket of a stopped issuer. An issuer
  // that handed over never redeems again, so a ticket missing from its whole
  // records did not run.
  Outcome Answer(const Ticket& ticket) const;

  void OnTick(absl::Time now);

 private:
  struct Issuer {
    absl::Time received;
    uint64_t complete_from = 0;
    std::set<uint32_t> missing_parts;
    std::map<std::string, RedemptionRecord> records;
  };

  std::map<InstanceRef, Issuer> issuers_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ONCE_REDEMPTION_ARCHIVE_H_
