#include "umbertrail/dispatch/urgency.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

Route RouteOfPriority(int priority) {
  Route route;
  route.priority = priority;
  return route;
}

Account AccountOfPriority(std::optional<int> priority) {
  Account account;
  account.priority = priority;
  return account;
}

// Guards against requests of an account with a priority being treated by that
// of their route.
TEST_CASE("an account's priority precedes its route's") {
  const Route route = RouteOfPriority(2);
  const Account urgent = AccountOfPriority(0);
  const Account without = AccountOfPriority(std::nullopt);
  CHECK(UrgencyOf(route, &urgent) == 0);
  CHECK(UrgencyOf(route, &without) == 2);
  CHECK(UrgencyOf(route, nullptr) == 2);
}

// Guards against values that targets don't accept.
TEST_CASE("the urgency stays within its range") {
  CHECK(UrgencyOf(RouteOfPriority(-3), nullptr) == kMostUrgent);
  CHECK(UrgencyOf(RouteOfPriority(40), nullptr) == kLeastUrgent);
}

// Guards against placements among requests of one urgency that change with what
// that urgency is, and against one stream that outweighs all others.
TEST_CASE("urgency weighs relative to the request that is placed") {
  for (int urgency = kMostUrgent; urgency <= kLeastUrgent; ++urgency) {
    CHECK(UrgencyWeight(urgency, urgency) == 1);
  }
  CHECK(UrgencyWeight(1, 2) == 2);
  CHECK(UrgencyWeight(2, 1) == 0.5);
  CHECK(UrgencyWeight(kMostUrgent, kLeastUrgent) == 8);
  CHECK(UrgencyWeight(kLeastUrgent, kMostUrgent) == 0.125);
}

}  // namespace
}  // namespace umbertrail::dispatch
