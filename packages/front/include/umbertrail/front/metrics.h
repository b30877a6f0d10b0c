#ifndef UMBERTRAIL_FRONT_METRICS_H_
#define UMBERTRAIL_FRONT_METRICS_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"

namespace umbertrail::front {

// Readings of the moment, taken when the metrics are asked for.
struct Gauges {
  double config_version = 0;
  absl::Duration config_age;
  double targets = 0;
  double open_requests = 0;
  double connections = 0;
  double live_instances = 0;
  bool ready = false;
};

// Counters and latency histograms of one instance, in the text format of
// Prometheus. Labels come from fixed sets only.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // A request ended: `outcome` and `reason` are names of this package.
  void CountRequest(dispatch::Repeat repeat,
                    absl::string_view outcome,
                    absl::Duration took);
  void CountRefusal(absl::string_view reason, bool may_have_run);
  void CountAttempt(absl::string_view result);
  // The first event of a stream, from the request's arrival.
  void ObserveFirstEvent(Tokens prompt, absl::Duration after);
  void CountStoreCall(absl::string_view kind);
  // "answered" or "silent" by a home, "here" where none was asked.
  void CountPlacementQuery(absl::string_view result);
  // Log lines that found no room.
  void CountDroppedLogLine();

  std::string Text(const Gauges& gauges) const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

// "short", "medium" or "long", as prompts are told apart in the metrics.
absl::string_view LengthClass(Tokens prompt);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_METRICS_H_
