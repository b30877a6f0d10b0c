#ifndef UMBERTRAIL_DAEMON_REQUEST_TABLE_H_
#define UMBERTRAIL_DAEMON_REQUEST_TABLE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "umbertrail/daemon/ports.h"

namespace umbertrail::daemon {

// Nothing came within the time waited.
struct NothingYet {};
// The caller read so slowly that its answer exceeded the relay limit.
struct RelayOverflow {};

using CallerItem = std::variant<NothingYet,
                                core::RelayChunk,
                                core::Outcome,
                                core::TicketIssued,
                                RelayOverflow>;

// What the core loop has for one waiting caller. The loop puts items in and
// never waits; the caller's thread takes them out. Thread-safe.
class CallerChannel {
 public:
  // `limit` bounds the bytes of chunks held.
  explicit CallerChannel(size_t limit) : limit_(limit) {}

  void Put(CallerItem item);

  // The next item, waiting at most `limit`.
  CallerItem Take(absl::Duration limit);

 private:
  bool HasItem() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t limit_;
  mutable absl::Mutex mutex_;
  std::deque<CallerItem> items_ ABSL_GUARDED_BY(mutex_);
  size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  bool overflowed_ ABSL_GUARDED_BY(mutex_) = false;
};

// The requests in flight at this instance, by the id under which the node knows
// them and by the id that their callers gave. Thread-safe.
class RequestTable : public CallerPort {
 public:
  // Opens a channel; null when the account has a request of this caller id in
  // flight already. `id` must be new.
  std::shared_ptr<CallerChannel> Open(const RequestId& id,
                                      const ClientAccountId& account,
                                      const std::string& caller_id,
                                      size_t relay_bytes);
  // Forgets a request; later actions for it are dropped.
  void Close(const RequestId& id);

  size_t size() const;

  void Relay(const core::RelayChunk& action) override;
  void Finish(const core::FinishRequest& action) override;
  void Issue(const core::TicketIssued& action) override;

 private:
  using CallerKey = std::pair<ClientAccountId, std::string>;
  struct Entry {
    CallerKey key;
    std::shared_ptr<CallerChannel> channel;
  };

  void Put(const RequestId& id, CallerItem item);

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<RequestId, Entry> entries_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<CallerKey> keys_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_REQUEST_TABLE_H_
