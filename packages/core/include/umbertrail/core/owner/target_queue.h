#ifndef UMBERTRAIL_CORE_OWNER_TARGET_QUEUE_H_
#define UMBERTRAIL_CORE_OWNER_TARGET_QUEUE_H_

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/core/owner/ledger.h"
#include "umbertrail/core/owner/owner_config.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// A request that waits for a target.
struct QueuedWork {
  InstanceRef holder;
  AdmitRequest request;
  LengthClass length = LengthClass::kShort;
  // Memory and prompt computation that it needs.
  Tokens charge;
  Tokens prefill;
  absl::Time arrived;
  absl::Time deadline;
  // Started after this it cannot finish in its time.
  absl::Time latest_start;
  // Offers of a place that were not claimed.
  int missed_claims = 0;

  AttemptKey key() const { return {request.request, request.attempt, holder}; }
};

// What a target can take at one moment.
struct TargetRoom {
  absl::Time now;
  // Tokens that may be charged, and those that are, in all and by class.
  Tokens allowed;
  Tokens charged;
  std::array<Tokens, 3> charged_by_class;
  int running = 0;
  // Prefills under way by class.
  std::array<int, 3> prefilling = {};
  // Time until the target has computed the short prompts before a new one.
  absl::Duration short_backlog;
};

// The order in which one target's waiting requests get their turn.
//
// Short prompts go before medium ones and those before long ones, and a part of
// the memory is theirs alone. Inside a class, accounts share by weight (start
// time fair queueing over charged tokens); inside an account the earliest
// deadline goes first. A longer prompt that spent a part of its slack waiting
// is aged: it goes before the others, and while it lacks memory, shorter ones
// keep to their share, so that memory gathers for it.
//
// Cost: one turn is linear in the accounts that wait; the rest is linear in
// what waits, which is bounded.
class TargetQueue {
 public:
  // `config` must outlive the queue.
  explicit TargetQueue(const OwnerConfig* config);

  bool Full() const { return size_ >= config_->max_queued; }
  // Precondition: !Full().
  void Push(QueuedWork work);

  // What should start now; null when nothing fits. Valid until the next change.
  const QueuedWork* Next(const TargetRoom& room) const;
  // Takes out what Next() returned and charges its account's share.
  QueuedWork Take(const AttemptKey& key);

  const QueuedWork* Find(const AttemptKey& key) const;
  // Takes out one request whatever its turn; nothing when it does not wait.
  std::optional<QueuedWork> Remove(const AttemptKey& key);
  // Takes out what can no longer finish in its time.
  std::vector<QueuedWork> RemoveExpired(absl::Time now);
  std::vector<QueuedWork> RemoveHolder(const InstanceRef& holder);
  std::vector<QueuedWork> RemoveAll();

  // Whether content that a target died of waits.
  bool HoldsSuspect() const;

  // When the next waiting request expires; InfiniteFuture when nothing waits.
  absl::Time NextExpiry() const;
  // Short prompt that lacks memory and waited too long or nears its latest
  // start; null when there is none.
  const QueuedWork* PressedShort(const TargetRoom& room) const;

  // What waits in classes up to `length`.
  Tokens WaitingCharge(LengthClass length) const;
  Tokens WaitingPrefill(LengthClass length) const;
  int count(LengthClass length) const;
  size_t size() const { return size_; }

 private:
  // One account's requests in a class, by deadline, and its used share.
  struct AccountQueue {
    double used = 0;  // charged tokens by weight, in the class's virtual time
    std::multimap<absl::Time, QueuedWork> by_deadline;
  };
  struct ClassQueue {
    // Used share of the account served last; an account that comes back
    // starts from here and gets nothing for having been away.
    double virtual_time = 0;
    std::map<ClientAccountId, AccountQueue> accounts;
    int count = 0;
    Tokens charge;
    Tokens prefill;
  };

  static const QueuedWork* Head(const ClassQueue& queue);
  const QueuedWork* AgedHead(absl::Time now) const;
  bool Fits(const QueuedWork& work, const TargetRoom& room) const;
  bool MemoryFits(const QueuedWork& work, const TargetRoom& room) const;
  bool PrefillFits(const QueuedWork& work, const TargetRoom& room) const;
  bool FitsBeside(const QueuedWork& work,
                  const QueuedWork& aged,
                  const TargetRoom& room) const;
  template <typename Predicate>
  std::vector<QueuedWork> RemoveIf(Predicate predicate);
  void Forget(ClassQueue* queue, const QueuedWork& work);

  const OwnerConfig* config_;
  std::array<ClassQueue, 3> classes_;
  size_t size_ = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_TARGET_QUEUE_H_
