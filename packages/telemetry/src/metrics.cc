#include "umbertrail/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "umbertrail/telemetry/bounded_labels.h"
#include "umbertrail/telemetry/names.h"

namespace umbertrail::telemetry {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

using Buckets = Histogram::BucketBoundaries;
using Labels = prometheus::Labels;

constexpr size_t kLengthClasses = 3;
constexpr size_t kDirections = 2;
constexpr size_t kPayloadKinds = std::variant_size_v<core::PeerPayload>;

// Seconds; 0.4 s is the objective for the first token of 95 in 100.
const Buckets& FirstTokenBuckets() {
  static const Buckets buckets = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                  0.6,  0.8,   1.2,  2,   4,   8,   16,
                                  32,   64,    128,  256, 512, 1024};
  return buckets;
}

// Seconds; 0.042 s is the objective between tokens.
const Buckets& TokenGapBuckets() {
  static const Buckets buckets = {0.005, 0.01, 0.02, 0.03, 0.042, 0.06,
                                  0.1,   0.2,  0.5,  1,    5};
  return buckets;
}

// Ratios; 1 is as fast as alone.
const Buckets& SlowdownBuckets() {
  static const Buckets buckets = {1, 1.1, 1.25, 1.5, 2, 3, 4, 6, 10, 20, 50};
  return buckets;
}

template <typename Metric>
Family<Metric>& MakeFamily(prometheus::Registry& registry,
                           std::string name,
                           std::string help) {
  return prometheus::detail::Builder<Metric>()
      .Name("umbertrail_" + std::move(name))
      .Help(std::move(help))
      .Register(registry);
}

Labels ClassLabel(size_t i) {
  const auto length_class = static_cast<core::LengthClass>(i);
  return {{"length_class", std::string(NameOf(length_class))}};
}

// The gauges of one owned target.
struct TargetGauges {
  Gauge* budget = nullptr;
  Gauge* in_flight = nullptr;
  std::array<Gauge*, kLengthClasses> queued{};
};

}  // namespace

// Families first, then the series that are known beforehand, then those that
// appear with their labels.
class Metrics::Impl {
 public:
  Impl();

  prometheus::Registry registry;

  Family<Histogram>& first_token = MakeFamily<Histogram>(
      registry,
      "first_token_seconds",
      "Arrival of a completion to the first part relayed");
  Family<Histogram>& data_centre_first_token = MakeFamily<Histogram>(
      registry,
      "data_centre_first_token_seconds",
      "As first_token_seconds, by the serving target's data centre");
  Family<Histogram>& token_gap =
      MakeFamily<Histogram>(registry,
                            "token_gap_seconds",
                            "Time between tokens relayed to a caller");
  Histogram& short_slowdown =
      MakeFamily<Histogram>(
          registry,
          "short_slowdown_ratio",
          "First token of short prompts over the time predicted alone")
          .Add({}, SlowdownBuckets());
  Family<Counter>& outcomes =
      MakeFamily<Counter>(registry,
                          "outcomes_total",
                          "Final outcomes of callers' requests");
  Family<Counter>& account_requests =
      MakeFamily<Counter>(registry,
                          "account_requests_total",
                          "Final outcomes by client account");
  Family<Counter>& data_centre_requests = MakeFamily<Counter>(
      registry,
      "data_centre_requests_total",
      "Final outcomes by the data centre of the target tried last");
  Counter& attempts =
      MakeFamily<Counter>(registry, "attempts_total", "Attempts on targets")
          .Add({});
  Counter& tickets_issued =
      MakeFamily<Counter>(registry, "tickets_issued_total", "Tickets issued")
          .Add({});
  Family<Counter>& attempt_failures =
      MakeFamily<Counter>(registry, "attempt_failures_total", "By failure");
  Family<Counter>& peer_messages =
      MakeFamily<Counter>(registry,
                          "peer_messages_total",
                          "Messages between instances");
  Family<Counter>& peer_bytes = MakeFamily<Counter>(registry,
                                                    "peer_bytes_total",
                                                    "Bytes between instances");

  Family<Gauge>& node =
      MakeFamily<Gauge>(registry,
                        "node",
                        "State of this instance, one series a fact");
  Family<Gauge>& owned_targets =
      MakeFamily<Gauge>(registry, "owned_targets", "Targets owned, by claim");
  Family<Gauge>& target_budget = MakeFamily<Gauge>(registry,
                                                   "target_budget_tokens",
                                                   "Budget of an owned target");
  Family<Gauge>& target_in_flight =
      MakeFamily<Gauge>(registry,
                        "target_in_flight_tokens",
                        "Charged on an owned target");
  Family<Gauge>& target_queued = MakeFamily<Gauge>(registry,
                                                   "target_queued_requests",
                                                   "Queue of an owned target");
  Family<Gauge>& spans =
      MakeFamily<Gauge>(registry, "spans", "Spans exported and dropped");

  std::array<Histogram*, kLengthClasses> first_token_by_class{};
  std::array<Histogram*, kLengthClasses> token_gap_by_class{};
  std::array<std::array<Counter*, kPayloadKinds>, kDirections> messages{};
  std::array<Counter*, kDirections> bytes{};

  Gauge& revision = node.Add({{"fact", "revision"}});
  Gauge& freshness_age = node.Add({{"fact", "freshness_age_seconds"}});
  Gauge& ready = node.Add({{"fact", "ready"}});
  Gauge& stopping = node.Add({{"fact", "stopping"}});
  Gauge& requests_held = node.Add({{"fact", "requests_held"}});
  Gauge& quarantined = node.Add({{"fact", "quarantined_fingerprints"}});
  Gauge& tickets = node.Add({{"fact", "tickets_outstanding"}});
  Gauge& stale_heads = node.Add({{"fact", "stale_heads_ignored"}});
  Gauge& conflicting_heads = node.Add({{"fact", "conflicting_heads_refused"}});
  Gauge& manifest_refused = node.Add({{"fact", "manifest_refused"}});
  Gauge& spans_sent = spans.Add({{"result", "sent"}});
  Gauge& spans_dropped = spans.Add({{"result", "dropped"}});

  absl::Mutex mutex;
  BoundedLabels accounts ABSL_GUARDED_BY(mutex){kAccountLabelLimit};
  BoundedLabels data_centres ABSL_GUARDED_BY(mutex){kDataCentreLabelLimit};
  absl::flat_hash_map<TargetId, TargetGauges> targets ABSL_GUARDED_BY(mutex);

  TargetGauges& GaugesOf(const TargetId& id)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void DropTargetsNotIn(const core::NodeStatus& status)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void SetTarget(const core::TargetStatus& status)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void SetClaims(const core::NodeStatus& status);
};

Metrics::Impl::Impl() {
  for (size_t i = 0; i < kLengthClasses; ++i) {
    first_token_by_class[i] =
        &first_token.Add(ClassLabel(i), FirstTokenBuckets());
    token_gap_by_class[i] = &token_gap.Add(ClassLabel(i), TokenGapBuckets());
  }
  constexpr std::array<const char*, kDirections> kNames = {"sent", "received"};
  for (size_t i = 0; i < kDirections; ++i) {
    bytes[i] = &peer_bytes.Add({{"direction", kNames[i]}});
  }
}

TargetGauges& Metrics::Impl::GaugesOf(const TargetId& id) {
  const auto it = targets.find(id);
  if (it != targets.end()) {
    return it->second;
  }
  const Labels labels = {{"target", id.text()}};
  TargetGauges out;
  out.budget = &target_budget.Add(labels);
  out.in_flight = &target_in_flight.Add(labels);
  for (size_t i = 0; i < kLengthClasses; ++i) {
    Labels queue_labels = labels;
    queue_labels.merge(ClassLabel(i));
    out.queued[i] = &target_queued.Add(queue_labels);
  }
  return targets[id] = out;
}

void Metrics::Impl::DropTargetsNotIn(const core::NodeStatus& status) {
  absl::flat_hash_map<TargetId, TargetGauges> kept;
  for (const core::TargetStatus& it : status.owned) {
    const auto found = targets.find(it.id);
    if (found != targets.end()) {
      kept[it.id] = found->second;
      targets.erase(found);
    }
  }
  for (const auto& [id, gauges] : targets) {
    target_budget.Remove(gauges.budget);
    target_in_flight.Remove(gauges.in_flight);
    for (Gauge* it : gauges.queued) {
      target_queued.Remove(it);
    }
  }
  targets = std::move(kept);
}

void Metrics::Impl::SetTarget(const core::TargetStatus& status) {
  if (!targets.contains(status.id) && targets.size() >= kTargetLabelLimit) {
    return;
  }
  const TargetGauges& gauges = GaugesOf(status.id);
  gauges.budget->Set(static_cast<double>(status.budget.value()));
  gauges.in_flight->Set(static_cast<double>(status.in_flight.value()));
  gauges.queued[0]->Set(status.queued_short);
  gauges.queued[1]->Set(status.queued_medium);
  gauges.queued[2]->Set(status.queued_long);
}

void Metrics::Impl::SetClaims(const core::NodeStatus& status) {
  constexpr size_t kClaims = 4;
  std::array<int, kClaims> counts{};
  for (const core::TargetStatus& it : status.owned) {
    ++counts.at(static_cast<size_t>(it.claim));
  }
  for (size_t i = 0; i < kClaims; ++i) {
    const auto claim = static_cast<core::OwnerClaim>(i);
    owned_targets.Add({{"claim", std::string(NameOf(claim))}}).Set(counts[i]);
  }
}

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::ObserveFirstToken(core::LengthClass length_class,
                                const DataCentreId& data_centre,
                                absl::Duration first_token) {
  const double seconds = absl::ToDoubleSeconds(first_token);
  impl_->first_token_by_class.at(static_cast<size_t>(length_class))
      ->Observe(seconds);
  const absl::MutexLock lock(&impl_->mutex);
  const std::string label = impl_->data_centres.LabelFor(data_centre.text());
  impl_->data_centre_first_token
      .Add({{"data_centre", label}}, FirstTokenBuckets())
      .Observe(seconds);
}

void Metrics::ObserveShortSlowdown(double ratio) {
  impl_->short_slowdown.Observe(ratio);
}

void Metrics::ObserveTokenGap(core::LengthClass length_class,
                              absl::Duration gap) {
  impl_->token_gap_by_class.at(static_cast<size_t>(length_class))
      ->Observe(absl::ToDoubleSeconds(gap));
}

void Metrics::CountOutcome(const ClientAccountId& account,
                           const DataCentreId& data_centre,
                           core::Reason reason,
                           core::Ran ran) {
  const std::string result = reason == core::Reason::kOk ? "ok" : "failed";
  impl_->outcomes
      .Add({{"reason", std::string(NameOf(reason))},
            {"ran", std::string(NameOf(ran))}})
      .Increment();
  const absl::MutexLock lock(&impl_->mutex);
  impl_->account_requests
      .Add({{"account", impl_->accounts.LabelFor(account.text())},
            {"result", result}})
      .Increment();
  impl_->data_centre_requests
      .Add({{"data_centre", impl_->data_centres.LabelFor(data_centre.text())},
            {"result", result}})
      .Increment();
}

void Metrics::CountTicket() {
  impl_->tickets_issued.Increment();
}

void Metrics::CountAttempt() {
  impl_->attempts.Increment();
}

void Metrics::CountAttemptFailure(core::AttemptFailure failure) {
  impl_->attempt_failures.Add({{"failure", std::string(NameOf(failure))}})
      .Increment();
}

void Metrics::CountPeerMessage(Direction direction,
                               const core::PeerPayload& payload) {
  const auto row = static_cast<size_t>(direction);
  const absl::MutexLock lock(&impl_->mutex);
  Counter*& counter = impl_->messages.at(row).at(payload.index());
  if (counter == nullptr) {
    const std::string direction_name =
        direction == Direction::kSent ? "sent" : "received";
    counter =
        &impl_->peer_messages.Add({{"direction", direction_name},
                                   {"message", std::string(NameOf(payload))}});
  }
  counter->Increment();
}

void Metrics::CountPeerBytes(Direction direction, uint64_t n) {
  impl_->bytes.at(static_cast<size_t>(direction))
      ->Increment(static_cast<double>(n));
}

void Metrics::SetNodeStatus(const core::NodeStatus& status) {
  impl_->revision.Set(static_cast<double>(status.revision.value()));
  impl_->freshness_age.Set(absl::ToDoubleSeconds(status.freshness_age));
  impl_->ready.Set(status.ready ? 1 : 0);
  impl_->stopping.Set(status.stopping ? 1 : 0);
  impl_->requests_held.Set(static_cast<double>(status.requests.size()));
  impl_->quarantined.Set(static_cast<double>(status.quarantine.size()));
  impl_->tickets.Set(static_cast<double>(status.tickets_outstanding));
  impl_->stale_heads.Set(static_cast<double>(status.stale_heads_ignored));
  impl_->conflicting_heads.Set(
      static_cast<double>(status.conflicting_heads_refused));
  impl_->manifest_refused.Set(status.manifest_fault.empty() ? 0 : 1);
  const absl::MutexLock lock(&impl_->mutex);
  impl_->SetClaims(status);
  impl_->DropTargetsNotIn(status);
  for (const core::TargetStatus& it : status.owned) {
    impl_->SetTarget(it);
  }
}

void Metrics::SetSpanCounts(const SpanExporterCounts& counts) {
  impl_->spans_sent.Set(static_cast<double>(counts.sent));
  impl_->spans_dropped.Set(static_cast<double>(counts.dropped));
}

std::string Metrics::Text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, impl_->registry.Collect());
  return out.str();
}

}  // namespace umbertrail::telemetry
