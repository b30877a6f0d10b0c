#ifndef UMBERTRAIL_TESTS_SIM_COMMANDS_H_
#define UMBERTRAIL_TESTS_SIM_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace umbertrail::sim {

// What a generated run consists of. `a` to `c` choose among what exists at
// that moment, by remainder, so that every shrunk run is still a valid one.
enum class CommandKind {
  kPrompt,           // a: instance, b: length, c: deadline
  kPoison,           // a: instance, b: which content; sent again if refused
  kFiling,           // a: instances, b: ticket or key, c: resends
  kCrash,            // a: instance; one with empty memory takes its place
  kPause,            // a: instance, b: how long
  kPartition,        // a: sides, b: how long, c: instances only or all
  kUnrulyLinks,      // a: drops, b: repeats, c: how long
  kConfigDown,       // a: how long
  kConfigStale,      // a: instance, b: how long
  kListsDiffer,      // a: instance, b: lag
  kTargetDies,       // a: target, b: how long
  kTargetCold,       // a: target
  kTargetSilent,     // a: target, b: how long
  kTargetLeaves,     // a: target
  kDataCentre,       // a: data centre; closed or opened again
  kVersion,          // a new version of the model
  kStop,             // a: instance, planned; another takes its place later
  kFilingUnderFire,  // as kFiling; services fail meanwhile
  kBurst,            // a: instance, b: how many prompts at once
  kCount,
};

struct Command {
  CommandKind kind = CommandKind::kPrompt;
  uint32_t a = 0;
  uint32_t b = 0;
  uint32_t c = 0;
  // Virtual milliseconds before the next command.
  uint32_t gap_ms = 0;
};

std::string Describe(const Command& command);

// A run: its seed fixes the schedule of messages, the commands the faults.
struct Script {
  uint64_t seed = 0;
  uint32_t instances = 3;
  std::vector<Command> commands;
};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_COMMANDS_H_
