#include "umbertrail/dispatch/admission.h"

#include "absl/strings/string_view.h"

namespace umbertrail::dispatch {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// True if the configuration's entries that admit the request, or that would
// deny it, can be relied on.
bool ReliesOnConfirmed(const FleetView& view,
                       const ConfigTrust& trust,
                       const AdmissionRequest& request) {
  if (trust.extent() == ConfigTrust::Extent::kAll) {
    return true;
  }
  const Route* route = view.routes().Find(request.host, request.path);
  if (route == nullptr || !trust.Includes(EntryOf(*route))) {
    return false;
  }
  const auto& accounts = view.config().accounts_by_key;
  if (route->is_public || !accounts) {
    return true;
  }
  const auto account =
      request.key ? accounts->find(*request.key) : accounts->end();
  return account != accounts->end() &&
         trust.Includes(EntryOf(account->first, account->second));
}

}  // namespace

int StatusOf(Refusal refusal, bool may_have_run) {
  switch (refusal) {
    case Refusal::kNoRoute:
      return kNotFound;
    case Refusal::kBadKey:
      return kUnauthorized;
    case Refusal::kBadRequest:
      return kBadRequest;
    case Refusal::kTimeUsedUp:
      return kGatewayTimeout;
    case Refusal::kTargetFailed:
      return kBadGateway;
    case Refusal::kNoConfig:
    case Refusal::kKeysUnconfirmed:
    case Refusal::kConfigUnconfirmed:
    case Refusal::kConfigUnsettled:
    case Refusal::kConfigBehind:
    case Refusal::kNoTarget:
    case Refusal::kOverloaded:
    case Refusal::kPoison:
    case Refusal::kTargetBusy:
      return may_have_run ? kBadGateway : kUnavailable;
  }
  return kBadGateway;
}

absl::string_view NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNoConfig:
      return "no_config";
    case Refusal::kNoRoute:
      return "no_route";
    case Refusal::kBadKey:
      return "bad_key";
    case Refusal::kKeysUnconfirmed:
      return "keys_unconfirmed";
    case Refusal::kConfigUnconfirmed:
      return "config_unconfirmed";
    case Refusal::kConfigUnsettled:
      return "config_unsettled";
    case Refusal::kConfigBehind:
      return "config_behind";
    case Refusal::kNoTarget:
      return "no_target";
    case Refusal::kOverloaded:
      return "overloaded";
    case Refusal::kTimeUsedUp:
      return "time_used_up";
    case Refusal::kPoison:
      return "poison";
    case Refusal::kBadRequest:
      return "bad_request";
    case Refusal::kTargetFailed:
      return "target_failed";
    case Refusal::kTargetBusy:
      return "target_busy";
  }
  return "unknown";
}

std::variant<Admitted, Refusal> Admit(const FleetView& view,
                                      const ConfigTrust& trust,
                                      const AdmissionRequest& request,
                                      const AdmissionBounds& bounds,
                                      absl::Time now) {
  if (!view.has_config()) {
    return Refusal::kNoConfig;
  }
  if (bounds.strict_revocation && !ReliesOnConfirmed(view, trust, request)) {
    return trust.extent() == ConfigTrust::Extent::kNone
               ? Refusal::kConfigUnsettled
               : Refusal::kConfigBehind;
  }
  const absl::Duration age = now - view.config_confirmed_at();
  const bool may_deny = age <= bounds.max_denial_age;
  const Route* route = view.routes().Find(request.host, request.path);
  if (route == nullptr) {
    return may_deny ? Refusal::kNoRoute : Refusal::kConfigUnconfirmed;
  }
  const auto& accounts = view.config().accounts_by_key;
  if (route->is_public || !accounts) {
    return Admitted{route, nullptr};
  }
  if (bounds.strict_revocation && age > bounds.max_revocation_delay) {
    return Refusal::kKeysUnconfirmed;
  }
  const auto account =
      request.key ? accounts->find(*request.key) : accounts->end();
  if (account == accounts->end()) {
    return may_deny ? Refusal::kBadKey : Refusal::kConfigUnconfirmed;
  }
  return Admitted{route, &account->second};
}

}  // namespace umbertrail::dispatch
