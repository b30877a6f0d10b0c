#ifndef UMBERTRAIL_DISPATCH_ADMISSION_H_
#define UMBERTRAIL_DISPATCH_ADMISSION_H_

#include <optional>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/dispatch/config_agreement.h"
#include "umbertrail/dispatch/fleet_view.h"

// Admission control by route, API key and the age of the view of both.

namespace umbertrail::dispatch {

// Why a request failed without an answer from a target.
enum class Refusal {
  kNoConfig,
  kNoRoute,
  kBadKey,
  // The configuration was last confirmed too long ago to trust keys.
  kKeysUnconfirmed,
  // The route or key is unknown here, but may have been added since the last
  // confirmation.
  kConfigUnconfirmed,
  // It isn't known yet whether other instances hold a later configuration.
  kConfigUnsettled,
  // Another instance holds a later configuration, which the store lacks; the
  // route or key isn't known to be in it.
  kConfigBehind,
  kNoTarget,
  kOverloaded,
  kTimeUsedUp,
  kPoison,
  kBadRequest,
  // The last target failed and no retry is permitted.
  kTargetFailed,
  kTargetBusy,
};

// HTTP status of the response. `may_have_run` excludes statuses that promise
// that nothing was executed.
int StatusOf(Refusal refusal, bool may_have_run);
absl::string_view NameOf(Refusal refusal);

struct Admitted {
  const Route* route = nullptr;
  // Null on a public route.
  const Account* account = nullptr;
};

struct AdmissionRequest {
  absl::string_view host;
  absl::string_view path;
  // The API key that the client presented, if any.
  std::optional<absl::string_view> key;
};

struct AdmissionBounds {
  // A revoked key may be accepted no longer than this after the store recorded
  // the revocation.
  absl::Duration max_revocation_delay = absl::Seconds(5);
  // If false, keys are accepted regardless of the configuration's age, and of
  // later ones that other instances hold.
  bool strict_revocation = true;
  // Beyond this age, a view can't prove that a route or key doesn't exist.
  absl::Duration max_denial_age = absl::Seconds(4);
};

// Checks one request against the view at `now`, as far as its configuration can
// be relied on.
std::variant<Admitted, Refusal> Admit(const FleetView& view,
                                      const ConfigTrust& trust,
                                      const AdmissionRequest& request,
                                      const AdmissionBounds& bounds,
                                      absl::Time now);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_ADMISSION_H_
