#ifndef UMBERTRAIL_TOOLS_DEMO_WORKLOAD_H_
#define UMBERTRAIL_TOOLS_DEMO_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "demo/caller.h"
#include "demo/tally.h"

namespace umbertrail::demo {

struct WorkloadSettings {
  std::vector<std::string> entries;
  std::vector<std::string> engines;
  std::string service_address;
  std::string model = "small";
  std::string service = "desk";
  std::string call = "file";
  std::vector<Account> accounts;
  // How long new requests are sent.
  absl::Duration time = absl::Seconds(30);
  uint64_t seed = 1;
};

// Sends prompts of all lengths and filings from several threads until the time
// is over, and waits for all answers.
void RunWorkload(const WorkloadSettings& settings, Tally& tally);

// Time to first token and whole time of short prompts, asked of an engine and
// through an entry in turns.
struct OverheadSamples {
  std::vector<absl::Duration> direct_first_token;
  std::vector<absl::Duration> through_first_token;
  std::vector<absl::Duration> direct_total;
  std::vector<absl::Duration> through_total;
  int64_t failures = 0;
};
OverheadSamples MeasureOverhead(const WorkloadSettings& settings, int count);

}  // namespace umbertrail::demo

#endif  // UMBERTRAIL_TOOLS_DEMO_WORKLOAD_H_
