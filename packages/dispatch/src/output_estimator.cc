#include "umbertrail/dispatch/output_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <string_view>

#include "umbertrail/base/hash.h"

namespace umbertrail::dispatch {
namespace {

// A sample's weight halves in this time.
constexpr absl::Duration kHalfLife = absl::Seconds(30);
// Peers are told of routes that had a sample within this time.
constexpr absl::Duration kToldFor = absl::Seconds(10);
// Upper bounds of the length classes, in prompt tokens.
constexpr std::array<int64_t, 3> kLengthClasses = {4000, 16000, 64000};
constexpr int kLengthClassCount = static_cast<int>(kLengthClasses.size()) + 1;
// Weight of the engine's configured mean, in samples, and its variance.
constexpr double kDefaultWeight = 2;
constexpr double kDefaultVariance = 0.5;
// Variance of a hint's logarithmic error before it is learnt, and its weight. A
// hint is right at the median.
constexpr double kHintVariance = 0.5;
constexpr double kHintPriorWeight = 4;
// Samples at which a refinement counts as much as what it refines.
constexpr double kRefinementWeight = 4;
// Maximum part of one account in a route's statistics.
constexpr double kMaxAccountPart = 0.25;
// Iterations that find an account's maximum weight; each reduces the error to
// three quarters at most.
constexpr int kCapIterations = 12;
// Weight of one peer's message. Several peers are needed to reach the maximum.
constexpr double kMaxMessageWeight = 8;
// Bounds of the variance: no estimate is exact, and a few outliers must not
// raise the mean without limit.
constexpr double kMinVariance = 0.01;
constexpr double kMaxVariance = 1.2;
// Largest plausible logarithm of events and of a hint's error.
constexpr double kMaxLogEvents = 14;
// Quantile of the normal distribution for the 90th percentile.
constexpr double kHighQuantile = 1.2816;
// Part of its length that a stream past its estimate is expected to continue:
// the mean residual of a Pareto distribution with exponent 3.
constexpr double kTailProportion = 0.5;

int LengthClassOf(Tokens prompt) {
  return static_cast<int>(std::upper_bound(kLengthClasses.begin(),
                                           kLengthClasses.end(),
                                           prompt.value()) -
                          kLengthClasses.begin());
}

double StepsPerEvent(const EngineModel& engine) {
  return std::max(engine.steps_per_pass, 1);
}

double EventsOf(Tokens tokens, const EngineModel& engine) {
  return std::max(1.0, std::ceil(static_cast<double>(tokens.value()) /
                                 StepsPerEvent(engine)));
}

double DecayFactor(absl::Time since, absl::Time now) {
  return since == absl::InfinitePast()
             ? 0
             : std::exp2(
                   -std::max(0.0, absl::FDivDuration(now - since, kHalfLife)));
}

void Scale(double factor, LogStatistics* statistics) {
  statistics->weight = static_cast<float>(statistics->weight * factor);
}

// Adds the samples of `part`, each with `factor` of its weight.
void Combine(const LogStatistics& part, double factor, LogStatistics* sum) {
  const double weight = part.weight * factor;
  const double total = sum->weight + weight;
  if (total <= 0) {
    return;
  }
  const double difference = part.mean - sum->mean;
  const double share = weight / total;
  sum->variance =
      static_cast<float>((1 - share) * sum->variance + share * part.variance +
                         share * (1 - share) * difference * difference);
  sum->mean = static_cast<float>(sum->mean + share * difference);
  sum->weight = static_cast<float>(total);
}

// Shrinks statistics to `prior`, the more the fewer samples there are.
LogStatistics Refine(const LogStatistics& prior,
                     const LogStatistics& refinement) {
  LogStatistics refined = prior;
  refined.weight = kRefinementWeight;
  Combine(refinement, 1, &refined);
  return refined;
}

double LimitedVariance(const LogStatistics& statistics) {
  return std::clamp<double>(statistics.variance, kMinVariance, kMaxVariance);
}

// The largest weight of one account at which it has at most kMaxAccountPart of
// the sum. `others` is weight that belongs to no account.
double MaxAccountWeight(const std::vector<double>& accounts, double others) {
  double largest = std::numeric_limits<double>::max();
  for (int i = 0; i < kCapIterations; ++i) {
    double sum = others;
    for (const double weight : accounts) {
      sum += std::min(weight, largest);
    }
    largest = kMaxAccountPart * sum;
  }
  return largest;
}

double LimitFactor(double weight, double largest) {
  return weight <= largest ? 1 : largest / weight;
}

bool IsPlausible(const LogStatistics& statistics) {
  return std::isfinite(statistics.weight) && std::isfinite(statistics.mean) &&
         std::isfinite(statistics.variance) && statistics.weight >= 0 &&
         std::abs(statistics.mean) <= kMaxLogEvents && statistics.variance >= 0;
}

void MergeLimited(const LogStatistics& reported, LogStatistics* peers) {
  const double factor =
      reported.weight > kMaxMessageWeight
          ? kMaxMessageWeight / static_cast<double>(reported.weight)
          : 1;
  Combine(reported, factor, peers);
  peers->weight = std::min(peers->weight,
                           static_cast<float>(OutputEstimator::kMaxPeerWeight));
  peers->variance = std::min(peers->variance, static_cast<float>(kMaxVariance));
}

}  // namespace

uint64_t RouteHashOf(absl::string_view route_name) {
  return StableHash(std::string_view(route_name.data(), route_name.size()));
}

double RemainingEvents(double expected, double received) {
  return std::max({expected - received, kTailProportion * received, 0.0});
}

double DefaultEvents(const EngineModel& engine) {
  return std::max(1.0, engine.mean_output_tokens / StepsPerEvent(engine));
}

void LogStatistics::Add(double value, double sample_weight) {
  LogStatistics sample;
  sample.weight = static_cast<float>(sample_weight);
  sample.mean = static_cast<float>(value);
  Combine(sample, 1, this);
}

OutputEstimator::RouteOutput& OutputEstimator::FindOrAdd(uint64_t route,
                                                         absl::Time now) {
  const auto found = routes_.find(route);
  if (found == routes_.end() && routes_.size() >= kMaxRoutes) {
    routes_.erase(std::min_element(
        routes_.begin(), routes_.end(), [](const auto& a, const auto& b) {
          return a.second.updated_at < b.second.updated_at;
        }));
  }
  RouteOutput& output = routes_[route];
  const double factor = DecayFactor(output.updated_at, now);
  Scale(factor, &output.peer_events);
  Scale(factor, &output.peer_hint_error);
  output.updated_at = now;
  return output;
}

OutputEstimator::Cell& OutputEstimator::FindOrAddCell(RouteOutput& route,
                                                      AccountHash account,
                                                      int length_class,
                                                      absl::Time now) {
  auto found = std::find_if(
      route.cells.begin(), route.cells.end(), [&](const Cell& cell) {
        return cell.account == account && cell.length_class == length_class;
      });
  if (found == route.cells.end()) {
    if (route.cells.size() >= kMaxCells) {
      route.cells.erase(std::min_element(route.cells.begin(), route.cells.end(),
                                         [](const Cell& a, const Cell& b) {
                                           return a.updated_at < b.updated_at;
                                         }));
    }
    Cell cell;
    cell.account = account;
    cell.length_class = length_class;
    route.cells.push_back(cell);
    found = std::prev(route.cells.end());
  } else {
    const double factor = DecayFactor(found->updated_at, now);
    Scale(factor, &found->events);
    Scale(factor, &found->hint_error);
  }
  found->updated_at = now;
  return *found;
}

void OutputEstimator::Learn(const OutputQuery& query,
                            const EngineModel& engine,
                            double events,
                            absl::Time now) {
  if (!(events >= 1)) {
    return;
  }
  RouteOutput& route = FindOrAdd(query.route, now);
  route.learnt_at = now;
  Cell& cell =
      FindOrAddCell(route, query.account, LengthClassOf(query.prompt), now);
  cell.events.Add(std::log(events), 1);
  if (query.hint) {
    cell.hint_error.Add(std::log(events / EventsOf(*query.hint, engine)), 1);
  }
}

// Factors of the weights of one cell's samples.
struct OutputEstimator::CellFactors {
  // By their age alone.
  double aged = 0;
  // With the weight of each account limited.
  double events = 0;
  double hint_error = 0;
};

std::vector<OutputEstimator::CellFactors> OutputEstimator::FactorsOf(
    const RouteOutput& route,
    double other_events,
    double other_hints,
    absl::Time now) {
  std::vector<CellFactors> factors(route.cells.size());
  std::vector<double> events(route.cells.size());
  std::vector<double> hints(route.cells.size());
  for (size_t i = 0; i < route.cells.size(); ++i) {
    factors[i].aged = DecayFactor(route.cells[i].updated_at, now);
    for (size_t k = 0; k <= i; ++k) {
      if (route.cells[k].account == route.cells[i].account) {
        // The first cell of an account holds the account's sum.
        events[k] += route.cells[i].events.weight * factors[i].aged;
        hints[k] += route.cells[i].hint_error.weight * factors[i].aged;
        break;
      }
    }
  }
  // Requests without an account come from many clients and have no maximum.
  for (size_t i = 0; i < route.cells.size(); ++i) {
    if (route.cells[i].account == AccountHash()) {
      other_events += events[i];
      other_hints += hints[i];
      events[i] = 0;
      hints[i] = 0;
    }
  }
  const double max_events = MaxAccountWeight(events, other_events);
  const double max_hints = MaxAccountWeight(hints, other_hints);
  for (size_t i = 0; i < route.cells.size(); ++i) {
    const size_t first = static_cast<size_t>(
        std::find_if(route.cells.begin(), route.cells.end(),
                     [&](const Cell& cell) {
                       return cell.account == route.cells[i].account;
                     }) -
        route.cells.begin());
    factors[i].events =
        factors[i].aged * LimitFactor(events[first], max_events);
    factors[i].hint_error =
        factors[i].aged * LimitFactor(hints[first], max_hints);
  }
  return factors;
}

// Statistics that a query's output is estimated from.
struct OutputEstimator::QuerySums {
  LogStatistics route;
  LogStatistics length_class;
  LogStatistics account;
  LogStatistics cell;
  LogStatistics hint_route;
  LogStatistics hint_account;
};

OutputEstimator::QuerySums OutputEstimator::SumsFor(const OutputQuery& query,
                                                    const EngineModel& engine,
                                                    absl::Time now) const {
  QuerySums sums;
  sums.route.weight = kDefaultWeight;
  sums.route.variance = kDefaultVariance;
  sums.route.mean = static_cast<float>(std::log(DefaultEvents(engine)) -
                                       kDefaultVariance / 2);
  sums.hint_route.weight = kHintPriorWeight;
  sums.hint_route.variance = kHintVariance;
  const auto found = routes_.find(query.route);
  if (found == routes_.end()) {
    return sums;
  }
  const RouteOutput& route = found->second;
  const double peer_factor = DecayFactor(route.updated_at, now);
  Combine(route.peer_events, peer_factor, &sums.route);
  Combine(route.peer_hint_error, peer_factor, &sums.hint_route);
  const std::vector<CellFactors> factors =
      FactorsOf(route, sums.route.weight, sums.hint_route.weight, now);
  const int length_class = LengthClassOf(query.prompt);
  for (size_t i = 0; i < route.cells.size(); ++i) {
    const Cell& cell = route.cells[i];
    const bool same_class = cell.length_class == length_class;
    Combine(cell.events, factors[i].events, &sums.route);
    Combine(cell.hint_error, factors[i].hint_error, &sums.hint_route);
    if (same_class) {
      Combine(cell.events, factors[i].events, &sums.length_class);
    }
    if (cell.account == query.account) {
      Combine(cell.events, factors[i].aged, &sums.account);
      Combine(cell.hint_error, factors[i].aged, &sums.hint_account);
      if (same_class) {
        Combine(cell.events, factors[i].aged, &sums.cell);
      }
    }
  }
  return sums;
}

OutputEstimate OutputEstimator::Estimate(const OutputQuery& query,
                                         const EngineModel& engine,
                                         absl::Time now) const {
  const QuerySums sums = SumsFor(query, engine, now);
  const LogStatistics output = Refine(
      Refine(Refine(sums.route, sums.length_class), sums.account), sums.cell);
  double mean = output.mean;
  double variance = LimitedVariance(output);
  if (query.hint) {
    // Two independent estimates, weighted by the inverse of their variances.
    const LogStatistics error = Refine(sums.hint_route, sums.hint_account);
    const double by_hint = std::log(EventsOf(*query.hint, engine)) + error.mean;
    const double hint_variance = LimitedVariance(error);
    const double total = variance + hint_variance;
    mean = (mean * hint_variance + by_hint * variance) / total;
    variance = variance * hint_variance / total;
  }
  const double largest = query.max_output > Tokens(0)
                             ? EventsOf(query.max_output, engine)
                             : std::exp(kMaxLogEvents);
  OutputEstimate estimate;
  estimate.mean = std::clamp(std::exp(mean + variance / 2), 1.0, largest);
  estimate.high = std::clamp(
      std::exp(mean + kHighQuantile * std::sqrt(variance)), 1.0, largest);
  return estimate;
}

std::vector<RouteOutputSummary> OutputEstimator::Sample(
    size_t count,
    absl::Time now,
    std::mt19937_64& random) const {
  std::vector<uint64_t> recent;
  for (const auto& [route, output] : routes_) {
    if (now - output.learnt_at <= kToldFor) {
      recent.push_back(route);
    }
  }
  std::vector<uint64_t> chosen;
  std::sample(recent.begin(), recent.end(), std::back_inserter(chosen), count,
              random);
  std::vector<RouteOutputSummary> summaries;
  summaries.reserve(chosen.size());
  for (const uint64_t route : chosen) {
    RouteOutputSummary summary;
    summary.route = route;
    const RouteOutput& output = routes_.at(route);
    const std::vector<CellFactors> factors =
        FactorsOf(output, kDefaultWeight, kHintPriorWeight, now);
    for (size_t i = 0; i < output.cells.size(); ++i) {
      Combine(output.cells[i].events, factors[i].events, &summary.events);
      Combine(output.cells[i].hint_error, factors[i].hint_error,
              &summary.hint_error);
    }
    summaries.push_back(summary);
  }
  return summaries;
}

void OutputEstimator::Merge(const RouteOutputSummary& summary, absl::Time now) {
  if (!IsPlausible(summary.events) || !IsPlausible(summary.hint_error)) {
    return;
  }
  RouteOutput& route = FindOrAdd(summary.route, now);
  MergeLimited(summary.events, &route.peer_events);
  MergeLimited(summary.hint_error, &route.peer_hint_error);
}

}  // namespace umbertrail::dispatch
