#include "umbertrail/dispatch/freshness.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE("a peer's reading never counts as later than it was") {
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
    StoreReadReport reading;
    reading.our_message_sent = sent;
    // What the peer computes in its own clock.
    reading.read_after_receipt = (read_at + skew) - (received + skew);
    RC_ASSERT(LocalReadTime(reading) <= read_at);
  }));
}

TEST_CASE("a reading of something newer confirms nothing") {
  StoreReadReport reading;
  reading.revision = 7;
  CHECK(Confirms(reading, {0, 7}));
  CHECK(Confirms(reading, {0, 8}));
  CHECK_FALSE(Confirms(reading, {0, 6}));
  reading.revision = 0;  // The peer has read nothing yet.
  CHECK_FALSE(Confirms(reading, {0, 6}));
}

TEST_CASE("readings of two eras of the store confirm nothing to each other") {
  StoreReadReport reading;
  reading.era = 2;
  reading.revision = 40;
  const KnownStore before{1, 90};
  const KnownStore same{2, 40};
  const KnownStore after{3, 35};
  CHECK_FALSE(Confirms(reading, before));
  CHECK(Confirms(reading, same));
  CHECK_FALSE(Confirms(reading, after));
  // Its lower revision is newer: the store is to be asked.
  CHECK(IsAhead(reading, before));
  CHECK_FALSE(IsAhead(reading, same));
  CHECK_FALSE(IsAhead(reading, after));
  CHECK(IsAhead(reading, {2, 39}));
}

TEST_CASE("a reading against an earlier life's message confirms nothing") {
  StoreReadReport reading;
  reading.our_incarnation = 3;
  reading.our_message_sent = kStart;
  reading.read_after_receipt = absl::Milliseconds(-100);
  CHECK(IsValidReport(reading, 3, kStart));
  // The machine lost power, and its clock began anew.
  CHECK_FALSE(IsValidReport(reading, 4, kStart));
}

TEST_CASE("a reading of a moment to come confirms nothing") {
  StoreReadReport reading;
  reading.our_incarnation = 3;
  reading.our_message_sent = kStart;
  reading.read_after_receipt = absl::Milliseconds(1);
  CHECK_FALSE(IsValidReport(reading, 3, kStart));
  CHECK(IsValidReport(reading, 3, kStart + absl::Milliseconds(1)));
}

TEST_CASE("changes are gathered for longer where many instances ask") {
  const absl::Duration bound = absl::Seconds(2);
  CHECK(BatchingDelay(1, bound) == absl::Milliseconds(250));
  CHECK(BatchingDelay(8, bound) == absl::Milliseconds(250));
  CHECK(BatchingDelay(20, bound) == absl::Milliseconds(600));
  CHECK(BatchingDelay(400, bound) == absl::Seconds(1));
  // Never longer than half of what the operators allow.
  CHECK(BatchingDelay(400, absl::Seconds(4)) == absl::Seconds(2));
}

TEST_CASE("few of many instances ask, and every one that is left alone") {
  int asking = 0;
  for (int i = 0; i < 1000; ++i) {
    asking +=
        ShouldPollStore(absl::Milliseconds(1500), 100, i / 1000.0) ? 1 : 0;
  }
  CHECK(asking == 20);
  CHECK(ShouldPollStore(absl::Milliseconds(1500), 1, 0.999));
  // A second before the oldest knowledge that refusals may rest on.
  CHECK(ShouldPollStore(absl::Milliseconds(3000), 100, 0.999));
  CHECK_FALSE(ShouldPollStore(absl::Milliseconds(2500), 100, 0.999));
  CHECK_FALSE(ShouldPollStore(absl::Milliseconds(900), 1, 0));
  CHECK(ShouldPollStore(absl::InfiniteDuration(), 100, 0.999));
}

}  // namespace
}  // namespace umbertrail::dispatch
