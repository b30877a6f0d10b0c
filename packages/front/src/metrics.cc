#include "umbertrail/front/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace umbertrail::front {
namespace {

// Minimum lengths of medium and long prompts.
constexpr Tokens kMinMediumPrompt{16000};
constexpr Tokens kMinLongPrompt{100000};

// Bucket boundaries of the latency histograms, in seconds.
prometheus::Histogram::BucketBoundaries LatencyBounds() {
  return {0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5, 8, 15};
}

prometheus::Histogram::BucketBoundaries RatioBounds() {
  return {0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10};
}

std::string NameOf(dispatch::Repeat repeat) {
  switch (repeat) {
    case dispatch::Repeat::kNever:
      return "unsafe";
    case dispatch::Repeat::kSafe:
      return "safe";
    case dispatch::Repeat::kStream:
      return "stream";
    case dispatch::Repeat::kResumableStream:
      return "resumable_stream";
  }
  return "unknown";
}

std::string Copy(absl::string_view text) {
  return std::string{text};
}

}  // namespace

struct Metrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("umbertrail_requests_total")
          .Help("Requests that ended, by what may be repeated and outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
      prometheus::BuildCounter()
          .Name("umbertrail_refusals_total")
          .Help("Answers without a target's, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("umbertrail_attempts_total")
          .Help("Requests sent to targets, by how that ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& response_ends =
      prometheus::BuildCounter()
          .Name("umbertrail_response_ends_total")
          .Help(
              "Responses that no length and no chunk proves complete, by what "
              "is known of the target's process and by verdict")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& retries =
      prometheus::BuildCounter()
          .Name("umbertrail_retries_total")
          .Help(
              "Retries asked of the shared budget, by whether it had any left")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& memory_plans =
      prometheus::BuildCounter()
          .Name("umbertrail_memory_plans_total")
          .Help("Plans for prompts that need memory planned, by outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& reservations =
      prometheus::BuildCounter()
          .Name("umbertrail_memory_reservations_total")
          .Help("Reservations of targets' memory, by result")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& store_calls =
      prometheus::BuildCounter()
          .Name("umbertrail_store_calls_total")
          .Help("Questions to the platform's store")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& home_questions =
      prometheus::BuildCounter()
          .Name("umbertrail_home_questions_total")
          .Help("Questions about places, by what became of them")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& yields =
      prometheus::BuildCounter()
          .Name("umbertrail_requests_giving_way_total")
          .Help("Requests that gave way to others, by why and outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& lost_lines =
      prometheus::BuildCounter()
          .Name("umbertrail_log_lines_lost_total")
          .Help("Log lines left out for want of room")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& shed =
      prometheus::BuildCounter()
          .Name("umbertrail_shed_total")
          .Help(
              "Requests refused and connections closed for want of memory or "
              "descriptors, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& durations =
      prometheus::BuildHistogram()
          .Name("umbertrail_request_seconds")
          .Help("From a request's arrival to its end")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& first_events =
      prometheus::BuildHistogram()
          .Name("umbertrail_first_event_seconds")
          .Help("From a request's arrival to its first event, by length")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& output_ratios =
      prometheus::BuildHistogram()
          .Name("umbertrail_output_ratio")
          .Help("Actual events of complete streams, over the expected ones")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges =
      prometheus::BuildGauge()
          .Name("umbertrail_state")
          .Help("Readings of the moment, by name; ages in seconds")
          .Register(registry);
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRequest(dispatch::Repeat repeat,
                           absl::string_view outcome,
                           absl::Duration took) {
  const std::string kind = NameOf(repeat);
  families_->requests.Add({{"repeat", kind}, {"outcome", Copy(outcome)}})
      .Increment();
  families_->durations.Add({{"repeat", kind}}, LatencyBounds())
      .Observe(absl::ToDoubleSeconds(took));
}

void Metrics::CountRefusal(absl::string_view reason, bool may_have_run) {
  families_->refusals
      .Add({{"reason", Copy(reason)},
            {"may_have_run", may_have_run ? "1" : "0"}})
      .Increment();
}

void Metrics::CountAttempt(absl::string_view result) {
  families_->attempts.Add({{"result", Copy(result)}}).Increment();
}

void Metrics::ObserveFirstEvent(Tokens prompt, absl::Duration after) {
  families_->first_events
      .Add({{"length", Copy(LengthClass(prompt))}}, LatencyBounds())
      .Observe(absl::ToDoubleSeconds(after));
}

void Metrics::ObserveOutputRatio(double ratio) {
  families_->output_ratios.Add({}, RatioBounds()).Observe(ratio);
}

void Metrics::CountResponseEnd(absl::string_view process,
                               absl::string_view verdict) {
  families_->response_ends
      .Add({{"process", Copy(process)}, {"verdict", Copy(verdict)}})
      .Increment();
}

void Metrics::CountRetry(bool granted) {
  families_->retries.Add({{"result", granted ? "granted" : "denied"}})
      .Increment();
}

void Metrics::CountMemoryPlan(absl::string_view outcome) {
  families_->memory_plans.Add({{"outcome", Copy(outcome)}}).Increment();
}

void Metrics::CountReservation(absl::string_view result) {
  families_->reservations.Add({{"result", Copy(result)}}).Increment();
}

void Metrics::CountStoreCall(absl::string_view kind) {
  families_->store_calls.Add({{"kind", Copy(kind)}}).Increment();
}

void Metrics::CountPlacementRequest(absl::string_view result) {
  families_->home_questions.Add({{"result", Copy(result)}}).Increment();
}

void Metrics::CountYield(absl::string_view reason, absl::string_view outcome) {
  families_->yields.Add({{"reason", Copy(reason)}, {"outcome", Copy(outcome)}})
      .Increment();
}

void Metrics::CountDroppedLogLine() {
  families_->lost_lines.Add({}).Increment();
}

void Metrics::CountShed(absl::string_view reason) {
  families_->shed.Add({{"reason", Copy(reason)}}).Increment();
}

std::string Metrics::Text(const Gauges& gauges) const {
  const std::pair<const char*, double> readings[] = {
      {"config_version", gauges.config_version},
      {"config_age", absl::ToDoubleSeconds(gauges.config_age)},
      {"config_unsettled", gauges.config_unsettled ? 1.0 : 0.0},
      {"config_behind", gauges.config_behind ? 1.0 : 0.0},
      {"targets", gauges.targets},
      {"open_requests", gauges.open_requests},
      {"connections", gauges.connections},
      {"live_instances", gauges.live_instances},
      {"connection_bytes", gauges.connection_bytes},
      {"body_bytes", gauges.body_bytes},
      {"response_bytes", gauges.response_bytes},
      {"ready", gauges.ready ? 1.0 : 0.0}};
  for (const auto& [name, value] : readings) {
    families_->gauges.Add({{"name", name}}).Set(value);
  }
  return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

absl::string_view LengthClass(Tokens prompt) {
  if (prompt < kMinMediumPrompt) {
    return "short";
  }
  return prompt < kMinLongPrompt ? "medium" : "long";
}

}  // namespace umbertrail::front
