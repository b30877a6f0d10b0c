#include "umbertrail/telemetry/names.h"

#include <array>
#include <cstddef>

namespace umbertrail::telemetry {
namespace {

using core::AdmitDecision;
using core::AttemptFailure;
using core::AttemptResult;
using core::LengthClass;
using core::OwnerClaim;
using core::Ran;
using core::Reason;
using core::TargetState;

// In the order of the alternatives of core::PeerPayload.
constexpr std::array<std::string_view, 22> kPayloadNames = {
    "probe_request",       "probe_reply",       "admit_request",
    "admit_reply",         "admit_ready",       "attempts_alive",
    "attempt_settled",     "suspend_attempt",   "owner_handover",
    "head_query",          "head_offer",        "part_request",
    "part_reply",          "screen_request",    "screen_reply",
    "screen_ended",        "submit_forward",    "submit_result",
    "redemption_handover", "key_grant_request", "key_grant_reply",
    "key_ended",
};
static_assert(kPayloadNames.size() == std::variant_size_v<core::PeerPayload>);

}  // namespace

std::string_view NameOf(Reason reason) {
  switch (reason) {
    case Reason::kOk:
      return "ok";
    case Reason::kMalformed:
      return "malformed";
    case Reason::kUnauthorised:
      return "unauthorised";
    case Reason::kForbidden:
      return "forbidden";
    case Reason::kUnknownModel:
      return "unknown_model";
    case Reason::kTooLong:
      return "too_long";
    case Reason::kTicketRequired:
      return "ticket_required";
    case Reason::kTicketInvalid:
      return "ticket_invalid";
    case Reason::kTicketUsed:
      return "ticket_used";
    case Reason::kIssuerGone:
      return "issuer_gone";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kOverAccountLimit:
      return "over_account_limit";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kDeadlineInfeasible:
      return "deadline_infeasible";
    case Reason::kDeadlineExceeded:
      return "deadline_exceeded";
    case Reason::kNoTarget:
      return "no_target";
    case Reason::kNotFresh:
      return "not_fresh";
    case Reason::kStopping:
      return "stopping";
    case Reason::kRetriesExhausted:
      return "retries_exhausted";
    case Reason::kTargetFailed:
      return "target_failed";
    case Reason::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

std::string_view NameOf(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kYes:
      return "yes";
  }
  return "unknown";
}

std::string_view NameOf(LengthClass length_class) {
  switch (length_class) {
    case LengthClass::kShort:
      return "short";
    case LengthClass::kMedium:
      return "medium";
    case LengthClass::kLong:
      return "long";
  }
  return "unknown";
}

std::string_view NameOf(AdmitDecision decision) {
  switch (decision) {
    case AdmitDecision::kGranted:
      return "granted";
    case AdmitDecision::kQueued:
      return "queued";
    case AdmitDecision::kRefused:
      return "refused";
  }
  return "unknown";
}

std::string_view NameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kSaidNotRun:
      return "said_not_run";
    case AttemptFailure::kRefusedRestart:
      return "refused_restart";
    case AttemptFailure::kAnswered:
      return "answered";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kSilent:
      return "silent";
  }
  return "unknown";
}

std::string_view NameOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kDone:
      return "done";
    case AttemptResult::kNotStarted:
      return "not_started";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kCancelled:
      return "cancelled";
    case AttemptResult::kSuspended:
      return "suspended";
  }
  return "unknown";
}

std::string_view NameOf(OwnerClaim claim) {
  switch (claim) {
    case OwnerClaim::kNone:
      return "none";
    case OwnerClaim::kSettling:
      return "settling";
    case OwnerClaim::kHalf:
      return "half";
    case OwnerClaim::kFull:
      return "full";
  }
  return "unknown";
}

std::string_view NameOf(TargetState state) {
  switch (state) {
    case TargetState::kCold:
      return "cold";
    case TargetState::kWarm:
      return "warm";
    case TargetState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::string_view NameOf(core::OrderAnswered::Result result) {
  switch (result) {
    case core::OrderAnswered::Result::kAccepted:
      return "accepted";
    case core::OrderAnswered::Result::kOldFence:
      return "old_fence";
    case core::OrderAnswered::Result::kWeightStoreBusy:
      return "weight_store_busy";
    case core::OrderAnswered::Result::kFailed:
      return "failed";
  }
  return "unknown";
}

std::string_view NameOf(core::ScreenVerdict verdict) {
  switch (verdict) {
    case core::ScreenVerdict::kRun:
      return "run";
    case core::ScreenVerdict::kWait:
      return "wait";
    case core::ScreenVerdict::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

std::string_view NameOf(core::KeyGrantDecision decision) {
  switch (decision) {
    case core::KeyGrantDecision::kAgreed:
      return "agreed";
    case core::KeyGrantDecision::kSeenBefore:
      return "seen_before";
    case core::KeyGrantDecision::kNotHome:
      return "not_home";
    case core::KeyGrantDecision::kTooYoung:
      return "too_young";
  }
  return "unknown";
}

std::string_view NameOf(const core::PeerPayload& payload) {
  return kPayloadNames.at(payload.index());
}

}  // namespace umbertrail::telemetry
