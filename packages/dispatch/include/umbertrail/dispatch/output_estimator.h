#ifndef UMBERTRAIL_DISPATCH_OUTPUT_ESTIMATOR_H_
#define UMBERTRAIL_DISPATCH_OUTPUT_ESTIMATOR_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"

// Expected number of events of a response stream, learnt from the streams that
// were received completely. In each pass an engine sends one event of about
// EngineModel::steps_per_pass tokens for each stream.

namespace umbertrail::dispatch {

// What the output of a request is estimated from.
struct OutputQuery {
  // Identifies the route; see RouteHashOf.
  uint64_t route = 0;
  // Zero on a public route.
  AccountHash account;
  Tokens prompt;
  // The client's own estimate of its output.
  std::optional<Tokens> hint;
  // The client's limit of its output; zero if it has none.
  Tokens max_output;
};

uint64_t RouteHashOf(absl::string_view route_name);

// Expected events of a stream, at least 1.
struct OutputEstimate {
  double mean = 1;
  // The 90th percentile.
  double high = 1;
};

// Expected further events of a stream of which `expected` events were expected
// at its start and `received` have arrived. A stream near or past its estimate
// is expected to continue in proportion to its length.
double RemainingEvents(double expected, double received);

// Events that are expected without any history; at least 1.
double DefaultEvents(const EngineModel& engine);

// Mean and variance of logarithms. Older samples lose weight.
struct LogStatistics {
  float weight = 0;
  float mean = 0;
  float variance = 0;

  void Add(double value, double sample_weight);
};

// One instance's own samples of a route.
struct RouteOutputSummary {
  uint64_t route = 0;
  // Logarithm of the events.
  LogStatistics events;
  // Logarithm of the ratio of actual events to the clients' hint.
  LogStatistics hint_error;
};

// Learns the output by route, refined by client account and by prompt length,
// and the error of the clients' hints. Memory is bounded: the least recently
// used routes, and accounts of a route, are dropped.
class OutputEstimator {
 public:
  // Bounds on the routes, and on the combinations of an account and a length
  // class of one route.
  static constexpr size_t kMaxRoutes = 2048;
  static constexpr size_t kMaxCells = 24;
  // Weight of the peers' samples of a route, in samples.
  static constexpr double kMaxPeerWeight = 32;

  // Records a stream that was received completely.
  void Learn(const OutputQuery& query,
             const EngineModel& engine,
             double events,
             absl::Time now);
  OutputEstimate Estimate(const OutputQuery& query,
                          const EngineModel& engine,
                          absl::Time now) const;

  // At most `count` random routes of which this instance had samples lately,
  // without what peers reported.
  std::vector<RouteOutputSummary> Sample(size_t count,
                                         absl::Time now,
                                         std::mt19937_64& random) const;
  // Merges a peer's own samples. Implausible values are ignored.
  void Merge(const RouteOutputSummary& summary, absl::Time now);

  size_t route_count() const { return routes_.size(); }

 private:
  // Samples of one account with prompts of one length class.
  struct Cell {
    AccountHash account;
    int length_class = 0;
    absl::Time updated_at;
    LogStatistics events;
    LogStatistics hint_error;
  };
  struct RouteOutput {
    std::vector<Cell> cells;
    absl::Time updated_at = absl::InfinitePast();
    // Last sample of this instance.
    absl::Time learnt_at = absl::InfinitePast();
    LogStatistics peer_events;
    LogStatistics peer_hint_error;
  };

  struct CellFactors;
  struct QuerySums;

  // `other_events` and `other_hints` are weights that belong to no account.
  static std::vector<CellFactors> FactorsOf(const RouteOutput& route,
                                            double other_events,
                                            double other_hints,
                                            absl::Time now);
  QuerySums SumsFor(const OutputQuery& query,
                    const EngineModel& engine,
                    absl::Time now) const;
  RouteOutput& FindOrAdd(uint64_t route, absl::Time now);
  static Cell& FindOrAddCell(RouteOutput& route,
                             AccountHash account,
                             int length_class,
                             absl::Time now);

  absl::flat_hash_map<uint64_t, RouteOutput> routes_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_OUTPUT_ESTIMATOR_H_
