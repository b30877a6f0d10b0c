#ifndef UMBERTRAIL_TOOLS_DEMO_TALLY_H_
#define UMBERTRAIL_TOOLS_DEMO_TALLY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "demo/caller.h"

namespace umbertrail::demo {

// What became of the requests of one length class.
struct ClassTally {
  int64_t sent = 0;
  int64_t complete = 0;
  // Refused for good, honestly.
  int64_t refused = 0;
  // Tries beyond the first.
  int64_t retries = 0;
  int64_t cut = 0;
  int64_t wrong = 0;
  // No answer at all, however often it was sent again.
  int64_t lost = 0;
  std::vector<absl::Duration> first_tokens;
  // Why tries ended that were not the last, and why requests were refused.
  std::map<std::string, int64_t> retry_reasons;
  std::map<std::string, int64_t> reasons;
};

struct FilingTally {
  int64_t sent = 0;
  int64_t complete = 0;
  // Refused with `ran: no` to the end.
  int64_t not_run = 0;
  // Refused with `ran: unknown` or `ran: yes`.
  int64_t in_doubt = 0;
  int64_t resent = 0;
  // A resend with another answer than the first.
  int64_t changed = 0;
  int64_t lost = 0;
  std::map<std::string, int64_t> reasons;
};

// Collects results from several threads. Thread-safe.
class Tally {
 public:
  // `name` orders the rows of the table.
  void AddRequest(const std::string& name, const TryResult& last);
  // Notes a try after which the request is sent again.
  void AddRetry(const std::string& name, const TryResult& failed);
  void AddFilings(const FilingTally& filings);

  // Prints the table.
  void Print() const;
  // Whether anything was lost, cut, wrong or changed.
  bool HasFault() const;

 private:
  mutable absl::Mutex mutex_;
  std::map<std::string, ClassTally> classes_ ABSL_GUARDED_BY(mutex_);
  FilingTally filings_ ABSL_GUARDED_BY(mutex_);
};

// The value below which `share` of the samples lie; zero without samples.
absl::Duration Quantile(std::vector<absl::Duration> samples, double share);

}  // namespace umbertrail::demo

#endif  // UMBERTRAIL_TOOLS_DEMO_TALLY_H_
