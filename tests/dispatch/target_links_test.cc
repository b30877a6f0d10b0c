#include "umbertrail/dispatch/target_links.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr size_t kKnownTargets = 18;

TEST_CASE("links are lost when several targets in turn can't be reached") {
  TargetLinks links;
  CHECK_FALSE(links.RecordUnreachable(TargetId("a"), kKnownTargets));
  CHECK_FALSE(links.RecordUnreachable(TargetId("b"), kKnownTargets));
  CHECK_FALSE(links.RecordUnreachable(TargetId("b"), kKnownTargets));
  CHECK_FALSE(links.lost());
  CHECK(links.RecordUnreachable(TargetId("c"), kKnownTargets));
  CHECK(links.lost());
  CHECK_FALSE(links.RecordUnreachable(TargetId("d"), kKnownTargets));
  CHECK(links.RecordContact(kStart));
  CHECK_FALSE(links.lost());
  CHECK_FALSE(links.RecordContact(kStart));
}

TEST_CASE("links aren't lost while some target is heard") {
  TargetLinks links;
  for (const char* target : {"a", "b", "c", "d", "e"}) {
    CHECK_FALSE(links.RecordUnreachable(TargetId(target), kKnownTargets));
    links.RecordContact(kStart);
  }
}

TEST_CASE("fewer targets suffice where there are no more") {
  TargetLinks links;
  CHECK_FALSE(links.RecordUnreachable(TargetId("a"), 2));
  CHECK(links.RecordUnreachable(TargetId("b"), 2));
}

TEST_CASE("silence is counted from the last contact") {
  TargetLinks links;
  links.RecordContact(kStart);
  CHECK_FALSE(links.IsSilent(kStart + TargetLinks::kMaxSilence / 2));
  CHECK(links.IsSilent(kStart + TargetLinks::kMaxSilence));
}

}  // namespace
}  // namespace umbertrail::dispatch
