#ifndef UMBERTRAIL_CORE_REQUEST_ACCOUNT_LIMITS_H_
#define UMBERTRAIL_CORE_REQUEST_ACCOUNT_LIMITS_H_

#include <map>
#include <optional>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::core {

// An instance's share of each account's limits. Nothing is agreed between
// instances: each takes the account's limit divided by the number of listed
// instances, times a head-room for uneven balancing.
class AccountLimits {
 public:
  // The balancer's spread is uneven over a few seconds; without room an
  // account would be refused well under its limit.
  static constexpr double kHeadroom = 2.0;

  // Takes `tokens` and one request from `account`'s share. Returns nothing on
  // success, else how long until it may succeed. An account with nothing in
  // flight here always passes the token limit, so that one long prompt is
  // never refused for the share's sake.
  std::optional<absl::Duration> Acquire(absl::Time now,
                                        const manifest::ClientAccount& account,
                                        std::size_t instances,
                                        Tokens tokens);

  // Gives back what Acquire took.
  void Release(const ClientAccountId& account, Tokens tokens);

  // Forgets accounts with nothing in flight that `manifest` no longer has.
  void Forget(const manifest::Manifest& manifest);

 private:
  struct Usage {
    double requests = 0.0;  // token bucket
    absl::Time refilled = absl::InfinitePast();
    Tokens in_flight;
  };

  std::map<ClientAccountId, Usage> usage_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_ACCOUNT_LIMITS_H_
