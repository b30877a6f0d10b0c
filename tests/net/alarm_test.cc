#include "umbertrail/net/alarm.h"

#include <catch2/catch.hpp>

namespace umbertrail::net {
namespace {

struct Owner {
  explicit Owner(Loop& loop) : timer(loop) {}
  void Fire() { ++fired; }
  void FireOther() { ++other_fired; }
  Timer timer;
  int fired = 0;
  int other_fired = 0;
};

TEST_CASE("only the last Set takes effect") {
  Loop loop(1);
  const auto owner = std::make_shared<Owner>(loop);
  owner->timer.Set(absl::ZeroDuration(), owner, &Owner::Fire);
  owner->timer.Set(absl::ZeroDuration(), owner, &Owner::FireOther);
  loop.run();
  CHECK(owner->fired == 0);
  CHECK(owner->other_fired == 1);
}

TEST_CASE("a cancelled timer does not fire, even after it expired") {
  Loop loop(1);
  const auto owner = std::make_shared<Owner>(loop);
  owner->timer.Set(absl::ZeroDuration(), owner, &Owner::Fire);
  owner->timer.Cancel();
  loop.run();
  CHECK(owner->fired == 0);
}

TEST_CASE("a timer does not fire after its owner is destroyed") {
  Loop loop(1);
  auto owner = std::make_shared<Owner>(loop);
  owner->timer.Set(absl::ZeroDuration(), owner, &Owner::Fire);
  owner.reset();
  loop.run();
  SUCCEED();
}

}  // namespace
}  // namespace umbertrail::net
