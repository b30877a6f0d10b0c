#include "umbertrail/dispatch/pass_time.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

constexpr double kTokensPerK = 1000;

// The part of `prefill_time` that falls into one pass, given the total tokens.
absl::Duration PrefillTimePerPass(const EngineModel& engine,
                                  double tokens,
                                  absl::Duration prefill_time) {
  const double max_tokens =
      static_cast<double>(engine.chunk_tokens) * engine.steps_per_pass;
  return tokens <= max_tokens ? prefill_time
                              : prefill_time * (max_tokens / tokens);
}

}  // namespace

PassLoad ComputePassLoad(const std::vector<WorkItem>& work,
                         absl::Duration backlog,
                         double slowdown) {
  PassLoad load;
  int64_t queued = 0;
  int64_t context = 0;
  for (const WorkItem& item : work) {
    if (item.prefilling) {
      queued += item.prompt.value();
      load.prefill_time += item.prefill_time;
    } else if (!item.is_helper) {
      ++load.decoding;
      context += item.prompt.value();
    }
  }
  load.context = Tokens(context);
  if (load.prefill_time > absl::ZeroDuration()) {
    const double left = std::min(
        1.0, absl::FDivDuration(backlog, load.prefill_time * slowdown));
    load.queued_prefill =
        Tokens(std::llround(left * static_cast<double>(queued)));
    load.prefill_time *= left;
  }
  return load;
}

absl::Duration DecodePassTime(const EngineModel& engine, const PassLoad& load) {
  const double context = static_cast<double>(load.context.value());
  return DecodePassTime(engine, load.decoding) +
         absl::Milliseconds(engine.steps_per_pass *
                            engine.step_ms_per_1k_context * context /
                            kTokensPerK);
}

absl::Duration PassTimeWithPrefill(const EngineModel& engine,
                                   const PassLoad& load,
                                   Tokens prompt,
                                   absl::Duration prefill_time) {
  const double own = static_cast<double>(prompt.value());
  const double all = own + static_cast<double>(load.queued_prefill.value());
  return DecodePassTime(engine, load) +
         std::max(
             PrefillTimePerPass(engine, all, load.prefill_time + prefill_time),
             PrefillTimePerPass(engine, own, prefill_time));
}

}  // namespace umbertrail::dispatch
