#include "umbertrail/daemon/refusal.h"

#include <array>
#include <utility>

namespace umbertrail::daemon {
namespace {

struct ReasonRow {
  core::Reason reason;
  int status;
  std::string_view name;
};

// In the order of core::Reason.
constexpr std::array kReasons{
    ReasonRow{core::Reason::kOk, 200, "ok"},
    ReasonRow{core::Reason::kMalformed, 400, "malformed"},
    ReasonRow{core::Reason::kUnauthorised, 401, "unauthorised"},
    ReasonRow{core::Reason::kForbidden, 403, "forbidden"},
    ReasonRow{core::Reason::kUnknownModel, 404, "unknown_model"},
    ReasonRow{core::Reason::kTooLong, 413, "too_long"},
    ReasonRow{core::Reason::kTicketRequired, 428, "ticket_required"},
    ReasonRow{core::Reason::kTicketInvalid, 403, "ticket_invalid"},
    ReasonRow{core::Reason::kTicketUsed, 409, "ticket_used"},
    ReasonRow{core::Reason::kIssuerGone, 409, "issuer_gone"},
    ReasonRow{core::Reason::kQuarantined, 422, "quarantined"},
    ReasonRow{core::Reason::kOverAccountLimit, 429, "over_account_limit"},
    ReasonRow{core::Reason::kOverloaded, 503, "overloaded"},
    ReasonRow{core::Reason::kDeadlineInfeasible, 503, "deadline_infeasible"},
    ReasonRow{core::Reason::kDeadlineExceeded, 504, "deadline_exceeded"},
    ReasonRow{core::Reason::kNoTarget, 503, "no_target"},
    ReasonRow{core::Reason::kNotFresh, 503, "not_fresh"},
    ReasonRow{core::Reason::kStopping, 503, "stopping"},
    ReasonRow{core::Reason::kRetriesExhausted, 502, "retries_exhausted"},
    ReasonRow{core::Reason::kTargetFailed, 502, "target_failed"},
    ReasonRow{core::Reason::kCallerGone, 408, "caller_gone"},
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

constexpr std::array<std::string_view, 3> kRanNames{"no", "unknown", "yes"};

const ReasonRow& RowOf(core::Reason reason) {
  return kReasons.at(static_cast<size_t>(reason));
}

}  // namespace

int StatusOf(core::Reason reason) {
  return RowOf(reason).status;
}

std::string_view NameOf(core::Reason reason) {
  return RowOf(reason).name;
}

std::string_view NameOf(core::Ran ran) {
  return kRanNames.at(static_cast<size_t>(ran));
}

Refusal NotRun(core::Reason reason, std::string message) {
  return NotRun(StatusOf(reason), std::string(NameOf(reason)),
                std::move(message));
}

Refusal NotRun(int status, std::string reason, std::string message) {
  return Refusal{status, std::move(reason), core::Ran::kNo, std::move(message),
                 absl::ZeroDuration()};
}

Refusal RefusalOf(const core::Outcome& outcome) {
  Refusal refusal;
  refusal.status = StatusOf(outcome.reason);
  refusal.reason = std::string(NameOf(outcome.reason));
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
