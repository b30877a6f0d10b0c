#include "umbertrail/dispatch/engine_time.h"

#include <algorithm>

namespace umbertrail::dispatch {

absl::Duration ReadTime(const EngineModel& engine, Tokens prompt) {
  const double tokens = static_cast<double>(prompt.value());
  const double linear_ms = engine.read_tokens_per_s > 0
                               ? tokens * 1000 / engine.read_tokens_per_s
                               : 0;
  const double million_pairs = tokens * tokens / 2 / 1e6;
  return absl::Milliseconds(linear_ms +
                            million_pairs * engine.pair_ms_per_million);
}

absl::Duration WritingPass(const EngineModel& engine, int writers) {
  return absl::Milliseconds(engine.steps_per_pass *
                            (engine.step_ms + engine.writer_ms * writers));
}

absl::Duration PassWhileReading(const EngineModel& engine, Tokens prompt) {
  const double most =
      static_cast<double>(engine.chunk_tokens) * engine.steps_per_pass;
  const double tokens = static_cast<double>(prompt.value());
  const double share = tokens <= most ? 1 : most / tokens;
  // The last pass of a long prompt has the most earlier tokens; its mean is
  // near enough to tell a pause that matters from one that doesn't.
  return std::max(WritingPass(engine, 1), ReadTime(engine, prompt) * share);
}

}  // namespace umbertrail::dispatch
