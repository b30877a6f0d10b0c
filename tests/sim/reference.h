#ifndef UMBERTRAIL_TESTS_SIM_REFERENCE_H_
#define UMBERTRAIL_TESTS_SIM_REFERENCE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/types.h"

namespace umbertrail::sim {

// What callers and targets saw, kept outside the nodes, and the properties
// judged from it alone.
class Reference {
 public:
  // A broken property, with its place in virtual time.
  struct Violation {
    absl::Time at;
    std::string what;
  };

  void Submitted(absl::Time now,
                 const std::string& request,
                 absl::Time deadline,
                 const std::string& filing);
  // The instance that held it died: the caller saw its connection break.
  void Lost(const std::string& request);
  void Chunk(absl::Time now,
             const std::string& request,
             int64_t offset,
             int64_t tokens,
             const std::string& text);
  void Finished(absl::Time now,
                const std::string& request,
                const core::Outcome& outcome);
  // A target began to run it.
  void Ran(absl::Time now, const std::string& request);
  // A target ran a call that may not be repeated.
  void RanFiling(absl::Time now, const std::string& filing);
  void Violated(absl::Time now, std::string what);

  // Judges what can only be judged at the end.
  void Conclude(absl::Time now);

  const std::vector<Violation>& violations() const { return violations_; }

  // Counts for the summary of a run.
  struct Counts {
    int submitted = 0;
    int whole = 0;
    int refused = 0;
    int failed = 0;
    int lost = 0;
    int filings_run = 0;
    std::map<core::Reason, int> by_reason;
  };
  const Counts& counts() const { return counts_; }
  bool IsOpen(const std::string& request) const;
  void Forgive(const std::string& request, absl::Duration pause);

 private:
  struct Call {
    absl::Time deadline;
    std::string filing;
    int64_t delivered = 0;
    bool finished = false;
    bool lost = false;
    int runs = 0;
    bool said_not_run = false;
    absl::Time finished_at;
  };

  std::map<std::string, Call> calls_;
  // Runs by once token.
  std::map<std::string, int> once_runs_;
  std::vector<Violation> violations_;
  Counts counts_;
};

// The text of an answer's part, a function of its place alone.
std::string ExpectedText(const std::string& request,
                         int64_t offset,
                         int64_t tokens);

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_REFERENCE_H_
