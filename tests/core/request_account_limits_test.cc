#include <catch2/catch.hpp>

#include "umbertrail/core/request/account_limits.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch();

manifest::ClientAccount Account() {
  manifest::ClientAccount account;
  account.id = ClientAccountId("club");
  account.requests_per_second = 8;
  account.tokens_in_flight = Tokens(8000);
  return account;
}

TEST_CASE("an instance's share is the limit over the instances, with room") {
  AccountLimits limits;
  int passed = 0;
  for (int i = 0; i < 100; ++i) {
    passed +=
        limits.Acquire(kStart, Account(), 4, Tokens(1)).has_value() ? 0 : 1;
  }
  CHECK(passed == 4);
  const auto wait = limits.Acquire(kStart, Account(), 4, Tokens(1));
  REQUIRE(wait.has_value());
  CHECK_FALSE(
      limits.Acquire(kStart + *wait, Account(), 4, Tokens(1)).has_value());
}

TEST_CASE("one long prompt passes over the share, a second does not") {
  AccountLimits limits;
  CHECK_FALSE(limits.Acquire(kStart, Account(), 8, Tokens(7000)).has_value());
  CHECK(limits.Acquire(kStart, Account(), 8, Tokens(7000)).has_value());
  limits.Release(ClientAccountId("club"), Tokens(7000));
  CHECK_FALSE(limits.Acquire(kStart, Account(), 8, Tokens(7000)).has_value());
}

}  // namespace
}  // namespace umbertrail::core
