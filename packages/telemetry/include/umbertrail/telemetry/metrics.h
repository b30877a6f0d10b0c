#ifndef UMBERTRAIL_TELEMETRY_METRICS_H_
#define UMBERTRAIL_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/node.h"
#include "umbertrail/telemetry/span_exporter.h"

namespace umbertrail::telemetry {

// Client accounts that have a time series of their own; further ones share the
// label "other".
inline constexpr size_t kAccountLabelLimit = 290;
// Data centres that have time series of their own.
inline constexpr size_t kDataCentreLabelLimit = 32;
// Owned targets that have time series of their own. A node owns one or two at
// full size; the limit matters only while most of a fleet is missing.
inline constexpr size_t kTargetLabelLimit = 64;

enum class Direction { kSent, kReceived };

// The metrics of one instance, served as Prometheus text. Thread-safe. Every
// label set is bounded by the limits above or by an enumeration; an update
// costs a lock and a bucket search.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Time from a completion's arrival to the first part relayed to its caller.
  // `data_centre` is the serving target's.
  void ObserveFirstToken(core::LengthClass length_class,
                         const DataCentreId& data_centre,
                         absl::Duration first_token);

  // A short request's first token time over what it would be alone.
  void ObserveShortSlowdown(double ratio);

  // Mean time between the tokens of one relayed part and the part before it.
  void ObserveTokenGap(core::LengthClass length_class, absl::Duration gap);

  // The final outcome of a caller's request. `data_centre` is that of the
  // target tried last, or empty.
  void CountOutcome(const ClientAccountId& account,
                    const DataCentreId& data_centre,
                    core::Reason reason,
                    core::Ran ran);

  // A ticket was issued; a ticket that is refused counts as an outcome.
  void CountTicket();

  void CountAttempt();
  void CountAttemptFailure(core::AttemptFailure failure);
  void CountPeerMessage(Direction direction, const core::PeerPayload& payload);
  // Bytes on the links between instances, frames included.
  void CountPeerBytes(Direction direction, uint64_t n);

  // Replaces all gauges that tell the node's state.
  void SetNodeStatus(const core::NodeStatus& status);
  void SetSpanCounts(const SpanExporterCounts& counts);

  // All metrics in Prometheus text format. Cost: linear in time series.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_METRICS_H_
