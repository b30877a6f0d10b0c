#include "umbertrail/security/key_file.h"

#include <catch2/catch.hpp>

#include "temp_file.h"

namespace umbertrail::security {
namespace {

using Catch::Matchers::Contains;

constexpr char kFirst[] = "k1 00112233445566778899aabbccddeeff\n";
constexpr char kSecond[] = "k2 ffeeddccbbaa99887766554433221100\n";

TEST_CASE("keys are returned in file order") {
  const auto keys =
      ParseKeys(std::string("# link keys\n\n") + kSecond + kFirst);
  REQUIRE(IsOk(keys));
  REQUIRE(ValueOf(keys).size() == 2);
  CHECK(ValueOf(keys)[0].id == "k2");
  CHECK(ValueOf(keys)[1].secret.size() == 16);
}

TEST_CASE("parse errors contain the line number but no secret") {
  const auto text =
      GENERATE(as<std::string>(), "k1\n", "k1 0011 22\n", "k1 0011\n",
               "k1 zz112233445566778899aabbccddeeff\n",
               "k1 00112233445566778899aabbccddeeff0\n");
  const auto keys = ParseKeys("# first line\n" + text);
  REQUIRE_FALSE(IsOk(keys));
  CHECK_THAT(ErrorOf(keys).message, Contains("line 2"));
  CHECK_THAT(ErrorOf(keys).message, !Contains("2233"));
}

TEST_CASE("an empty list and a duplicate id are rejected") {
  CHECK_FALSE(IsOk(ParseKeys("")));
  CHECK_FALSE(IsOk(ParseKeys(std::string(kFirst) + kFirst)));
}

TEST_CASE("a key file accessible to group or others is rejected") {
  TempFile file(kFirst);
  CHECK(IsOk(ReadKeyFile(file.path())));
  const auto mode = GENERATE(0640, 0604, 0620, 0601);
  file.SetMode(static_cast<mode_t>(mode));
  const auto keys = ReadKeyFile(file.path());
  REQUIRE_FALSE(IsOk(keys));
  CHECK(ErrorOf(keys).code == ErrorCode::kPermissionDenied);
}

TEST_CASE("a directory or a missing file is rejected") {
  CHECK_FALSE(IsOk(ReadKeyFile("/tmp")));
  CHECK_FALSE(IsOk(ReadKeyFile("/tmp/umbertrail-no-such-file")));
}

TEST_CASE("a failed reload keeps the previous keys") {
  TempFile file(kFirst);
  auto ring = KeyRing::Load(file.path());
  REQUIRE(IsOk(ring));
  file.Write(std::string(kSecond) + kFirst);
  CHECK(IsOk(ValueOf(ring)->Reload()));
  CHECK(ValueOf(ring)->keys()->at(0).id == "k2");
  file.Write("broken");
  CHECK_FALSE(IsOk(ValueOf(ring)->Reload()));
  CHECK(ValueOf(ring)->keys()->size() == 2);
}

}  // namespace
}  // namespace umbertrail::security
