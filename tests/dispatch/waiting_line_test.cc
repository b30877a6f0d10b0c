#include "umbertrail/dispatch/waiting_line.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

WaitingRank RankOf(int urgency, absl::Duration waited) {
  WaitingRank rank;
  rank.urgency = urgency;
  rank.since = kNow - waited;
  return rank;
}

WaitingRequest Request(WaitingKey key, const WaitingRank& rank) {
  WaitingRequest request;
  request.key = key;
  request.rank = rank;
  request.lapses_at = kNow + absl::Seconds(1);
  return request;
}

TEST_CASE("urgency, then share, then time left, then the wait set the order") {
  const absl::Duration waited = absl::Milliseconds(100);
  const WaitingRank plain = RankOf(2, waited);
  WaitingRank urgent = RankOf(1, absl::ZeroDuration());
  urgent.above_share = true;
  CHECK(RanksBefore(urgent, plain, kNow));
  WaitingRank above = RankOf(2, 2 * waited);
  above.above_share = true;
  CHECK(RanksBefore(plain, above, kNow));
  WaitingRank late = RankOf(2, 2 * waited);
  late.can_be_on_time = false;
  CHECK(RanksBefore(plain, late, kNow));
  CHECK(RanksBefore(late, above, kNow));
  CHECK(RanksBefore(RankOf(2, 2 * waited), plain, kNow));
  CHECK_FALSE(RanksBefore(plain, plain, kNow));
}

// Guards against a request that never gets its turn because more urgent ones,
// or ones of other accounts, keep arriving.
TEST_CASE("a request that waits long goes before more urgent later ones") {
  const absl::Duration long_wait = absl::Milliseconds(2100);
  CHECK_FALSE(
      RanksBefore(RankOf(3, long_wait), RankOf(0, absl::ZeroDuration()), kNow));
  CHECK(
      RanksBefore(RankOf(2, long_wait), RankOf(1, absl::ZeroDuration()), kNow));
  WaitingRank above = RankOf(2, long_wait);
  above.above_share = true;
  CHECK(RanksBefore(above, RankOf(2, absl::ZeroDuration()), kNow));
}

TEST_CASE("an entry is replaced when its request asks again, else it lapses") {
  WaitingLine line;
  CHECK(line.Put(Request(1, RankOf(1, absl::ZeroDuration())), kNow));
  WaitingRequest again = Request(1, RankOf(1, absl::ZeroDuration()));
  again.lapses_at = kNow + absl::Seconds(2);
  CHECK(line.Put(again, kNow));
  CHECK(line.size() == 1);
  line.RemoveLapsed(kNow + absl::Milliseconds(1900));
  CHECK(line.Find(1) != nullptr);
  line.RemoveLapsed(kNow + absl::Seconds(2));
  CHECK(line.size() == 0);
}

TEST_CASE("a request sees those before it, but not itself") {
  WaitingLine line;
  const WaitingRank rank = RankOf(2, absl::Milliseconds(50));
  line.Put(Request(1, RankOf(1, absl::ZeroDuration())), kNow);
  line.Put(Request(2, rank), kNow);
  line.Put(Request(3, RankOf(3, absl::Milliseconds(200))), kNow);
  const auto before = line.Before(2, rank, kNow);
  REQUIRE(before.size() == 1);
  CHECK(before.front()->key == 1);
  CHECK(line.Remove(1));
  CHECK_FALSE(line.Remove(1));
  CHECK(line.Before(2, rank, kNow).empty());
}

// Guards against memory and time that grow with the requests in an overload.
TEST_CASE("a full line keeps those that go first") {
  WaitingLine line;
  for (WaitingKey key = 1; key <= WaitingLine::kMaxLength; ++key) {
    CHECK(line.Put(Request(key, RankOf(key == 7 ? 5 : 3, absl::ZeroDuration())),
                   kNow));
  }
  CHECK_FALSE(line.Put(Request(1000, RankOf(6, absl::ZeroDuration())), kNow));
  CHECK(line.Put(Request(1001, RankOf(2, absl::ZeroDuration())), kNow));
  CHECK(line.size() == WaitingLine::kMaxLength);
  CHECK(line.Find(7) == nullptr);
  CHECK(line.Find(1001) != nullptr);
}

}  // namespace
}  // namespace umbertrail::dispatch
