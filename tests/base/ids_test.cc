#include <catch2/catch.hpp>

#include "umbertrail/base.h"

namespace umbertrail {
namespace {

TEST_CASE("quantities of one kind add and compare") {
  const Tokens prompt(1000);
  const Tokens output(24);
  CHECK((prompt + output) == Tokens(1024));
  CHECK(output < prompt);
}

TEST_CASE("two incarnations of one address are different peers") {
  const InstanceRef first{InstanceId("10.0.0.1:7000"), Incarnation(1)};
  const InstanceRef second{InstanceId("10.0.0.1:7000"), Incarnation(2)};
  CHECK(first != second);
  CHECK(first < second);
}

TEST_CASE("stable hash equals its published value") {
  CHECK(StableHash("") == 0xef46db3751d8e999ULL);
}

TEST_CASE("a seed gives the same numbers each time") {
  auto a = MakeSeededRandom(7);
  auto b = MakeSeededRandom(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(a->Below(10) == b->Below(10));
  }
}

}  // namespace
}  // namespace umbertrail
