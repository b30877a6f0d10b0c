#include "umbertrail/security/key_file.h"

#include <catch2/catch.hpp>

#include "temp_file.h"

namespace umbertrail::security {
namespace {

using Catch::Matchers::Contains;

constexpr char kFirst[] = "k1 00112233445566778899aabbccddeeff\n";
constexpr char kSecond[] = "k2 ffeeddccbbaa99887766554433221100\n";

TEST_CASE("keys keep the order of their file") {
  const auto keys =
      ParseKeys(std::string("# link keys\n\n") + kSecond + kFirst);
  REQUIRE(IsOk(keys));
  REQUIRE(ValueOf(keys).size() == 2);
  CHECK(ValueOf(keys)[0].id == "k2");
  CHECK(ValueOf(keys)[1].secret.size() == 16);
}

TEST_CASE("a malformed key file is refused by line and without its secret") {
  const auto text =
      GENERATE(as<std::string>(), "k1\n", "k1 0011 22\n", "k1 0011\n",
               "k1 zz112233445566778899aabbccddeeff\n",
               "k1 00112233445566778899aabbccddeeff0\n");
  const auto keys = ParseKeys("# first line\n" + text);
  REQUIRE_FALSE(IsOk(keys));
  CHECK_THAT(ErrorOf(keys).message, Contains("line 2"));
  CHECK_THAT(ErrorOf(keys).message, !Contains("2233"));
}

TEST_CASE("an empty list and a repeated id are refused") {
  CHECK_FALSE(IsOk(ParseKeys("")));
  CHECK_FALSE(IsOk(ParseKeys(std::string(kFirst) + kFirst)));
}

TEST_CASE("a key file that others may read is refused") {
  TempFile file(kFirst);
  CHECK(IsOk(ReadKeyFile(file.path())));
  const auto mode = GENERATE(0640, 0604, 0620, 0601);
  file.SetMode(static_cast<mode_t>(mode));
  const auto keys = ReadKeyFile(file.path());
  REQUIRE_FALSE(IsOk(keys));
  CHECK(ErrorOf(keys).code == ErrorCode::kPermissionDenied);
}

TEST_CASE("what is not a regular file is refused") {
  CHECK_FALSE(IsOk(ReadKeyFile("/tmp")));
  CHECK_FALSE(IsOk(ReadKeyFile("/tmp/umbertrail-no-such-file")));
}

TEST_CASE("a reload takes new keys and keeps the former on a fault") {
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
