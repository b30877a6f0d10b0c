#include "umbertrail/dispatch/block_trials.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Time kDue = kStart + BlockTrials::kDelay;

TEST_CASE("blocked content is tried after a delay, and again at intervals") {
  BlockTrials trials(BlockTrials::Start::kWithFleet, kStart);
  CHECK_FALSE(trials.MayTry(kStart, kDue - absl::Milliseconds(1)));
  CHECK(trials.MayTry(kStart, kDue));
  trials.RecordTrial(kDue);
  CHECK_FALSE(trials.MayTry(
      kStart, kDue + BlockTrials::kInterval - absl::Milliseconds(1)));
  CHECK(trials.MayTry(kStart, kDue + BlockTrials::kInterval));
}

TEST_CASE("a trial of another instance counts") {
  BlockTrials trials(BlockTrials::Start::kWithFleet, kStart);
  trials.Merge(kDue);
  trials.Merge(absl::InfinitePast());
  CHECK_FALSE(trials.MayTry(kStart, kDue + absl::Seconds(1)));
}

TEST_CASE("a restarted instance tries nothing until it is told") {
  BlockTrials trials(BlockTrials::Start::kLater, kStart);
  CHECK_FALSE(trials.last().has_value());
  CHECK_FALSE(trials.MayTry(kStart, kDue));
  SECTION("that nobody has tried") {
    trials.Merge(absl::InfinitePast());
    CHECK(trials.MayTry(kStart, kDue));
  }
  SECTION("of the last trial") {
    trials.Merge(kStart);
    CHECK_FALSE(trials.MayTry(kStart, kDue));
  }
  SECTION("or an interval has passed") {
    CHECK(trials.MayTry(kStart, kStart + BlockTrials::kInterval));
  }
}

}  // namespace
}  // namespace umbertrail::dispatch
