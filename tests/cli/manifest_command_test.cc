#include <catch2/catch.hpp>

#include "commands.h"
#include "fixtures.h"

namespace umbertrail::cli {
namespace {

using Catch::Matchers::Contains;

TEST_CASE("faults of a manifest are named and found") {
  const TempFile file("revision: 1\nno_such_key: 2\n");
  MockConsole mock;
  CHECK(CheckManifest({file.path(), false}, mock.console) ==
        ExitStatus::kFound);
  CHECK_THAT(mock.out.str(), Contains(":2:") && Contains("no_such_key"));
  MockConsole json;
  CHECK(CheckManifest({file.path(), true}, json.console) == ExitStatus::kFound);
  CHECK_THAT(json.out.str(), Contains("\"valid\":false"));
}

TEST_CASE("a file that can't be read is a matter of usage") {
  MockConsole mock;
  CHECK(CheckManifest({"/tmp/umbertrail-none", false}, mock.console) ==
        ExitStatus::kUsage);
  CHECK(DiffManifest({"/tmp/umbertrail-none", "x", false}, mock.console) ==
        ExitStatus::kUsage);
}

TEST_CASE("a key's hash is that of salt and secret") {
  const TempFile file("secret\n");
  MockConsole mock;
  CHECK(HashKey({"salt", file.path(), false}, mock.console) == ExitStatus::kOk);
  // SHA-256 of "saltsecret".
  CHECK_THAT(mock.out.str(), Contains("key_hash: bede90386d450cea8b77b822f88870"
                                      "65e4e5abf132c2f9dccfcc7fbd4cba5e35\n"));
  CHECK_THAT(mock.out.str(), !Contains("secret"));
}

}  // namespace
}  // namespace umbertrail::cli
