#include "umbertrail/dispatch/config_agreement.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

using Standing = ConfigAgreement::Standing;
using Start = ConfigAgreement::Start;

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kMoment = absl::Milliseconds(1);
const InstanceId kHolder("10.1.0.1");
constexpr ConfigEntry kKeptKey(7);
constexpr ConfigEntry kTakenKey(9);

// The store before a restoration that loses version 9, and after it.
constexpr KnownStore kBefore{1, 40};
constexpr KnownStore kRestored{2, 12};
constexpr uint64_t kOld = 5;
constexpr uint64_t kLost = 9;

ConfigClaim Claim(absl::Time at,
                  uint64_t version = kLost,
                  const KnownStore& store = kBefore) {
  return {version, kHolder, store, at};
}

// The holder's configuration lacks the key that was taken away.
ConfigEntriesPage LostEntries() {
  return {kLost, ConfigEntry(), {kKeptKey}, true};
}

// Lets the holder answer all questions that are due.
void Answer(ConfigAgreement* agreement, absl::Time now) {
  const auto question = agreement->TakeQuestion(now);
  REQUIRE(question);
  CHECK(question->holder == kHolder);
  agreement->RecordEntries(question->holder, LostEntries(), now);
}

void CheckBehind(const ConfigAgreement& agreement, absl::Time now) {
  CHECK(agreement.StandingAt(now) == Standing::kBehind);
  CHECK(agreement.TrustAt(now).Includes(kKeptKey));
  CHECK_FALSE(agreement.TrustAt(now).Includes(kTakenKey));
}

TEST_CASE("at the fleet's first start the store is believed at once") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  CHECK_FALSE(agreement.settled());
  agreement.RecordOwn({kOld, kBefore}, false, kStart);
  CHECK(agreement.settled());
  CHECK(agreement.StandingAt(kStart) == Standing::kCurrent);
  CHECK(agreement.TrustAt(kStart).Includes(kTakenKey));
}

TEST_CASE("a restarted instance serves once a settled one was heard") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kBefore}, false, kStart + kMoment);
  CHECK(agreement.StandingAt(kStart + kMoment) == Standing::kUnsettled);
  CHECK(agreement.TrustAt(kStart).extent() == ConfigTrust::Extent::kNone);
  // One that has started too knows nothing.
  agreement.RecordPeer(false, kStart + 2 * kMoment);
  CHECK(agreement.StandingAt(kStart + 2 * kMoment) == Standing::kUnsettled);
  agreement.MergeClaim(Claim(kStart, kOld), kStart + 3 * kMoment);
  agreement.RecordPeer(true, kStart + 3 * kMoment);
  CHECK(agreement.StandingAt(kStart + 3 * kMoment) == Standing::kCurrent);
}

// Guards against a copy of the store that is taken for the present by an
// instance which was restarted; in either order of events.
TEST_CASE(
    "a restarted instance is behind a configuration that the store lost") {
  ConfigAgreement agreement(Start::kLater, kStart);
  const absl::Time now = kStart + kMoment;
  const auto hear = [&] {
    agreement.MergeClaim(Claim(now), now);
    agreement.RecordPeer(true, now);
  };
  const auto read = [&] { agreement.RecordOwn({kOld, kRestored}, true, now); };
  SECTION("the store answers first") {
    read();
    CHECK(agreement.StandingAt(now) == Standing::kUnsettled);
    hear();
  }
  SECTION("another instance is heard first") {
    hear();
    CHECK(agreement.StandingAt(now) == Standing::kUnsettled);
    read();
  }
  // Not before it is known what the later configuration has.
  CHECK(agreement.StandingAt(now) == Standing::kUnsettled);
  Answer(&agreement, now);
  CheckBehind(agreement, now);
  // The operator writes it again.
  agreement.RecordOwn({kLost, {2, 13}}, false, now + absl::Seconds(2));
  CHECK(agreement.StandingAt(now + absl::Seconds(2)) == Standing::kCurrent);
}

TEST_CASE("a running instance that was cut off is behind after a drill") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kOld, {1, 38}}, false, kStart);
  agreement.RecordPeer(true, kStart);
  const absl::Time cut = kStart + absl::Seconds(60);
  // Cut off from the store alone: the store itself will tell.
  agreement.MergeClaim(Claim(cut), cut);
  agreement.RecordPeer(true, cut);
  CHECK(agreement.StandingAt(cut) == Standing::kCurrent);
  CHECK_FALSE(agreement.TakeQuestion(cut));
  const absl::Time back = cut + absl::Seconds(1);
  agreement.MergeClaim(Claim(back), back);
  agreement.RecordPeer(true, back);
  agreement.RecordOwn({kOld, kRestored}, false, back);
  Answer(&agreement, back);
  CheckBehind(agreement, back);
}

TEST_CASE("an isolated instance asks others before it believes a copy") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kOld, kBefore}, false, kStart);
  agreement.RecordPeer(true, kStart);
  const absl::Time back = kStart + absl::Minutes(1);
  agreement.RecordOwn({kOld, kRestored}, false, back);
  CHECK(agreement.StandingAt(back) == Standing::kUnsettled);
  agreement.RecordPeer(true, back + kMoment);
  CHECK(agreement.StandingAt(back + kMoment) == Standing::kCurrent);
}

TEST_CASE("the only instance of a fleet serves on through a drill") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kLost, kBefore}, false, kStart);
  const absl::Time back = kStart + absl::Minutes(1);
  agreement.RecordOwn({kLost, kRestored}, true, back);
  CHECK(agreement.StandingAt(back) == Standing::kCurrent);
}

TEST_CASE("an instance in touch with others serves on through a drill") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kLost, kBefore}, false, kStart);
  agreement.RecordPeer(true, kStart + absl::Seconds(9));
  const absl::Time back = kStart + absl::Milliseconds(9500);
  agreement.RecordOwn({kLost, kRestored}, true, back);
  CHECK(agreement.StandingAt(back) == Standing::kCurrent);
}

TEST_CASE(
    "a configuration that the store is about to show is no contradiction") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kOld, kRestored}, false, kStart);
  agreement.MergeClaim(Claim(kStart, kLost, {2, 13}), kStart);
  agreement.MergeClaim(Claim(kStart + kMoment, kLost, {3, 2}), kStart);
  CHECK_FALSE(agreement.TakeQuestion(kStart));
  CHECK(agreement.TrustAt(kStart).Includes(kTakenKey));
}

// All instances restarted: none is left that knows.
TEST_CASE("without anyone who remembers, the operator is awaited for a while") {
  ConfigAgreement agreement(Start::kLater, kStart);
  const absl::Time back = kStart + absl::Seconds(20);
  SECTION("the store was seen away") {
    agreement.RecordPeer(false, kStart);
    agreement.RecordOwn({kOld, kRestored}, true, back);
    const absl::Time until = back + ConfigAgreement::kRewriteTime;
    CHECK(agreement.StandingAt(until - kMoment) == Standing::kUnsettled);
    CHECK(agreement.StandingAt(until) == Standing::kCurrent);
  }
  SECTION("the operator writes") {
    agreement.RecordOwn({kOld, kRestored}, true, back);
    agreement.RecordOwn({kLost, {2, 13}}, false, back + absl::Seconds(1));
    CHECK(agreement.settled());
  }
  SECTION("the store was there, and nobody is heard") {
    agreement.RecordOwn({kOld, kRestored}, false, back);
    const absl::Time until = back + ConfigAgreement::kMaxUnsettled;
    CHECK(agreement.StandingAt(until - kMoment) == Standing::kUnsettled);
    CHECK(agreement.StandingAt(until) == Standing::kCurrent);
  }
  SECTION("the store was there, and all have started") {
    agreement.RecordOwn({kOld, kRestored}, false, back);
    agreement.RecordPeer(false, back + absl::Milliseconds(200));
    agreement.RecordPeer(false, back + absl::Milliseconds(400));
    const absl::Time until =
        back + absl::Milliseconds(200) + ConfigAgreement::kMaxUnsettledTogether;
    CHECK(agreement.StandingAt(until - kMoment) == Standing::kUnsettled);
    CHECK(agreement.StandingAt(until) == Standing::kCurrent);
  }
}

// The page: a store that may be restored states an era in all its responses.
TEST_CASE("a store that states no era is believed at once") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, {0, 40}}, true, kStart);
  CHECK(agreement.settled());
  agreement.MergeClaim(Claim(kStart, kLost, {0, 40}), kStart);
  agreement.Update(kStart);
  CHECK_FALSE(agreement.TakeQuestion(kStart));
  CHECK(agreement.TrustAt(kStart).Includes(kTakenKey));
}

TEST_CASE("entries arrive in parts, in order") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kRestored}, false, kStart);
  agreement.MergeClaim(Claim(kStart), kStart);
  agreement.RecordPeer(true, kStart);
  REQUIRE(agreement.TakeQuestion(kStart));
  agreement.RecordEntries(kHolder, {kLost, ConfigEntry(), {kKeptKey}, false},
                          kStart);
  const auto next = agreement.TakeQuestion(kStart);
  REQUIRE(next);
  CHECK(next->from == ConfigEntry(8));
  // A late copy of the first part, and a part beyond a gap.
  agreement.RecordEntries(kHolder, {kLost, ConfigEntry(), {kTakenKey}, false},
                          kStart);
  agreement.RecordEntries(
      kHolder, {kLost, ConfigEntry(9), {ConfigEntry(9)}, true}, kStart);
  CHECK(agreement.StandingAt(kStart) == Standing::kUnsettled);
  agreement.RecordEntries(
      kHolder, {kLost, ConfigEntry(8), {ConfigEntry(30)}, true}, kStart);
  CheckBehind(agreement, kStart);
  CHECK(agreement.TrustAt(kStart).Includes(ConfigEntry(30)));
}

// Without an order, a holder could let itself be asked for the same part for
// good.
TEST_CASE("a holder whose parts make no progress is not asked again") {
  constexpr ConfigEntry last_of_all(UINT64_MAX);
  const ConfigEntriesPage pages[] = {
      {kLost, ConfigEntry(), {}, false},
      {kLost, ConfigEntry(9), {kKeptKey}, true},
      {kLost, ConfigEntry(), {last_of_all}, false},
      {kLost, ConfigEntry(), {kTakenKey, kKeptKey}, false},
      {kLost, ConfigEntry(), {kKeptKey, kKeptKey}, false}};
  for (const ConfigEntriesPage& malformed : pages) {
    ConfigAgreement agreement(Start::kLater, kStart);
    agreement.RecordOwn({kOld, kRestored}, false, kStart);
    agreement.MergeClaim(Claim(kStart), kStart);
    REQUIRE(agreement.TakeQuestion(kStart));
    agreement.RecordEntries(kHolder, malformed, kStart);
    CHECK_FALSE(agreement.TakeQuestion(kStart + ConfigAgreement::kAskInterval));
  }
}

// Holders are asked in turn, but a list that arrives in parts is read to its
// end.
TEST_CASE(
    "two holders whose entries take several parts don't delay each other") {
  const InstanceId other("10.1.0.2");
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kRestored}, false, kStart);
  agreement.MergeClaim(Claim(kStart), kStart);
  agreement.MergeClaim({kLost, other, kBefore, kStart}, kStart);
  const auto first = agreement.TakeQuestion(kStart);
  REQUIRE(first);
  for (uint64_t part = 0; part < 9; ++part) {
    agreement.RecordEntries(
        first->holder,
        {kLost, ConfigEntry(part), {ConfigEntry(part)}, part == 8}, kStart);
    const auto next = agreement.TakeQuestion(kStart);
    CHECK(next.has_value() == (part < 8));
    CHECK((!next || next->holder == first->holder));
  }
  agreement.RecordPeer(true, kStart);
  CheckBehind(agreement, kStart);
}

// Anyone can send a claim.
TEST_CASE("a claim that its holder doesn't know delays a start for a moment") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kBefore}, false, kStart);
  agreement.MergeClaim(Claim(kStart, 1000), kStart);
  agreement.RecordPeer(true, kStart);
  REQUIRE(agreement.TakeQuestion(kStart));
  SECTION("the holder states what it has") {
    agreement.RecordEntries(kHolder, {kOld, ConfigEntry(), {kKeptKey}, true},
                            kStart + kMoment);
    CHECK(agreement.StandingAt(kStart + kMoment) == Standing::kCurrent);
    agreement.MergeClaim(Claim(kStart, 1000), kStart + kMoment);
    CHECK(agreement.StandingAt(kStart + kMoment) == Standing::kCurrent);
  }
  SECTION("the holder doesn't answer") {
    for (absl::Duration after = kMoment; after < ConfigAgreement::kMaxUnsettled;
         after += 50 * kMoment) {
      agreement.MergeClaim(Claim(kStart + after, 1000), kStart + after);
      CHECK(agreement.StandingAt(kStart + after) == Standing::kUnsettled);
    }
    const absl::Time end = kStart + ConfigAgreement::kMaxUnsettled;
    CHECK(agreement.StandingAt(end) == Standing::kCurrent);
    CHECK(agreement.TrustAt(end).Includes(kTakenKey));
  }
}

TEST_CASE("a running instance isn't held up by a claim") {
  ConfigAgreement agreement(Start::kFirst, kStart);
  agreement.RecordOwn({kOld, kBefore}, false, kStart);
  agreement.MergeClaim(Claim(kStart, 1000), kStart);
  CHECK_FALSE(agreement.TakeQuestion(kStart));
  agreement.RecordEntries(kHolder, {1000, ConfigEntry(), {}, true}, kStart);
  CHECK(agreement.StandingAt(kStart) == Standing::kCurrent);
}

// An operator who goes on with another version, or a holder that lies.
TEST_CASE("a later configuration that is never written again is given up") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kRestored}, true, kStart);
  const absl::Time end = kStart + ConfigAgreement::kClaimsCount;
  for (absl::Time now = kStart; now < end; now += absl::Milliseconds(400)) {
    agreement.MergeClaim(Claim(now), now);
    agreement.RecordPeer(true, now);
    if (const auto question = agreement.TakeQuestion(now)) {
      agreement.RecordEntries(question->holder, LostEntries(), now);
    }
    CheckBehind(agreement, now);
    agreement.RecordOwn({kOld + 1, {2, 20}}, false, now);
  }
  agreement.MergeClaim(Claim(end), end);
  CHECK(agreement.StandingAt(end) == Standing::kCurrent);
  CHECK(agreement.TrustAt(end).Includes(kTakenKey));
}

TEST_CASE("the latest claim is passed on until it is old") {
  const InstanceId self("10.1.0.9");
  ConfigAgreement agreement(Start::kFirst, kStart);
  CHECK_FALSE(agreement.LatestClaim(self, kStart));
  agreement.RecordOwn({kOld, kRestored}, false, kStart);
  CHECK(agreement.LatestClaim(self, kStart)->holder == self);
  agreement.MergeClaim(Claim(kStart), kStart);
  const auto passed_on = agreement.LatestClaim(self, kStart + kMoment);
  CHECK(passed_on->holder == kHolder);
  CHECK(passed_on->version == kLost);
  CHECK(passed_on->stated_at == kStart);
  const absl::Time late = kStart + ConfigAgreement::kClaimLifetime + kMoment;
  agreement.MergeClaim(Claim(kStart), late);
  agreement.Update(late);
  CHECK(agreement.LatestClaim(self, late)->version == kOld);
}

TEST_CASE("claims in any number take bounded memory and leave an honest one") {
  ConfigAgreement agreement(Start::kLater, kStart);
  agreement.RecordOwn({kOld, kRestored}, false, kStart);
  for (int i = 0; i < 5000; ++i) {
    ConfigClaim claim = Claim(kStart, 1000);
    claim.holder = InstanceId(std::to_string(i));
    agreement.MergeClaim(claim, kStart);
  }
  agreement.MergeClaim(Claim(kStart + kMoment), kStart + kMoment);
  absl::Time now = kStart + kMoment;
  bool asked = false;
  while (!asked && now < kStart + ConfigAgreement::kClaimLifetime) {
    const auto question = agreement.TakeQuestion(now);
    asked = question && question->holder == kHolder;
    now += ConfigAgreement::kAskInterval;
  }
  CHECK(asked);
}

}  // namespace
}  // namespace umbertrail::dispatch
