#ifndef UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_
#define UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "umbertrail/dispatch/placement.h"

// Plays callers against model engines that work in passes, with placement's
// decisions between them, and tells what the callers got. Nothing is known of
// engines but what the load board would tell; all times are simulated.

namespace umbertrail::dispatch {

// One kind of request, and how often it comes.
struct PlayedKind {
  std::string name;
  double per_s = 0;
  double mean_prompt = 0;
  // Of the prompt's logarithm.
  double spread = 0;
  double most_prompt = 0;
  int mean_events = 1;
  absl::Duration aim;
  absl::Duration gap_aim;
};

struct PlayedResult {
  int asked = 0;
  int on_time = 0;
  int late_first = 0;
  // First event in time, but a pause over the kind's.
  int late_pause = 0;
  int refused = 0;
};

class EnginePlay {
 public:
  EnginePlay(const EngineModel& engine, int targets, uint64_t seed);

  // Requests of `kinds` come for `length`; what they get is added up.
  void Run(const std::vector<PlayedKind>& kinds, absl::Duration length);
  // Plays on until all have ended.
  void Drain();
  const PlayedResult& Of(const std::string& kind) { return results_[kind]; }

 private:
  struct Request;
  // A prompt or a part of one that waits at a target.
  struct Reading {
    std::shared_ptr<Request> request;
    double tokens_left = 0;
    double tokens = 0;
    absl::Duration read_time;
    bool helping = false;
  };
  struct Target {
    std::string id;
    std::deque<Reading> waiting;
    std::vector<std::shared_ptr<Request>> writing;
    absl::Time pass_ends = absl::InfiniteFuture();
    // Parts that the running pass completes.
    std::vector<Reading> read_now;
  };

  void Arrive(const PlayedKind& kind);
  std::vector<Candidate> Candidates() const;
  std::vector<WorkItem> WorkAt(const Target& target) const;
  void Submit(const std::shared_ptr<Request>& request, const Placed& placed);
  void StartPass(Target& target);
  void EndPass(Target& target);
  void GiveEvent(const std::shared_ptr<Request>& request);
  void PlayUntil(absl::Time until);
  double Uniform();

  EngineModel engine_;
  std::vector<Target> targets_;
  std::map<std::string, PlayedResult> results_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_TESTS_DISPATCH_ENGINE_PLAY_H_
