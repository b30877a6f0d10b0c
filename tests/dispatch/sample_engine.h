#ifndef UMBERTRAIL_TESTS_DISPATCH_SAMPLE_ENGINE_H_
#define UMBERTRAIL_TESTS_DISPATCH_SAMPLE_ENGINE_H_

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {

// An engine with parameters of the size that users' data sheets give.
inline EngineModel SampleEngine() {
  EngineModel engine;
  engine.slots = 16;
  engine.kv_capacity = Tokens(405000);
  engine.step_ms = 1.31;
  engine.step_ms_per_request = 0.001;
  engine.prefill_tokens_per_s = 154000;
  engine.attention_ms_per_million_pairs = 0.162;
  engine.chunk_tokens = 2048;
  engine.steps_per_pass = 34;
  engine.mean_output_tokens = 1266;
  return engine;
}

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_TESTS_DISPATCH_SAMPLE_ENGINE_H_
