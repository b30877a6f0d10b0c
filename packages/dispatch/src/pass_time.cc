#include "umbertrail/dispatch/pass_time.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

constexpr double kTokensPerK = 1000;

// The part of `read_time` that one pass takes of so many tokens.
absl::Duration ReadInOnePass(const EngineModel& engine,
                             double tokens,
                             absl::Duration read_time) {
  const double most =
      static_cast<double>(engine.chunk_tokens) * engine.steps_per_pass;
  return tokens <= most ? read_time : read_time * (most / tokens);
}

}  // namespace

PassLoad PassLoadOf(const std::vector<WorkItem>& work,
                    absl::Duration backlog,
                    double pace) {
  PassLoad load;
  int64_t waiting = 0;
  int64_t context = 0;
  for (const WorkItem& item : work) {
    if (item.reading) {
      waiting += item.prompt.value();
      load.read_time += item.read_time;
    } else if (!item.helping) {
      ++load.writers;
      context += item.prompt.value();
    }
  }
  load.context = Tokens(context);
  if (load.read_time > absl::ZeroDuration()) {
    const double left =
        std::min(1.0, absl::FDivDuration(backlog, load.read_time * pace));
    load.waiting = Tokens(std::llround(left * static_cast<double>(waiting)));
    load.read_time *= left;
  }
  return load;
}

absl::Duration WritingPass(const EngineModel& engine, const PassLoad& load) {
  const double context = static_cast<double>(load.context.value());
  return WritingPass(engine, load.writers) +
         absl::Milliseconds(engine.steps_per_pass * engine.context_ms_per_1k *
                            context / kTokensPerK);
}

absl::Duration PassWith(const EngineModel& engine,
                        const PassLoad& load,
                        Tokens prompt,
                        absl::Duration read_time) {
  const double own = static_cast<double>(prompt.value());
  const double all = own + static_cast<double>(load.waiting.value());
  return WritingPass(engine, load) +
         std::max(ReadInOnePass(engine, all, load.read_time + read_time),
                  ReadInOnePass(engine, own, read_time));
}

}  // namespace umbertrail::dispatch
