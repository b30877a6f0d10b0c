#include <catch2/catch.hpp>

#include "umbertrail/manifest.h"

namespace umbertrail::manifest {
namespace {

TEST_CASE("content hash is SHA-256 in hex") {
  CHECK(ContentHash("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(IsContentHash(ContentHash("")));
  CHECK_FALSE(IsContentHash("ba78"));
  CHECK_FALSE(IsContentHash(std::string(kHashDigits, 'G')));
}

TEST_CASE("a key is verified by its salted hash") {
  ClientAccount account;
  account.key_salt = "pepper";
  account.key_hash = HashKey("pepper", "secret");
  CHECK(VerifyKey(account, "secret"));
  CHECK_FALSE(VerifyKey(account, "secre"));
  CHECK_FALSE(VerifyKey(account, ""));
  account.key_hash.clear();
  CHECK_FALSE(VerifyKey(account, "secret"));
}

}  // namespace
}  // namespace umbertrail::manifest
