#ifndef UMBERTRAIL_CORE_ONCE_OUTCOME_LOG_H_
#define UMBERTRAIL_CORE_ONCE_OUTCOME_LOG_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/messages.h"

namespace umbertrail::core {

// What is remembered of calls that may not be repeated: each token that was
// taken, and its outcome once there is one. Outcomes are kept for a time and
// within a size; that a token was taken is kept longer.
class OutcomeLog {
 public:
  struct Limits {
    // Callers send again within minutes of a lost answer.
    absl::Duration keep_outcome = absl::Minutes(30);
    absl::Duration keep_token = absl::Hours(24);
    std::size_t max_tokens = 200000;
  };

  struct Entry {
    RequestId request;
    bool finished = false;
    Outcome outcome;
    absl::Time taken;
  };

  explicit OutcomeLog(Limits limits) : limits_(limits) {}

  // Takes `token` for `request`. False when it was taken before, or when the
  // log is full: a token that could not be remembered must not run.
  bool Take(absl::Time now, const std::string& token, const RequestId& request);

  // Records how the run under `token` ended.
  void Finish(const std::string& token, const Outcome& outcome);

  // Frees a token whose run sent nothing.
  void Free(const std::string& token);

  // Null when the token was never taken or is forgotten.
  const Entry* Find(const std::string& token) const;

  // Drops what is older than the limits. Cost: linear in what is dropped.
  void Expire(absl::Time now);

  std::vector<RedemptionRecord> Records() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Aged {
    std::string token;
    absl::Time taken;
  };

  Limits limits_;
  std::map<std::string, Entry> entries_;
  std::deque<Aged> by_age_;
  std::deque<Aged> bodies_by_age_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ONCE_OUTCOME_LOG_H_
