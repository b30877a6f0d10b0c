#include "umbertrail/core/once/ticket_desk.h"

#include "absl/strings/str_cat.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kMarkInterval = absl::Hours(1);
// A part stays under a peer frame's limit with outcomes of this size.
constexpr std::size_t kRecordsPerPart = 200;
constexpr std::size_t kMaxHandedBody = 4096;

void DropLargeBody(RedemptionRecord* record) {
  const Body& body = record->outcome.body;
  if (body != nullptr && body->size() > kMaxHandedBody) {
    record->outcome.body = nullptr;
    record->outcome.detail = "it ran; its answer is no longer kept";
  }
}

}  // namespace

std::string TicketToken(const Ticket& ticket) {
  // Lengths keep two different tickets from giving one text.
  const auto field = [](const std::string& text) {
    return absl::StrCat(text.size(), ":", text, ";");
  };
  return absl::StrCat("ticket;", field(ticket.issuer.id.text()),
                      ticket.issuer.incarnation.value(), ";", ticket.serial,
                      ";", field(ticket.account.text()),
                      field(ticket.service.text()), field(ticket.call));
}

TicketDesk::TicketDesk(InstanceRef self,
                       const TicketSigner* signer,
                       const Mutations* mutations)
    : self_(std::move(self)),
      signer_(signer),
      mutations_(mutations),
      redeemed_(OutcomeLog::Limits()) {}

std::optional<Ticket> TicketDesk::Issue(absl::Time now,
                                        const TicketRequested& request) {
  if (outstanding_.size() >= kMaxOutstanding) {
    return std::nullopt;
  }
  MarkSerial(now);
  Ticket ticket;
  ticket.issuer = self_;
  ticket.serial = next_serial_++;
  ticket.account = request.account;
  ticket.service = request.service;
  ticket.call = request.call;
  ticket.mac = signer_->Sign(TicketToken(ticket));
  outstanding_.emplace(ticket.serial, now);
  issued_.push_back({ticket.serial, now});
  return ticket;
}

TicketDesk::Redemption TicketDesk::Redeem(absl::Time now,
                                          const RequestSpec& spec) {
  const Ticket& ticket = *spec.ticket;
  const std::string token = TicketToken(ticket);
  if (!signer_->Verify(token, ticket.mac) || !Matches(ticket, spec)) {
    return Refused{Reason::kTicketInvalid, Ran::kNo};
  }
  const OutcomeLog::Entry* entry = redeemed_.Find(token);
  if (entry != nullptr && !mutations_->redeem_ticket_twice) {
    if (!entry->finished) {
      return InProgress{entry->request};
    }
    return Recorded{entry->outcome};
  }
  if (mutations_->redeem_ticket_twice) {
    return Redeemed{};
  }
  const auto it = outstanding_.find(ticket.serial);
  if (it == outstanding_.end()) {
    // Expired without a run, or redeemed so long ago that it is forgotten.
    return Refused{Reason::kTicketUsed, Ran::kUnknown};
  }
  if (now - it->second > kValidFor) {
    outstanding_.erase(it);
    return Refused{Reason::kTicketInvalid, Ran::kNo};
  }
  if (!redeemed_.Take(now, token, spec.id)) {
    return Refused{Reason::kOverloaded, Ran::kNo};
  }
  outstanding_.erase(it);
  return Redeemed{};
}

void TicketDesk::Finish(absl::Time now,
                        const Ticket& ticket,
                        const Outcome& outcome) {
  const std::string token = TicketToken(ticket);
  if (outcome.ran != Ran::kNo) {
    redeemed_.Finish(token, outcome);
    return;
  }
  redeemed_.Free(token);
  outstanding_.emplace(ticket.serial, now);
  issued_.push_back({ticket.serial, now});
}

void TicketDesk::OnTick(absl::Time now) {
  redeemed_.Expire(now);
  while (!issued_.empty() && now - issued_.front().at > kValidFor) {
    const auto it = outstanding_.find(issued_.front().serial);
    if (it != outstanding_.end() && it->second == issued_.front().at) {
      outstanding_.erase(it);
    }
    issued_.pop_front();
  }
}

std::vector<RedemptionHandover> TicketDesk::Handover(absl::Time now) const {
  std::vector<RedemptionRecord> records = redeemed_.Records();
  const std::size_t n = records.size() / kRecordsPerPart + 1;
  std::vector<RedemptionHandover> parts(n);
  for (std::size_t i = 0; i < n; ++i) {
    parts[i].issuer = self_;
    parts[i].part = static_cast<uint32_t>(i);
    parts[i].parts = static_cast<uint32_t>(n);
    parts[i].complete_from = CompleteFrom(now);
  }
  for (std::size_t i = 0; i < records.size(); ++i) {
    DropLargeBody(&records[i]);
    parts[i / kRecordsPerPart].records.push_back(std::move(records[i]));
  }
  return parts;
}

void TicketDesk::MarkSerial(absl::Time now) {
  if (marks_.empty() || now - marks_.back().at >= kMarkInterval) {
    marks_.push_back({next_serial_, now});
  }
  while (now - marks_.front().at > OutcomeLog::Limits().keep_token) {
    marks_.pop_front();
  }
}

uint64_t TicketDesk::CompleteFrom(absl::Time now) const {
  for (const Issued& it : marks_) {
    if (now - it.at <= OutcomeLog::Limits().keep_token) {
      return it.serial;
    }
  }
  return next_serial_;
}

bool TicketDesk::Matches(const Ticket& ticket, const RequestSpec& spec) const {
  return ticket.issuer == self_ && ticket.account == spec.account &&
         ticket.service == spec.service && ticket.call == spec.call;
}

}  // namespace umbertrail::core
