#ifndef UMBERTRAIL_DISPATCH_ADMISSION_H_
#define UMBERTRAIL_DISPATCH_ADMISSION_H_

#include <optional>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/dispatch/fleet_view.h"

// Whether a request is served at all: route, key and the age of what this
// instance knows of both.

namespace umbertrail::dispatch {

// Why a request ended without a target's answer.
enum class Refusal {
  kNoConfig,
  kNoRoute,
  kBadKey,
  // The configuration in force wasn't confirmed lately enough to trust keys.
  kKeysUnconfirmed,
  // A route or key isn't known here, and may have been added since.
  kConfigUnconfirmed,
  kNoTarget,
  kOverloaded,
  kTimeUsedUp,
  kPoison,
  kBadRequest,
  // The last target failed and no other may be tried.
  kTargetFailed,
  kTargetBusy,
};

// The status to answer with. `may_have_run` excludes those that promise that
// nothing ran.
int StatusOf(Refusal refusal, bool may_have_run);
absl::string_view NameOf(Refusal refusal);

struct Admitted {
  const Route* route = nullptr;
  // Null on a public route.
  const Account* account = nullptr;
};

struct Question {
  absl::string_view host;
  absl::string_view path;
  // The key that the client showed, if any.
  std::optional<absl::string_view> key;
};

struct AdmissionBounds {
  // A key that was taken away may be honoured no longer than this after the
  // store took the change.
  absl::Duration revoke = absl::Seconds(5);
  // Where false, keys are honoured on whatever configuration is known.
  bool strict_revocation = true;
  // Older knowledge doesn't say that a route or key does not exist.
  absl::Duration denial = absl::Seconds(4);
};

// Checks one request against the view at `now`.
std::variant<Admitted, Refusal> Admit(const FleetView& view,
                                      const Question& question,
                                      const AdmissionBounds& bounds,
                                      absl::Time now);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_ADMISSION_H_
