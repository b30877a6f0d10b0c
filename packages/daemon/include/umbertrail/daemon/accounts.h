#ifndef UMBERTRAIL_DAEMON_ACCOUNTS_H_
#define UMBERTRAIL_DAEMON_ACCOUNTS_H_

#include <memory>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "umbertrail/base.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::daemon {

// The client accounts of the manifest in force, for the threads that serve
// callers. Thread-safe.
class AccountDirectory {
 public:
  enum class Answer { kRight, kWrong, kNoManifest };

  // Takes the accounts of a newly accepted manifest.
  void Replace(const manifest::Manifest& manifest);

  // Whether `secret` is the key of account `id`. An unknown account takes as
  // long as a known one.
  Answer Check(const ClientAccountId& id, std::string_view secret) const;

 private:
  using Accounts =
      absl::flat_hash_map<ClientAccountId, manifest::ClientAccount>;

  std::shared_ptr<const Accounts> accounts() const;

  mutable absl::Mutex mutex_;
  std::shared_ptr<const Accounts> accounts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_ACCOUNTS_H_
