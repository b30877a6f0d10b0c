#ifndef UMBERTRAIL_TESTS_DISPATCH_MEMORY_PLAY_H_
#define UMBERTRAIL_TESTS_DISPATCH_MEMORY_PLAY_H_

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "umbertrail/dispatch/placement.h"

// Discrete-event simulation of callers and model engines that work in passes,
// with Place deciding between them. Placement sees only what a load board would
// report; all time is simulated. An engine admits a prompt when its memory has
// room, first come, first served; memory reserved there is held until the
// prompt's response ends, and a reserve order is refused if it isn't free.

namespace umbertrail::dispatch::memory_play {

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
  // Requests with prompts from this length on are also counted apart; see
  // MemorySimulation::LargestOf.
  double min_largest_prompt = HUGE_VAL;
};

struct ClassResult {
  int submitted = 0;
  int on_time = 0;
  int late_first = 0;
  // First event on time, but a pause above the class's SLO.
  int late_pause = 0;
  int refused = 0;
  // No event within the caller's deadline.
  int timed_out = 0;
  // Served in any time.
  int served() const { return on_time + late_first + late_pause; }
};

// What became of reserve orders.
struct ReservationResult {
  int orders = 0;
  int refused_orders = 0;
};

class MemorySimulation {
 public:
  MemorySimulation(const EngineModel& engine,
                   int targets,
                   uint64_t seed,
                   const Features& features = Features());

  // Simulates arrivals of `kinds` for `length`; results accumulate.
  void Run(const std::vector<RequestClass>& kinds, absl::Duration length);
  // Runs without arrivals until all requests have ended.
  void Drain();
  const ClassResult& Of(const std::string& kind) { return results_[kind]; }
  const ClassResult& LargestOf(const std::string& kind) {
    return largest_results_[kind];
  }
  const ReservationResult& reservations() const { return reservations_; }

 private:
  struct Request;
  // A queued prompt, or a part of one.
  struct Prefill {
    std::shared_ptr<Request> request;
    double tokens_left = 0;
    double tokens = 0;
    absl::Duration prefill_time;
    bool is_helper = false;
    // Memory that it needs to be admitted; none if it is reserved.
    double memory = 0;
    bool admitted = false;
  };
  // Memory reserved for a request.
  struct Ticket {
    std::shared_ptr<Request> request;
    double tokens = 0;
  };
  // What a load board would report of a request at a target.
  struct Load {
    std::shared_ptr<Request> request;
    WorkItem item;
  };
  struct Target {
    std::string id;
    std::deque<Prefill> waiting;
    std::vector<std::shared_ptr<Request>> decoding;
    absl::Time pass_ends = absl::InfiniteFuture();
    // Parts whose prefill the running pass completes.
    std::vector<Prefill> completed_prefills;
    std::vector<Load> loads;
    std::vector<Ticket> tickets;
    // Memory of admitted requests, without tickets.
    double used = 0;
  };

  void Arrive(const RequestClass& kind);
  // Places a request, again if reserve orders are refused.
  void PlaceRequest(const std::shared_ptr<Request>& request);
  // Reserves memory at all helpers or none; a target that refused, if any.
  std::optional<TargetId> ReserveMemory(const std::shared_ptr<Request>& request,
                                        const PlacementDecision& placed);
  void ReleaseMemory(const std::shared_ptr<Request>& request);
  double FreeMemory(const Target& target) const;
  Target& Find(const std::string& id);
  void CountResult(const Request& request, int ClassResult::*result);
  std::vector<Candidate> Candidates() const;
  std::vector<WorkItem> WorkAt(const Target& target) const;
  void Submit(const std::shared_ptr<Request>& request,
              const PlacementDecision& placed);
  void StartPass(Target& target);
  void EndPass(Target& target);
  // Drops all load of a request.
  void EndLoad(const std::shared_ptr<Request>& request);
  // Ends requests without an event whose callers have left.
  void AbandonOverdue();
  void EmitEvent(const std::shared_ptr<Request>& request);
  void RunUntil(absl::Time until);
  double Uniform();

  EngineModel engine_;
  std::vector<Target> targets_;
  // In the order of arrival; those with a first event may be among them.
  std::deque<std::shared_ptr<Request>> unanswered_;
  Features features_;
  std::map<std::string, ClassResult> results_;
  std::map<std::string, ClassResult> largest_results_;
  ReservationResult reservations_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
};

}  // namespace umbertrail::dispatch::memory_play

#endif  // UMBERTRAIL_TESTS_DISPATCH_MEMORY_PLAY_H_
