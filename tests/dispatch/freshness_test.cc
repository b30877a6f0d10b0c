#include "umbertrail/dispatch/freshness.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("a peer's read is never dated later than it was") {
  // The peer's clock differs by any amount, messages travel for any time, and
  // this instance may be frozen before it reads the answer.
  CHECK(rc::check([] {
    const auto ms = [](int most) {
      return absl::Milliseconds(*rc::gen::inRange(0, most));
    };
    const absl::Time sent = kStart + ms(100000);
    const absl::Time received = sent + ms(10000);
    const absl::Time read_at = received - ms(20000) + ms(20000);
    const absl::Duration skew = ms(2000000) - absl::Seconds(1000);
    StoreReadReport report;
    report.our_message_sent = sent;
    // Computed by the peer in its own clock.
    report.read_after_receipt = (read_at + skew) - (received + skew);
    RC_ASSERT(LocalReadTime(report) <= read_at);
  }));
}

TEST_CASE("a read of a newer revision confirms nothing") {
  StoreReadReport report;
  report.revision = 7;
  CHECK(Confirms(report, {0, 7}));
  CHECK(Confirms(report, {0, 8}));
  CHECK_FALSE(Confirms(report, {0, 6}));
  report.revision = 0;  // The peer has read nothing yet.
  CHECK_FALSE(Confirms(report, {0, 6}));
}

TEST_CASE("reads of different store eras confirm nothing") {
  StoreReadReport report;
  report.era = 2;
  report.revision = 40;
  const KnownStore before{1, 90};
  const KnownStore same{2, 40};
  const KnownStore after{3, 35};
  CHECK_FALSE(Confirms(report, before));
  CHECK(Confirms(report, same));
  CHECK_FALSE(Confirms(report, after));
  // A later era's lower revision is newer: poll the store.
  CHECK(IsAhead(report, before));
  CHECK_FALSE(IsAhead(report, same));
  CHECK_FALSE(IsAhead(report, after));
  CHECK(IsAhead(report, {2, 39}));
}

TEST_CASE("a report on an earlier incarnation's message is invalid") {
  StoreReadReport report;
  report.our_incarnation = 3;
  report.our_message_sent = kStart;
  report.read_after_receipt = absl::Milliseconds(-100);
  CHECK(IsValidReport(report, 3, kStart));
  // The machine lost power, and its clock restarted.
  CHECK_FALSE(IsValidReport(report, 4, kStart));
}

TEST_CASE("a read dated in the future is invalid") {
  StoreReadReport report;
  report.our_incarnation = 3;
  report.our_message_sent = kStart;
  report.read_after_receipt = absl::Milliseconds(1);
  CHECK_FALSE(IsValidReport(report, 3, kStart));
  CHECK(IsValidReport(report, 3, kStart + absl::Milliseconds(1)));
}

TEST_CASE("the batching delay grows with the fleet") {
  const absl::Duration bound = absl::Seconds(2);
  CHECK(BatchingDelay(1, bound) == absl::Milliseconds(250));
  CHECK(BatchingDelay(8, bound) == absl::Milliseconds(250));
  CHECK(BatchingDelay(20, bound) == absl::Milliseconds(600));
  CHECK(BatchingDelay(400, bound) == absl::Seconds(1));
  // At most half of the maximum apply delay.
  CHECK(BatchingDelay(400, absl::Seconds(4)) == absl::Seconds(2));
}

TEST_CASE("few instances of a fleet poll, and all whose view is too old") {
  int polling = 0;
  for (int i = 0; i < 1000; ++i) {
    polling +=
        ShouldPollStore(absl::Milliseconds(1500), 100, i / 1000.0) ? 1 : 0;
  }
  CHECK(polling == 20);
  CHECK(ShouldPollStore(absl::Milliseconds(1500), 1, 0.999));
  // One second below the maximum age for refusals.
  CHECK(ShouldPollStore(absl::Milliseconds(3000), 100, 0.999));
  CHECK_FALSE(ShouldPollStore(absl::Milliseconds(2500), 100, 0.999));
  CHECK_FALSE(ShouldPollStore(absl::Milliseconds(900), 1, 0));
  CHECK(ShouldPollStore(absl::InfiniteDuration(), 100, 0.999));
}

}  // namespace
}  // namespace umbertrail::dispatch
