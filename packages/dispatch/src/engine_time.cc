#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {

absl::Duration PrefillTime(const EngineModel& engine, Tokens prompt) {
  const double tokens = static_cast<double>(prompt.value());
  const double linear_ms = engine.prefill_tokens_per_s > 0
                               ? tokens * 1000 / engine.prefill_tokens_per_s
                               : 0;
  const double million_pairs = tokens * tokens / 2 / 1e6;
  return absl::Milliseconds(
      linear_ms + million_pairs * engine.attention_ms_per_million_pairs);
}

absl::Duration DecodePassTime(const EngineModel& engine, int decoding) {
  return absl::Milliseconds(
      engine.steps_per_pass *
      (engine.step_ms + engine.step_ms_per_request * decoding));
}

}  // namespace umbertrail::dispatch
