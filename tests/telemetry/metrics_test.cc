#include "umbertrail/telemetry/metrics.h"

#include <catch2/catch.hpp>
#include <string>

#include "umbertrail/telemetry/bounded_labels.h"

namespace umbertrail::telemetry {
namespace {

using Catch::Matchers::Contains;

TEST_CASE("the three measures are histograms") {
  Metrics metrics;
  metrics.ObserveFirstToken(core::LengthClass::kShort,
                            DataCentreId("kirishima"), absl::Milliseconds(350));
  metrics.ObserveShortSlowdown(1.2);
  const std::string text = metrics.Text();
  CHECK_THAT(text, Contains("umbertrail_first_token_seconds_bucket{length_"
                            "class=\"short\",le=\"0.4\"} 1"));
  CHECK_THAT(text, Contains("umbertrail_first_token_seconds_bucket{length_"
                            "class=\"short\",le=\"0.3\"} 0"));
  CHECK_THAT(text, Contains("umbertrail_short_slowdown_ratio_count 1"));
  CHECK_THAT(text, Contains("umbertrail_data_centre_first_token_seconds_count{"
                            "data_centre=\"kirishima\"} 1"));
}

TEST_CASE("outcomes are counted by reason, account and data centre") {
  Metrics metrics;
  metrics.CountOutcome(ClientAccountId("club"), DataCentreId(),
                       core::Reason::kOverloaded, core::Ran::kNo);
  const std::string text = metrics.Text();
  CHECK_THAT(text, Contains("umbertrail_outcomes_total{ran=\"no\",reason="
                            "\"overloaded\"} 1"));
  CHECK_THAT(text, Contains("umbertrail_account_requests_total{account=\"club\""
                            ",result=\"failed\"} 1"));
  CHECK_THAT(text, Contains("umbertrail_data_centre_requests_total{data_centre="
                            "\"none\",result=\"failed\"} 1"));
}

TEST_CASE("labels beyond their limit become other") {
  BoundedLabels labels(2);
  CHECK(labels.LabelFor("a") == "a");
  CHECK(labels.LabelFor("b") == "b");
  CHECK(labels.LabelFor("c") == "other");
  CHECK(labels.LabelFor("a") == "a");
  CHECK(labels.LabelFor("") == "none");
}

TEST_CASE("a target no longer owned loses its series") {
  Metrics metrics;
  core::NodeStatus status;
  status.revision = ManifestRevision(7);
  core::TargetStatus target;
  target.id = TargetId("t1");
  target.budget = Tokens(500);
  target.queued_long = 3;
  status.owned.push_back(target);
  metrics.SetNodeStatus(status);
  CHECK_THAT(metrics.Text(),
             Contains("umbertrail_target_budget_tokens{target=\"t1\"} 500"));
  CHECK_THAT(metrics.Text(),
             Contains("umbertrail_target_queued_requests{length_class=\"long\","
                      "target=\"t1\"} 3"));
  CHECK_THAT(metrics.Text(), Contains("umbertrail_node{fact=\"revision\"} 7"));
  status.owned.clear();
  metrics.SetNodeStatus(status);
  CHECK_THAT(metrics.Text(), !Contains("target=\"t1\""));
}

}  // namespace
}  // namespace umbertrail::telemetry
