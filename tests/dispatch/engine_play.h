#ifndef UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_
#define UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "umbertrail/dispatch/output_estimator.h"
#include "umbertrail/dispatch/pause_window.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/priority_order.h"
#include "umbertrail/dispatch/target_health.h"

// Discrete-event simulation of callers and model engines that work in passes,
// with Place deciding between them. Placement sees only what a load board would
// report; all time is simulated.

namespace umbertrail::dispatch {

// One class of requests and its arrival rate.
struct RequestClass {
  std::string name;
  double per_s = 0;
  double mean_prompt = 0;
  // Standard deviation of the logarithm of the prompt length.
  double log_stddev = 0;
  double max_prompt = 0;
  int mean_event_count = 1;
  absl::Duration aim;
  absl::Duration gap_aim;
  // 0 is the most urgent.
  int urgency = 0;
  // Identifies the client account; zero if there is none.
  AccountHash account = {};
  // Standard deviation of the logarithm of the event count; if zero, it has a
  // Poisson distribution.
  double event_log_stddev = 0;
  // As above, of the client's hint about it; negative if it gives none.
  double hint_log_stddev = -1;
  absl::Duration timeout = absl::Seconds(15);
};

struct ClassResult {
  int submitted = 0;
  int on_time = 0;
  int late_first = 0;
  // First event on time, but a pause above the class's SLO.
  int late_pause = 0;
  // Events on time, but the last one after the timeout.
  int late_end = 0;
  int refused = 0;
};

class EngineSimulation {
 public:
  // Ratio of a target's actual to its modelled times.
  using Slowdown = std::function<double(size_t target, absl::Time now)>;

  EngineSimulation(const EngineModel& engine,
                   int targets,
                   uint64_t seed,
                   const Features& features = {});
  // Places by PriorityOrder instead of Place.
  EngineSimulation(const EngineModel& engine,
                   int targets,
                   uint64_t seed,
                   PriorityOrder::Options order);

  void SetSlowdown(Slowdown slowdown) { slowdown_ = std::move(slowdown); }

  // Simulates arrivals of `kinds` for `length`; results accumulate.
  void Run(const std::vector<RequestClass>& kinds, absl::Duration length);
  // Runs without arrivals until all requests have ended.
  void Drain();
  const ClassResult& Of(const std::string& kind) { return results_[kind]; }

 private:
  struct Request;
  // A queued prompt, or a part of one.
  struct Prefill {
    std::shared_ptr<Request> request;
    double tokens_left = 0;
    double tokens = 0;
    absl::Duration prefill_time;
    bool is_helper = false;
  };
  struct Target {
    std::string id;
    std::deque<Prefill> waiting;
    std::vector<std::shared_ptr<Request>> decoding;
    absl::Time pass_ends = absl::InfiniteFuture();
    TargetHealth health;
    // Parts whose prefill the running pass completes.
    std::vector<Prefill> completed_prefills;
  };

  void Arrive(const RequestClass& kind);
  int EventCount(const RequestClass& kind);
  // Places a request that has arrived or asks again.
  void Ask(const std::shared_ptr<Request>& request);
  std::vector<Candidate> Candidates() const;
  std::vector<WorkItem> WorkAt(const Target& target) const;
  void Submit(const std::shared_ptr<Request>& request,
              const PlacementDecision& placed);
  void StartPass(Target& target);
  void EndPass(Target& target);
  void EmitEvent(const std::shared_ptr<Request>& request);
  // What an instance learns from an event, before it is counted.
  void LearnFrom(Request& request);
  Target& TargetOf(const Request& request);
  OutputQuery QueryOf(const Request& request) const;
  void RunUntil(absl::Time until);
  double Uniform();
  double Tie();

  EngineModel engine_;
  std::optional<PriorityOrder> order_;
  // Requests that ask again, by time.
  std::multimap<absl::Time, std::shared_ptr<Request>> waiting_;
  std::vector<Target> targets_;
  std::map<std::string, ClassResult> results_;
  // Arrivals; apart from ties, so that all ways to place get the same ones.
  std::mt19937_64 random_;
  std::mt19937_64 tie_random_;
  Features features_;
  OutputEstimator outputs_;
  Slowdown slowdown_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_
