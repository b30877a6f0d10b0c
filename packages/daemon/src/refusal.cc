#include "umbertrail/daemon/refusal.h"

#include <array>
#include <utility>

#include "umbertrail/telemetry/names.h"

namespace umbertrail::daemon {
namespace {

struct ReasonRow {
  core::Reason reason;
  int status;
};

// In the order of core::Reason.
constexpr std::array kReasons{
    ReasonRow{core::Reason::kOk, 200},
    ReasonRow{core::Reason::kMalformed, 400},
    ReasonRow{core::Reason::kUnauthorised, 401},
    ReasonRow{core::Reason::kForbidden, 403},
    ReasonRow{core::Reason::kUnknownModel, 404},
    ReasonRow{core::Reason::kTooLong, 413},
    ReasonRow{core::Reason::kTicketRequired, 428},
    ReasonRow{core::Reason::kTicketInvalid, 403},
    ReasonRow{core::Reason::kTicketUsed, 409},
    ReasonRow{core::Reason::kIssuerGone, 409},
    ReasonRow{core::Reason::kQuarantined, 422},
    ReasonRow{core::Reason::kOverAccountLimit, 429},
    ReasonRow{core::Reason::kOverloaded, 503},
    ReasonRow{core::Reason::kDeadlineInfeasible, 503},
    ReasonRow{core::Reason::kDeadlineExceeded, 504},
    ReasonRow{core::Reason::kNoTarget, 503},
    ReasonRow{core::Reason::kNotFresh, 503},
    ReasonRow{core::Reason::kStopping, 503},
    ReasonRow{core::Reason::kRetriesExhausted, 502},
    ReasonRow{core::Reason::kTargetFailed, 502},
    ReasonRow{core::Reason::kCallerGone, 408},
};

constexpr bool InOrder() {
  for (size_t i = 0; i < kReasons.size(); ++i) {
    if (static_cast<size_t>(kReasons[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(InOrder());

}  // namespace

int StatusOf(core::Reason reason) {
  return kReasons.at(static_cast<size_t>(reason)).status;
}

Refusal NotRun(core::Reason reason, std::string message) {
  return NotRun(StatusOf(reason), std::string(telemetry::NameOf(reason)),
                std::move(message));
}

Refusal NotRun(int status, std::string reason, std::string message) {
  return Refusal{status, std::move(reason), core::Ran::kNo, std::move(message),
                 absl::ZeroDuration()};
}

Refusal RefusalOf(const core::Outcome& outcome) {
  Refusal refusal;
  refusal.status = StatusOf(outcome.reason);
  refusal.reason = std::string(telemetry::NameOf(outcome.reason));
  refusal.ran = outcome.ran;
  refusal.message = outcome.detail;
  refusal.retry_after = outcome.retry_after;
  return refusal;
}

int64_t RetryAfterSeconds(const Refusal& refusal) {
  const absl::Duration whole =
      absl::Ceil(refusal.retry_after, absl::Seconds(1));
  return absl::ToInt64Seconds(whole);
}

}  // namespace umbertrail::daemon
