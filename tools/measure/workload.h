#ifndef UMBERTRAIL_TOOLS_MEASURE_WORKLOAD_H_
#define UMBERTRAIL_TOOLS_MEASURE_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::measure {

// One request of a workload.
struct Job {
  absl::Duration arrival;  // since the start
  int64_t prompt = 0;      // tokens
  int64_t output = 0;      // tokens that are generated
  int64_t max_output = 0;  // tokens that are allowed
  absl::Duration time_limit;
  int account = 0;
};

// What happened to it.
struct JobResult {
  bool finished = false;
  absl::Duration first_token;
  absl::Duration total;
};

struct WorkloadSpec {
  uint64_t seed = 1;
  absl::Duration length;
  // Engine seconds that the requests need in each second, over all engines.
  double load = 0;
  // Engine seconds of one prompt token and of one output token.
  double prompt_cost = 0;
  double output_cost = 0;
  // Parts of the requests with 100 k tokens and more, and with 4 k to 32 k.
  double long_share = 0;
  double medium_share = 0;
  // Longest prompt.
  int64_t longest = 300000;
};

// Poisson arrivals; prompts are log-uniform inside their class: 1 k to 4 k,
// 4 k to 32 k, and 100 k to the longest.
std::vector<Job> MakeWorkload(const WorkloadSpec& spec);

// The value at `part` of the sorted values, or 0 without values.
double Percentile(std::vector<double> values, double part);

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_WORKLOAD_H_
