#ifndef UMBERTRAIL_TOOLS_STANDINS_SERVICE_LOG_H_
#define UMBERTRAIL_TOOLS_STANDINS_SERVICE_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace umbertrail::standin {

struct ServiceRuns {
  uint64_t runs = 0;
  // Runs of calls that came with a once token.
  uint64_t once_runs = 0;
  // Runs beyond the first of one once token.
  uint64_t duplicate_tokens = 0;
  // Runs with a once token beyond the first of one body, whatever the token.
  uint64_t duplicate_bodies = 0;
};

// Remembers each run of a plain service, to count doubled ones. Thread-safe.
class ServiceLog {
 public:
  // Notes a run and returns its number, from 1.
  uint64_t Note(const std::string& once_token, const std::string& body);

  ServiceRuns runs() const;

 private:
  mutable absl::Mutex mutex_;
  ServiceRuns runs_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, uint64_t> by_token_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, uint64_t> by_body_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_SERVICE_LOG_H_
