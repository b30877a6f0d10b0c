#ifndef UMBERTRAIL_CLI_SRC_LOAD_RUNNER_H_
#define UMBERTRAIL_CLI_SRC_LOAD_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "caller.h"
#include "command_line.h"
#include "load_plan.h"

namespace umbertrail::cli {

// How one request of a load went.
struct LoadSample {
  Arrival arrival;
  CallResult result;
  // Whether it was sent at all: not while `max_open` others were open.
  bool offered = false;
  // From its planned arrival, so that a late sending counts.
  absl::Duration first_token;
  absl::Duration total;
};

struct LoadResult {
  // First token times of short prompts sent one by one before the load.
  std::vector<absl::Duration> alone;
  std::vector<LoadSample> samples;
};

// Called now and then with the number of requests that have ended.
using Progress = std::function<void(size_t ended, size_t planned)>;

// Sends the requests of `plan` at their times, each once, and waits for all.
// `secrets` belong to the command's accounts.
LoadResult RunLoad(const LoadCommand& command,
                   const std::vector<std::string>& secrets,
                   const std::vector<Arrival>& plan,
                   const Caller& caller,
                   const Progress& progress);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_LOAD_RUNNER_H_
