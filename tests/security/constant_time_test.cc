#include "umbertrail/security/constant_time.h"

#include <catch2/catch.hpp>

namespace umbertrail::security {
namespace {

TEST_CASE("strings are compared byte by byte") {
  CHECK(ConstantTimeEquals("", ""));
  CHECK(ConstantTimeEquals("abc", "abc"));
  CHECK_FALSE(ConstantTimeEquals("abc", "abd"));
  CHECK_FALSE(ConstantTimeEquals("abc", "ab"));
}

}  // namespace
}  // namespace umbertrail::security
