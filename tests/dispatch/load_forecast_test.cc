#include "umbertrail/dispatch/load_forecast.h"

#include <catch2/catch.hpp>

#include "sample_engine.h"

namespace umbertrail::dispatch {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

WorkItem Prefill(absl::Duration sent_ago, bool is_helper = false) {
  WorkItem item;
  item.sent_at = kNow - sent_ago;
  item.prefill_time = absl::Seconds(1);
  item.prefilling = true;
  item.is_helper = is_helper;
  item.expected_events = 1000;
  return item;
}

WorkItem Stream(double events) {
  WorkItem item;
  item.sent_at = kNow - absl::Seconds(1);
  item.first_event_at = kNow;
  item.expected_events = events;
  return item;
}

std::vector<WorkItem> After(absl::Duration after,
                            const std::vector<WorkItem>& work,
                            double slowdown = 1) {
  Candidate candidate;
  candidate.work = work;
  candidate.slowdown = slowdown;
  return ForecastLoad({candidate}, SampleEngine(), kNow, after).front().work;
}

// Guards against a prompt that waits for memory which is still in use, or is
// refused though it is free in a moment.
TEST_CASE("prefills end one after another, and then are streams") {
  const std::vector<WorkItem> work = {Prefill(absl::ZeroDuration()),
                                      Prefill(absl::Milliseconds(500))};
  const auto earlier = After(absl::Milliseconds(600), work);
  REQUIRE(earlier.size() == 2);
  CHECK_FALSE(earlier[0].prefilling);
  CHECK(earlier[1].prefilling);
  const auto later = After(absl::Milliseconds(1600), work);
  REQUIRE(later.size() == 2);
  CHECK_FALSE(later[1].prefilling);
  CHECK(After(absl::Milliseconds(1600), work, 2)[1].prefilling);
}

TEST_CASE("a helper's part is gone when it is prefilled") {
  CHECK(After(absl::Milliseconds(900), {Prefill(absl::ZeroDuration(), true)})
            .size() == 1);
  CHECK(After(absl::Seconds(1), {Prefill(absl::ZeroDuration(), true)}).empty());
}

TEST_CASE("a stream ends after its expected events") {
  // One event each 45 ms.
  const std::vector<WorkItem> work = {Stream(10), Stream(100)};
  CHECK(After(absl::Milliseconds(100), work).size() == 2);
  CHECK(After(absl::Seconds(1), work).size() == 1);
  CHECK(After(absl::Seconds(10), work).empty());
}

TEST_CASE("a rate limit allows requests as time passes") {
  Candidate candidate;
  candidate.rate_wait = absl::Milliseconds(700);
  const auto half =
      ForecastLoad({candidate}, SampleEngine(), kNow, absl::Milliseconds(500));
  CHECK(half.front().rate_wait == absl::Milliseconds(200));
  const auto whole =
      ForecastLoad({candidate}, SampleEngine(), kNow, absl::Seconds(1));
  CHECK(whole.front().rate_wait == absl::ZeroDuration());
}

}  // namespace
}  // namespace umbertrail::dispatch
