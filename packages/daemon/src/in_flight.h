#ifndef UMBERTRAIL_DAEMON_IN_FLIGHT_H_
#define UMBERTRAIL_DAEMON_IN_FLIGHT_H_

#include <memory>
#include <optional>
#include <variant>

#include "absl/time/time.h"
#include "umbertrail/daemon/caller_server.h"

namespace umbertrail::daemon::detail {

// One request from its submission to its outcome, on its caller's thread. When
// it goes without an outcome the node is told that the caller is gone.
class InFlight {
 public:
  // Why no more comes.
  enum class Lost {
    kCallerGone,  // its connection is closed
    kTooSlow,     // the caller read too slowly
    kNodeSilent,  // no outcome within the time limit and a margin
  };
  using Step =
      std::variant<core::RelayChunk, core::Outcome, core::TicketIssued, Lost>;

  // `socket` is watched while waiting. Chunks are checked to follow each other.
  InFlight(const Caller& caller,
           std::shared_ptr<CallerChannel> channel,
           const CallerServerParts* parts,
           int socket);
  ~InFlight();
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

  // Waits for the next step.
  Step Next();

  // Whether the chunks taken make up an answer of `total` tokens.
  bool IsWhole(Tokens total) const { return next_offset_ == total; }

  const Caller& caller() const { return caller_; }

 private:
  const Caller caller_;
  const std::shared_ptr<CallerChannel> channel_;
  const CallerServerParts* const parts_;
  const int socket_;
  const absl::Time deadline_;
  Tokens next_offset_;
  bool ended_ = false;
};

}  // namespace umbertrail::daemon::detail

#endif  // UMBERTRAIL_DAEMON_IN_FLIGHT_H_
