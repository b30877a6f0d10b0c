#include "umbertrail/front/metrics.h"

#include <catch2/catch.hpp>

namespace umbertrail::front {
namespace {

TEST_CASE("counters, histograms and gauges appear in the text format") {
  Metrics metrics;
  metrics.CountRequest(dispatch::Repeat::kSafe, "answered",
                       absl::Milliseconds(40));
  metrics.CountRequest(dispatch::Repeat::kSafe, "answered",
                       absl::Milliseconds(400));
  metrics.CountRefusal("overloaded", false);
  metrics.ObserveFirstEvent(Tokens(182000), absl::Seconds(2));
  metrics.CountRetry(true);
  metrics.CountRetry(false);
  metrics.CountResponseEnd("alive", "complete");
  Gauges gauges;
  gauges.config_age = absl::Milliseconds(1500);
  gauges.ready = true;
  const std::string text = metrics.Text(gauges);
  CHECK_THAT(text,
             Catch::Contains("umbertrail_requests_total{outcome=\"answered\","
                             "repeat=\"safe\"} 2"));
  CHECK_THAT(text, Catch::Contains("reason=\"overloaded\"} 1"));
  CHECK_THAT(text, Catch::Contains("result=\"granted\"} 1"));
  CHECK_THAT(text, Catch::Contains("result=\"denied\"} 1"));
  CHECK_THAT(text,
             Catch::Contains("umbertrail_response_ends_total{process=\"alive\","
                             "verdict=\"complete\"} 1"));
  CHECK_THAT(text, Catch::Contains("length=\"long\",le=\"2\"} 1"));
  CHECK_THAT(text, Catch::Contains("length=\"long\",le=\"1.5\"} 0"));
  CHECK_THAT(text,
             Catch::Contains("umbertrail_state{name=\"config_age\"} 1.5"));
  CHECK_THAT(text, Catch::Contains("umbertrail_state{name=\"ready\"} 1"));
}

TEST_CASE("prompts are classified by length") {
  CHECK(LengthClass(Tokens(5000)) == "short");
  CHECK(LengthClass(Tokens(45000)) == "medium");
  CHECK(LengthClass(Tokens(182000)) == "long");
}

}  // namespace
}  // namespace umbertrail::front
