#include "umbertrail/dispatch/crash_detector.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const TargetId kTarget("a");
const TargetId kOther("b");
const RequestContents kContents{Fingerprint(7), {Fingerprint(8)}};

TEST_CASE("a target that breaks a request and refuses connections crashed") {
  CrashDetector detector;
  detector.RecordBrokenConnection(kTarget, 3, kContents, kStart);
  detector.RecordUnreachable(kTarget, kStart + absl::Milliseconds(1));
  detector.RecordConnected(kOther, kStart + absl::Milliseconds(20));
  const auto crashes = detector.TakeCrashes(kStart + absl::Milliseconds(20));
  REQUIRE(crashes.size() == 1);
  CHECK(crashes.front().target == kTarget);
  CHECK(crashes.front().born_ms == 3);
  CHECK(crashes.front().at == kStart);
  CHECK(crashes.front().wholes == std::set<Fingerprint>{Fingerprint(7)});
  CHECK(crashes.front().parts == std::set<Fingerprint>{Fingerprint(8)});
  CHECK(detector.TakeCrashes(kStart + absl::Milliseconds(20)).empty());
}

TEST_CASE("a broken connection to a running target isn't a crash") {
  CrashDetector detector;
  detector.RecordBrokenConnection(kTarget, 3, kContents, kStart);
  detector.RecordConnected(kOther, kStart);
  CHECK(detector.TakeCrashes(kStart).empty());
}

TEST_CASE("an instance that lost the links to all targets finds no crashes") {
  CrashDetector detector;
  for (const TargetId& target : {kTarget, kOther}) {
    detector.RecordBrokenConnection(target, 3, kContents, kStart);
    detector.RecordUnreachable(target, kStart + absl::Milliseconds(1));
  }
  CHECK(detector.TakeCrashes(kStart + absl::Seconds(1)).empty());
  // The links are back.
  const absl::Time later =
      kStart + CrashDetector::kContactWindow + absl::Milliseconds(1);
  detector.RecordConnected(kOther, later);
  CHECK(detector.TakeCrashes(later).empty());
}

TEST_CASE("a restart soon after a broken request is a crash") {
  CrashDetector detector;
  detector.RecordBrokenConnection(kTarget, 3, kContents, kStart);
  detector.RecordRestart(kTarget, kStart + absl::Seconds(3));
  CHECK(detector.TakeCrashes(kStart + absl::Seconds(3)).size() == 1);
}

TEST_CASE("a target found down after the detection window has another cause") {
  CrashDetector detector;
  detector.RecordBrokenConnection(kTarget, 3, kContents, kStart);
  const absl::Time late =
      kStart + CrashDetector::kDetectionWindow + absl::Milliseconds(1);
  detector.RecordConnected(kOther, kStart);
  detector.RecordUnreachable(kTarget, late);
  detector.RecordRestart(kTarget, late);
  CHECK(detector.TakeCrashes(late).empty());
}

}  // namespace
}  // namespace umbertrail::dispatch
