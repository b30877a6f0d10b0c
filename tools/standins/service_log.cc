#include "standins/service_log.h"

namespace umbertrail::standin {

uint64_t ServiceLog::Note(const std::string& once_token,
                          const std::string& body) {
  absl::MutexLock lock(&mutex_);
  ++runs_.runs;
  if (once_token.empty()) {
    return runs_.runs;
  }
  ++runs_.once_runs;
  if (++by_token_[once_token] > 1) {
    ++runs_.duplicate_tokens;
  }
  if (++by_body_[body] > 1) {
    ++runs_.duplicate_bodies;
  }
  return runs_.runs;
}

ServiceRuns ServiceLog::runs() const {
  absl::MutexLock lock(&mutex_);
  return runs_;
}

}  // namespace umbertrail::standin
