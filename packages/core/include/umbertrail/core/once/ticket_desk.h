#ifndef UMBERTRAIL_CORE_ONCE_TICKET_DESK_H_
#define UMBERTRAIL_CORE_ONCE_TICKET_DESK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/node.h"
#include "umbertrail/core/once/outcome_log.h"

namespace umbertrail::core {

// The text that a ticket's MAC covers; also its key in records.
std::string TicketToken(const Ticket& ticket);

// Issues tickets and redeems each at most once. Only the incarnation that
// issued a ticket can redeem it, and what it redeemed is in its memory alone:
// when it is gone nobody can run the call a second time.
class TicketDesk {
 public:
  // Long enough for a person to confirm a booking between the two calls.
  static constexpr absl::Duration kValidFor = absl::Minutes(10);
  // Bounds memory against a caller that only asks; at 100 bytes a ticket.
  static constexpr std::size_t kMaxOutstanding = 200000;

  // The ticket may be run now by this request.
  struct Redeemed {};
  // Another request runs it at this moment.
  struct InProgress {
    RequestId request;
  };
  // It ran; this is its outcome.
  struct Recorded {
    Outcome outcome;
  };
  // It can't be redeemed here.
  struct Refused {
    Reason reason = Reason::kTicketInvalid;
    Ran ran = Ran::kNo;
  };
  using Redemption = std::variant<Redeemed, InProgress, Recorded, Refused>;

  TicketDesk(InstanceRef self,
             const TicketSigner* signer,
             const Mutations* mutations);

  // Null when too many are outstanding.
  std::optional<Ticket> Issue(absl::Time now, const TicketRequested& request);

  // Redeems the ticket of `spec` for that request. Precondition: the ticket
  // names this incarnation.
  Redemption Redeem(absl::Time now, const RequestSpec& spec);

  // The redeeming request ended. With outcome.ran == kNo the ticket can be
  // redeemed again: this incarnation knows that nothing was sent.
  void Finish(absl::Time now, const Ticket& ticket, const Outcome& outcome);

  void OnTick(absl::Time now);

  // Everything redeemed, in parts that fit a frame, for the successor of a
  // planned stop. Nothing may be redeemed after this.
  std::vector<RedemptionHandover> Handover(absl::Time now) const;
  std::size_t outstanding() const { return outstanding_.size(); }

 private:
  struct Issued {
    uint64_t serial = 0;
    absl::Time at;
  };

  // Records serials over time, to know from which one records are complete.
  void MarkSerial(absl::Time now);
  uint64_t CompleteFrom(absl::Time now) const;
  bool Matches(const Ticket& ticket, const RequestSpec& spec) const;

  InstanceRef self_;
  const TicketSigner* signer_;
  const Mutations* mutations_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, absl::Time> outstanding_;
  std::deque<Issued> issued_;
  std::deque<Issued> marks_;
  OutcomeLog redeemed_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ONCE_TICKET_DESK_H_
