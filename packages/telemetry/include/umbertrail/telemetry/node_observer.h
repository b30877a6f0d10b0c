#ifndef UMBERTRAIL_TELEMETRY_NODE_OBSERVER_H_
#define UMBERTRAIL_TELEMETRY_NODE_OBSERVER_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/node.h"
#include "umbertrail/telemetry/history.h"
#include "umbertrail/telemetry/log.h"
#include "umbertrail/telemetry/metrics.h"
#include "umbertrail/telemetry/trace.h"

namespace umbertrail::telemetry {

// Where an observer's findings go. All must outlive it; none is null.
struct ObserverSinks {
  LogSink* log = nullptr;
  Metrics* metrics = nullptr;
  SpanSink* spans = nullptr;
  HistoryStore* histories = nullptr;
};

struct ObserverOptions {
  InstanceRef self;
  // Added to a node's time to get wall-clock time.
  absl::Duration wall_offset;
  // Part of the traces that are recorded, 0 to 1.
  double sampled_fraction = 0.01;
};

// Callers' trace contexts kept until their requests arrive; further ones start
// traces of their own.
inline constexpr size_t kCallerContextLimit = 16384;

// Watches one node: what it is told and what it answers. Derives logs, metrics,
// spans and histories from that alone, so that the node itself knows nothing of
// telemetry. Thread-safe; an event costs a hash look-up or two.
class NodeObserver {
 public:
  NodeObserver(ObserverSinks sinks, ObserverOptions options);
  ~NodeObserver();
  NodeObserver(const NodeObserver&) = delete;
  NodeObserver& operator=(const NodeObserver&) = delete;

  // Notes the `traceparent` of a request that is about to arrive at the node.
  void NoteCallerContext(const RequestId& request, const TraceContext& context);

  // Call it before node.Handle(now, event), with the same arguments.
  void OnEvent(absl::Time now, const core::Event& event);

  // Call it with what node.Handle(now, event) returned.
  void OnActions(absl::Time now,
                 const core::Event& event,
                 const core::Actions& actions);

  // The context to send with a running request's attempt as `traceparent`;
  // nothing when the request is not running here.
  std::optional<TraceContext> AttemptContext(const RequestId& request,
                                             AttemptNumber attempt) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_NODE_OBSERVER_H_
