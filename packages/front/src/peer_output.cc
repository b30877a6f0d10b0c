#include "peer_output.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace umbertrail::front {
namespace {

constexpr float kWeightUnit = 0.1F;
constexpr float kLogUnit = 0.01F;
// Bounds of what is sent; no plausible value is larger.
constexpr float kMaxUnits = 1e6F;

int32_t ToUnits(float value, float unit) {
  return static_cast<int32_t>(
      std::lround(std::clamp(value / unit, -kMaxUnits, kMaxUnits)));
}

uint32_t ToUnsignedUnits(float value, float unit) {
  return static_cast<uint32_t>(std::max(0, ToUnits(value, unit)));
}

dispatch::LogStatistics FromUnits(uint32_t weight,
                                  int32_t mean,
                                  uint32_t variance) {
  return {static_cast<float>(weight) * kWeightUnit,
          static_cast<float>(mean) * kLogUnit,
          static_cast<float>(variance) * kLogUnit};
}

}  // namespace

void AddRouteOutputs(const dispatch::OutputEstimator& outputs,
                     absl::Time now,
                     std::mt19937_64& random,
                     PeerMessage* message) {
  for (const dispatch::RouteOutputSummary& summary :
       outputs.Sample(kMaxRouteOutputs, now, random)) {
    PeerRouteOutput wire;
    wire.route = summary.route;
    wire.events_weight = ToUnsignedUnits(summary.events.weight, kWeightUnit);
    wire.events_mean = ToUnits(summary.events.mean, kLogUnit);
    wire.events_variance = ToUnsignedUnits(summary.events.variance, kLogUnit);
    wire.hint_weight = ToUnsignedUnits(summary.hint_error.weight, kWeightUnit);
    wire.hint_mean = ToUnits(summary.hint_error.mean, kLogUnit);
    wire.hint_variance = ToUnsignedUnits(summary.hint_error.variance, kLogUnit);
    message->route_outputs.push_back(wire);
  }
}

void MergeRouteOutputs(const PeerMessage& message,
                       absl::Time now,
                       dispatch::OutputEstimator* outputs) {
  const size_t count = std::min(message.route_outputs.size(), kMaxRouteOutputs);
  for (size_t i = 0; i < count; ++i) {
    const PeerRouteOutput& wire = message.route_outputs[i];
    outputs->Merge(
        {wire.route,
         FromUnits(wire.events_weight, wire.events_mean, wire.events_variance),
         FromUnits(wire.hint_weight, wire.hint_mean, wire.hint_variance)},
        now);
  }
}

}  // namespace umbertrail::front
