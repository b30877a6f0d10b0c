#include "umbertrail/daemon/admin_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace umbertrail::daemon {
namespace {

using nlohmann::json;

TEST_CASE("a status tells what an operator compares") {
  core::NodeStatus status;
  status.self = {InstanceId("10.0.0.1:7000"), Incarnation(255)};
  status.revision = ManifestRevision(12);
  status.freshness_age = absl::Milliseconds(1500);
  core::TargetStatus target;
  target.id = TargetId("t1");
  target.claim = core::OwnerClaim::kHalf;
  target.queued_short = 2;
  status.owned.push_back(target);
  status.quarantine.push_back({Fingerprint(0xab), 2});

  const json out = json::parse(StatusJson(status));
  CHECK(out["instance"] == "10.0.0.1:7000");
  CHECK(out["incarnation"] == "00000000000000ff");
  CHECK(out["revision"] == 12);
  CHECK(out["freshness_age_ms"] == 1500);
  CHECK(out["owned"][0]["claim"] == "half");
  CHECK(out["owned"][0]["queued"]["short"] == 2);
  CHECK(out["quarantine"][0]["fingerprint"] == "00000000000000ab");
}

TEST_CASE("a history tells each step by kind") {
  telemetry::RequestHistory history;
  history.id = RequestId("r");
  history.arrived = absl::UnixEpoch();
  telemetry::AttemptEndedStep ended;
  ended.attempt = AttemptNumber(1);
  ended.failure = core::AttemptFailure::kSilent;
  history.steps.push_back({absl::Milliseconds(5), ended});
  history.steps.push_back(
      {absl::Milliseconds(6), telemetry::SubmissionForwardedStep()});

  json out = json::parse(ExplainJson({history}))["requests"][0];
  CHECK(out["arrived"] == "1970-01-01T00:00:00.000Z");
  CHECK(out["steps"][0]["after_ms"] == 5);
  CHECK(out["steps"][0]["step"] == "attempt_ended");
  CHECK(out["steps"][0]["failure"] == "silent");
  CHECK(out["steps"][1]["step"] == "submission_forwarded");
  CHECK(out["outcome"].is_null());

  history.outcome = telemetry::FinalOutcome();
  history.outcome->ran = core::Ran::kYes;
  out = json::parse(ExplainJson({history}))["requests"][0];
  CHECK(out["outcome"]["ran"] == "yes");
}

}  // namespace
}  // namespace umbertrail::daemon
