#include "umbertrail/net/alarm.h"

#include <catch2/catch.hpp>

namespace umbertrail::net {
namespace {

struct Owner {
  explicit Owner(Loop& loop) : alarm(loop) {}
  void Ring() { ++rings; }
  void RingOther() { ++other_rings; }
  Timer alarm;
  int rings = 0;
  int other_rings = 0;
};

TEST_CASE("only the last setting rings") {
  Loop loop(1);
  const auto owner = std::make_shared<Owner>(loop);
  owner->alarm.Set(absl::ZeroDuration(), owner, &Owner::Ring);
  owner->alarm.Set(absl::ZeroDuration(), owner, &Owner::RingOther);
  loop.run();
  CHECK(owner->rings == 0);
  CHECK(owner->other_rings == 1);
}

TEST_CASE("a cancelled alarm is silent, also when it has run out") {
  Loop loop(1);
  const auto owner = std::make_shared<Owner>(loop);
  owner->alarm.Set(absl::ZeroDuration(), owner, &Owner::Ring);
  owner->alarm.Cancel();
  loop.run();
  CHECK(owner->rings == 0);
}

TEST_CASE("an alarm doesn't outlive its owner") {
  Loop loop(1);
  auto owner = std::make_shared<Owner>(loop);
  owner->alarm.Set(absl::ZeroDuration(), owner, &Owner::Ring);
  owner.reset();
  loop.run();
  SUCCEED();
}

}  // namespace
}  // namespace umbertrail::net
