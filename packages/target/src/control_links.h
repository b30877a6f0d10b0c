#ifndef UMBERTRAIL_TARGET_SRC_CONTROL_LINKS_H_
#define UMBERTRAIL_TARGET_SRC_CONTROL_LINKS_H_

#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/http.h"
#include "umbertrail/target/client.h"

namespace umbertrail::target::detail {

// Connections for control calls: one kept to each target for reading reports,
// fresh ones for whatever must not be sent twice. Thread-safe.
class ControlLinks {
 public:
  // `settings` must outlive this object.
  explicit ControlLinks(const TargetClientSettings& settings);

  // Reads from a target on its kept connection; when that turns out closed or
  // silent, once more on a fresh one. Only for calls that may be repeated.
  http::Answer Read(const std::string& address, const http::Call& call);

  // Sends a call once, on a fresh connection.
  http::Answer SendOnce(const std::string& address, const http::Call& call);

  // Ends calls under way and each later one.
  void Abort();

  uint64_t replaced() const;

 private:
  struct Kept {
    std::shared_ptr<http::Link> link;
    absl::Time last_used;
  };

  std::shared_ptr<http::Link> MakeLink(const std::string& address, bool keep);
  // The kept connection, while it is fit for use; it is no longer kept.
  std::shared_ptr<http::Link> Take(const std::string& address);
  void Keep(const std::string& address, std::shared_ptr<http::Link> link);
  http::Answer Send(const std::shared_ptr<http::Link>& link,
                    const http::Call& call);

  const TargetClientSettings& settings_;
  mutable absl::Mutex mutex_;
  bool aborted_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t replaced_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<std::string, Kept> kept_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<std::shared_ptr<http::Link>> in_use_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::target::detail

#endif  // UMBERTRAIL_TARGET_SRC_CONTROL_LINKS_H_
