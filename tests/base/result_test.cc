#include <catch2/catch.hpp>

#include "umbertrail/base.h"

namespace umbertrail {
namespace {

TEST_CASE("a result holds a value or an error") {
  const Result<int> good = 4;
  const Result<int> bad = Error{ErrorCode::kTimeout, "no answer"};
  REQUIRE(IsOk(good));
  CHECK(ValueOf(good) == 4);
  REQUIRE_FALSE(IsOk(bad));
  CHECK(ErrorOf(bad).code == ErrorCode::kTimeout);
}

}  // namespace
}  // namespace umbertrail
