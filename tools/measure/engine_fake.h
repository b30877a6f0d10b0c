#ifndef UMBERTRAIL_TOOLS_MEASURE_ENGINE_FAKE_H_
#define UMBERTRAIL_TOOLS_MEASURE_ENGINE_FAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>

#include "event_loop.h"
#include "umbertrail/core/types.h"

namespace umbertrail::measure {

struct EngineSpec {
  // KV memory, and what it bears in flight while cold, in tokens.
  int64_t memory = 400000;
  int64_t cold_budget = 16000;
  // Prompt tokens computed in one step, and the time of a step: a fixed part,
  // one for each attempt that decodes and one for each prompt token.
  int64_t chunk = 512;
  absl::Duration step = absl::Milliseconds(8);
  absl::Duration step_per_decode = absl::Microseconds(100);
  absl::Duration step_per_prompt_token = absl::Microseconds(50);
  // Prompt and output tokens after which a cold engine is warm.
  int64_t warm_after = 100000;
  // Age of what it reports.
  absl::Duration report_lag = absl::Seconds(2);

  // Engine seconds of one prompt token, in steps of full chunks, and of one
  // output token beside them.
  double PromptCost() const;
  double OutputCost() const;
};

// One attempt as its caller sees it; the callbacks come at most once.
struct EngineRun {
  InstanceRef holder;
  RequestId request;
  int64_t prompt = 0;
  int64_t output = 0;
  int64_t max_output = 0;
  int priority = 0;
  std::function<void()> on_first_token;
  std::function<void()> on_done;
  std::function<void()> on_broken;
};

// A queueing model of an engine that batches continuously: each step generates
// one token for each attempt that decodes and computes one chunk of the prompt
// that comes first by priority and arrival. A prompt joins when its memory is
// free.
class EngineFake {
 public:
  EngineFake(EngineSpec spec, std::string name, bool cold, EventLoop* loop);

  void Submit(EngineRun run);
  // Kills what runs; the engine is down for a while and starts cold.
  void Restart(absl::Duration down);
  bool up() const { return up_; }

  // The lagging report.
  core::TargetReport Report() const;
  int64_t tokens_in_flight() const { return tokens_in_flight_; }
  // Times that it was given more than it bears while cold.
  int cold_overloads() const { return cold_overloads_; }
  bool cold() const { return cold_; }

 private:
  struct Active {
    EngineRun run;
    int64_t computed = 0;
    int64_t generated = 0;
  };

  void Join();
  void Step();
  void EndStep();
  std::list<Active>::iterator NextPrompt();
  void Snapshot();

  EngineSpec spec_;
  std::string name_;
  EventLoop* loop_;
  bool up_ = true;
  bool cold_;
  bool stepping_ = false;
  int64_t boot_ = 1;
  int64_t work_done_ = 0;
  int64_t memory_used_ = 0;
  int64_t tokens_in_flight_ = 0;
  int cold_overloads_ = 0;
  std::list<EngineRun> waiting_;
  std::list<Active> active_;
  struct Timed {
    absl::Time at;
    core::TargetReport report;
  };
  std::deque<Timed> snapshots_;
};

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_ENGINE_FAKE_H_
