#include "umbertrail/core/once/redemption_archive.h"

#include "umbertrail/core/once/ticket_desk.h"

namespace umbertrail::core {
namespace {

// A hand-over of all that an issuer may remember has fewer parts.
constexpr uint32_t kMaxParts = 2000;

Outcome Refusal(Reason reason, Ran ran, const char* detail) {
  Outcome outcome;
  outcome.reason = reason;
  outcome.ran = ran;
  outcome.detail = detail;
  return outcome;
}

}  // namespace

void RedemptionArchive::OnHandover(absl::Time now,
                                   const RedemptionHandover& handover) {
  auto found = issuers_.find(handover.issuer);
  if (found == issuers_.end()) {
    if (issuers_.size() >= kMaxIssuers || handover.parts > kMaxParts) {
      return;
    }
    found = issuers_.emplace(handover.issuer, Issuer{}).first;
    for (uint32_t i = 0; i < handover.parts; ++i) {
      found->second.missing_parts.insert(i);
    }
  }
  Issuer& issuer = found->second;
  issuer.received = now;
  issuer.complete_from = handover.complete_from;
  issuer.missing_parts.erase(handover.part);
  for (const RedemptionRecord& it : handover.records) {
    issuer.records[it.once_token] = it;
  }
}

Outcome RedemptionArchive::Answer(const Ticket& ticket) const {
  const auto found = issuers_.find(ticket.issuer);
  if (found == issuers_.end()) {
    return Refusal(Reason::kIssuerGone, Ran::kUnknown,
                   "the instance that issued this ticket is gone");
  }
  const Issuer& issuer = found->second;
  const auto record = issuer.records.find(TicketToken(ticket));
  if (record == issuer.records.end()) {
    const bool whole = issuer.missing_parts.empty();
    if (!whole || ticket.serial < issuer.complete_from) {
      return Refusal(Reason::kIssuerGone, Ran::kUnknown,
                     "what the stopped issuer ran is not fully known");
    }
    return Refusal(Reason::kIssuerGone, Ran::kNo,
                   "the issuer stopped before this ticket was used; "
                   "ask for a new one");
  }
  if (!record->second.finished) {
    return Refusal(Reason::kIssuerGone, Ran::kUnknown,
                   "the issuer stopped while this call ran");
  }
  return record->second.outcome;
}

void RedemptionArchive::OnTick(absl::Time now) {
  for (auto it = issuers_.begin(); it != issuers_.end();) {
    it = now - it->second.received > kKeep ? issuers_.erase(it) : ++it;
  }
}

}  // namespace umbertrail::core
