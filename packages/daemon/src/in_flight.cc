#include "in_flight.h"

#include <utility>

#include "transport.h"
#include "umbertrail/core/invariant.h"

namespace umbertrail::daemon::detail {
namespace {

// How often a waiting thread looks whether its caller is gone.
constexpr absl::Duration kGoneCheckInterval = absl::Milliseconds(250);
// The node ends each request within its time; this much later it is given up.
constexpr absl::Duration kNodeMargin = absl::Seconds(5);

}  // namespace

InFlight::InFlight(const Caller& caller,
                   std::shared_ptr<CallerChannel> channel,
                   const CallerServerParts* parts,
                   int socket)
    : caller_(caller),
      channel_(std::move(channel)),
      parts_(parts),
      socket_(socket),
      deadline_(MonotonicNow() + caller.time_limit + kNodeMargin) {}

InFlight::~InFlight() {
  parts_->table->Close(caller_.id);
  if (!ended_) {
    parts_->events->Post(core::CallerGone{caller_.id});
  }
}

InFlight::Step InFlight::Next() {
  while (true) {
    CallerItem item = channel_->Take(kGoneCheckInterval);
    if (auto* chunk = std::get_if<core::RelayChunk>(&item)) {
      UMBERTRAIL_INVARIANT(chunk->offset == next_offset_);
      next_offset_ += chunk->tokens;
      return std::move(*chunk);
    }
    if (auto* outcome = std::get_if<core::Outcome>(&item)) {
      ended_ = true;
      return std::move(*outcome);
    }
    if (auto* issued = std::get_if<core::TicketIssued>(&item)) {
      ended_ = true;
      return std::move(*issued);
    }
    if (std::holds_alternative<RelayOverflow>(item)) {
      return Lost::kTooSlow;
    }
    if (IsGone(socket_)) {
      return Lost::kCallerGone;
    }
    if (MonotonicNow() > deadline_) {
      return Lost::kNodeSilent;
    }
  }
}

}  // namespace umbertrail::daemon::detail
