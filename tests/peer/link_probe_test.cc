#include "link_probe.h"

#include <catch2/catch.hpp>

namespace umbertrail::peer::detail {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(100);

TEST_CASE("an idle link is never pinged") {
  const LinkProbe probe(absl::Seconds(1), absl::Seconds(2));
  CHECK(probe.confirmed());
  CHECK_FALSE(probe.PingDue(kStart + absl::Hours(1)));
  CHECK_FALSE(probe.Silent(kStart + absl::Hours(1)));
}

TEST_CASE("an answered ping confirms what was sent before it") {
  LinkProbe probe(absl::Seconds(1), absl::Seconds(2));
  probe.OnSent(kStart);
  CHECK_FALSE(probe.PingDue(kStart));
  REQUIRE(probe.PingDue(kStart + absl::Seconds(1)));
  const uint64_t ping = probe.StartPing(kStart + absl::Seconds(1));
  CHECK_FALSE(probe.PingDue(kStart + absl::Seconds(2)));

  SECTION("nothing was sent since") {
    probe.OnAnswered(ping, kStart + absl::Seconds(2));
    CHECK(probe.confirmed());
  }
  SECTION("something was sent since") {
    probe.OnSent(kStart + absl::Seconds(1));
    probe.OnAnswered(ping, kStart + absl::Seconds(2));
    CHECK_FALSE(probe.confirmed());
    CHECK(probe.PingDue(kStart + absl::Seconds(3)));
  }
  SECTION("another ping's answer counts for nothing") {
    probe.OnAnswered(ping + 1, kStart + absl::Seconds(2));
    CHECK_FALSE(probe.confirmed());
  }
}

TEST_CASE("an unanswered ping marks the link silent") {
  LinkProbe probe(absl::Seconds(1), absl::Seconds(2));
  probe.OnSent(kStart);
  probe.StartPing(kStart);
  CHECK_FALSE(probe.Silent(kStart + absl::Seconds(2)));
  CHECK(probe.Silent(kStart + absl::Seconds(3)));
}

}  // namespace
}  // namespace umbertrail::peer::detail
