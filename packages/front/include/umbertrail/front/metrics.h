#ifndef UMBERTRAIL_FRONT_METRICS_H_
#define UMBERTRAIL_FRONT_METRICS_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"

namespace umbertrail::front {

// Gauge values sampled when the metrics are scraped.
struct Gauges {
  double config_version = 0;
  absl::Duration config_age;
  // See dispatch::ConfigAgreement::Standing.
  bool config_unsettled = false;
  bool config_behind = false;
  double targets = 0;
  double open_requests = 0;
  double connections = 0;
  double live_instances = 0;
  // Bytes charged to the memory budget.
  double connection_bytes = 0;
  double body_bytes = 0;
  double response_bytes = 0;
  bool ready = false;
};

// Counters and latency histograms of one instance, in the Prometheus text
// format. Label values come from fixed sets, which bounds the cardinality.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Counts a request that ended after `took`.
  void CountRequest(dispatch::Repeat repeat,
                    absl::string_view outcome,
                    absl::Duration took);
  void CountRefusal(absl::string_view reason, bool may_have_run);
  void CountAttempt(absl::string_view result);
  // Counts the end of a response that its framing doesn't prove complete.
  void CountResponseEnd(absl::string_view process, absl::string_view verdict);
  // Counts a retry asked of the shared budget.
  void CountRetry(bool granted);
  // Records the time from a request's arrival to its stream's first event.
  void ObserveFirstEvent(Tokens prompt, absl::Duration after);
  // Records the ratio of a stream's actual to its expected events.
  void ObserveOutputRatio(double ratio);
  // Counts a plan for a prompt that nearly fills an engine's memory, or exceeds
  // it, by what bound it.
  void CountMemoryPlan(absl::string_view outcome);
  // Counts memory reserved for a request, or what became of it: "granted",
  // "refused" by a target, "unused" when the request was never sent.
  void CountReservation(absl::string_view result);
  void CountStoreCall(absl::string_view kind);
  // `result` is "answered" or "silent" for a home's reply, "here" for a local
  // decision.
  void CountPlacementRequest(absl::string_view result);
  // Counts a request that gave way to others, by why and what became of it:
  // "waits", "refused" or "placed".
  void CountYield(absl::string_view reason, absl::string_view outcome);
  void CountDroppedLogLine();
  // Counts a request refused, or a connection closed, under pressure.
  void CountShed(absl::string_view reason);

  std::string Text(const Gauges& gauges) const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

// The metrics' label for a prompt's length: "short", "medium" or "long".
absl::string_view LengthClass(Tokens prompt);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_METRICS_H_
