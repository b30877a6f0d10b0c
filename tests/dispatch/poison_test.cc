#include "umbertrail/dispatch/poison.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const Fingerprint kContent(7);

TargetCrash CrashOf(const char* target) {
  return {kContent, TargetId(target)};
}

TEST_CASE("content that crashed two targets is refused") {
  PoisonRegister poison;
  poison.RecordBrokenConnection(CrashOf("a"), kStart);
  CHECK(poison.RecordTargetDown(TargetId("a"), kStart + absl::Seconds(1))
            .size() == 1);
  CHECK_FALSE(poison.IsPoison(kContent, kStart + absl::Seconds(1)));
  poison.RecordBrokenConnection(CrashOf("b"), kStart + absl::Seconds(2));
  poison.RecordTargetDown(TargetId("b"), kStart + absl::Seconds(2));
  CHECK(poison.IsPoison(kContent, kStart + absl::Seconds(2)));
  CHECK_FALSE(poison.IsPoison(Fingerprint(8), kStart + absl::Seconds(2)));
}

TEST_CASE("a crash reported again isn't new") {
  PoisonRegister poison;
  CHECK(poison.RecordCrash(CrashOf("a"), kStart));
  CHECK_FALSE(poison.RecordCrash(CrashOf("a"), kStart + absl::Seconds(1)));
  CHECK_FALSE(poison.IsPoison(kContent, kStart + absl::Seconds(1)));
}

TEST_CASE("a broken connection to a running target isn't a crash") {
  PoisonRegister poison;
  for (const char* target : {"a", "b", "c"}) {
    poison.RecordBrokenConnection(CrashOf(target), kStart);
  }
  CHECK_FALSE(poison.IsPoison(kContent, kStart));
}

TEST_CASE("a crash after the detection window has another cause") {
  PoisonRegister poison;
  poison.RecordBrokenConnection(CrashOf("a"), kStart);
  const absl::Time late =
      kStart + PoisonRegister::kDetectionWindow + absl::Milliseconds(1);
  CHECK(poison.RecordTargetDown(TargetId("a"), late).empty());
}

TEST_CASE("repeated reports of a crash count once") {
  PoisonRegister poison;
  poison.RecordCrash(CrashOf("a"), kStart);
  poison.RecordCrash(CrashOf("a"), kStart);
  CHECK_FALSE(poison.IsPoison(kContent, kStart));
  poison.RecordCrash(CrashOf("b"), kStart);
  CHECK(poison.IsPoison(kContent, kStart));
}

TEST_CASE("crashes expire after the retention period") {
  PoisonRegister poison;
  poison.RecordCrash(CrashOf("a"), kStart);
  poison.RecordCrash(CrashOf("b"), kStart);
  CHECK_FALSE(
      poison.IsPoison(kContent, kStart + PoisonRegister::kCrashRetention));
}

}  // namespace
}  // namespace umbertrail::dispatch
