#include "umbertrail/dispatch/poison.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const Fingerprint kContent(7);

TargetCrash DeathOf(const char* target) {
  return {kContent, TargetId(target)};
}

TEST_CASE("a content under which targets died is refused") {
  PoisonRegister poison;
  poison.RecordBrokenConnection(DeathOf("a"), kStart);
  CHECK(poison.RecordTargetDown(TargetId("a"), kStart + absl::Seconds(1))
            .size() == 1);
  CHECK_FALSE(poison.IsPoison(kContent, kStart + absl::Seconds(1)));
  poison.RecordBrokenConnection(DeathOf("b"), kStart + absl::Seconds(2));
  poison.RecordTargetDown(TargetId("b"), kStart + absl::Seconds(2));
  CHECK(poison.IsPoison(kContent, kStart + absl::Seconds(2)));
  CHECK_FALSE(poison.IsPoison(Fingerprint(8), kStart + absl::Seconds(2)));
}

TEST_CASE("a death that is told again is no news") {
  PoisonRegister poison;
  CHECK(poison.RecordCrash(DeathOf("a"), kStart));
  CHECK_FALSE(poison.RecordCrash(DeathOf("a"), kStart + absl::Seconds(1)));
  CHECK_FALSE(poison.IsPoison(kContent, kStart + absl::Seconds(1)));
}

TEST_CASE("a lost answer of a target that lives on is no death") {
  PoisonRegister poison;
  for (const char* target : {"a", "b", "c"}) {
    poison.RecordBrokenConnection(DeathOf(target), kStart);
  }
  CHECK_FALSE(poison.IsPoison(kContent, kStart));
}

TEST_CASE("a target that dies much later died of something else") {
  PoisonRegister poison;
  poison.RecordBrokenConnection(DeathOf("a"), kStart);
  const absl::Time late =
      kStart + PoisonRegister::kSuspicion + absl::Milliseconds(1);
  CHECK(poison.RecordTargetDown(TargetId("a"), late).empty());
}

TEST_CASE("one death is counted once, however often it is told") {
  PoisonRegister poison;
  poison.RecordCrash(DeathOf("a"), kStart);
  poison.RecordCrash(DeathOf("a"), kStart);
  CHECK_FALSE(poison.IsPoison(kContent, kStart));
  poison.RecordCrash(DeathOf("b"), kStart);
  CHECK(poison.IsPoison(kContent, kStart));
}

TEST_CASE("deaths are forgotten after a while") {
  PoisonRegister poison;
  poison.RecordCrash(DeathOf("a"), kStart);
  poison.RecordCrash(DeathOf("b"), kStart);
  CHECK_FALSE(
      poison.IsPoison(kContent, kStart + PoisonRegister::kCrashRetention));
}

}  // namespace
}  // namespace umbertrail::dispatch
