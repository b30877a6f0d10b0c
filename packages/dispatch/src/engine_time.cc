#include "umbertrail/dispatch/engine_time.h"

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

}  // namespace umbertrail::dispatch
