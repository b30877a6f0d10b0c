#ifndef UMBERTRAIL_DAEMON_REFUSAL_H_
#define UMBERTRAIL_DAEMON_REFUSAL_H_

#include <string>

#include "absl/time/time.h"
#include "umbertrail/core/types.h"

namespace umbertrail::daemon {

// A request that ends without an answer, as its caller sees it.
struct Refusal {
  int status = 500;
  std::string reason;
  core::Ran ran = core::Ran::kNo;
  std::string message;
  // Zero when coming back doesn't help.
  absl::Duration retry_after;
};

// The HTTP status of each reason.
int StatusOf(core::Reason reason);

// A refusal that the front itself gives: nothing of the request was run.
Refusal NotRun(core::Reason reason, std::string message);
Refusal NotRun(int status, std::string reason, std::string message);

// The refusal for a node's outcome. Precondition: its reason isn't kOk.
Refusal RefusalOf(const core::Outcome& outcome);

// `retry_after` in whole seconds, rounded up, for the Retry-After header.
int64_t RetryAfterSeconds(const Refusal& refusal);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_REFUSAL_H_
