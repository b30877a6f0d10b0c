#include "umbertrail/daemon/refusal.h"

#include <catch2/catch.hpp>

namespace umbertrail::daemon {
namespace {

TEST_CASE("an outcome keeps its reason and what ran") {
  core::Outcome outcome;
  outcome.reason = core::Reason::kDeadlineExceeded;
  outcome.ran = core::Ran::kUnknown;
  outcome.retry_after = absl::Milliseconds(1200);
  const Refusal refusal = RefusalOf(outcome);
  CHECK(refusal.status == 504);
  CHECK(refusal.reason == "deadline_exceeded");
  CHECK(refusal.ran == core::Ran::kUnknown);
  CHECK(RetryAfterSeconds(refusal) == 2);
}

TEST_CASE("the front's own refusals have not run") {
  const Refusal refusal = NotRun(core::Reason::kMalformed, "no");
  CHECK(refusal.status == 400);
  CHECK(refusal.ran == core::Ran::kNo);
}

}  // namespace
}  // namespace umbertrail::daemon
