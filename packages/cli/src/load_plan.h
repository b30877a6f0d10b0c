#ifndef UMBERTRAIL_CLI_SRC_LOAD_PLAN_H_
#define UMBERTRAIL_CLI_SRC_LOAD_PLAN_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "command_line.h"
#include "umbertrail/base.h"

namespace umbertrail::cli {

// Requests that one load may send; a larger plan is cut at this many.
inline constexpr size_t kMaxPlanned = 1000000;

// One request of a load.
struct Arrival {
  // Since the load's start. Fixed beforehand: a slow fleet does not slow the
  // arrivals down.
  absl::Duration at;
  Tokens prompt;
  // Places in the command's lists.
  size_t account = 0;
  size_t address = 0;
};

// Poisson arrivals of the command's rate and mix, spread over its accounts and
// addresses; the same seed gives the same plan.
std::vector<Arrival> PlanLoad(const LoadCommand& command);

// Text of a prompt of `tokens` tokens, four bytes each. `serial` makes it
// differ from others from the first token on.
std::string MakePromptText(Tokens tokens, uint64_t serial);

// Whether `address` is IP:PORT within 127.0.0.0/8.
bool IsLoopback(const std::string& address);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_LOAD_PLAN_H_
