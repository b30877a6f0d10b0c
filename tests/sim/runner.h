#ifndef UMBERTRAIL_TESTS_SIM_RUNNER_H_
#define UMBERTRAIL_TESTS_SIM_RUNNER_H_

#include <optional>
#include <string>
#include <vector>

#include "commands.h"
#include "reference.h"
#include "umbertrail/core/mutations.h"

namespace umbertrail::sim {

// Which faults a generated run may hold.
enum class Mix { kNone, kAll };

struct RunResult {
  // The first broken property, in the reference or inside core.
  std::optional<std::string> failure;
  Reference::Counts counts;
  std::vector<std::string> trace;
};

// The script of a seed; the same in every run.
Script MakeScript(uint64_t seed, Mix mix);

// Runs a script in virtual time. A broken invariant of core is a failure too.
RunResult RunScript(const Script& script,
                    const core::Mutations& mutations,
                    bool trace);

// Runs the script of a seed; on failure shrinks it to fewer commands while the
// same seed of messages still fails, within `tries` runs.
struct Shrunk {
  Script script;
  RunResult result;
};
Shrunk Shrink(uint64_t seed,
              Mix mix,
              const core::Mutations& mutations,
              int tries);

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_RUNNER_H_
