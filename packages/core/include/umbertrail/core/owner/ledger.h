#ifndef UMBERTRAIL_CORE_OWNER_LEDGER_H_
#define UMBERTRAIL_CORE_OWNER_LEDGER_H_

#include <array>
#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "umbertrail/core/owner/owner_config.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// Names one attempt at a target. Callers choose request ids, so two holders may
// use the same one.
struct AttemptKey {
  RequestId request;
  AttemptNumber attempt;
  InstanceRef holder;

  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.request == b.request && a.attempt == b.attempt &&
           a.holder == b.holder;
  }
  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.request, a.attempt, a.holder) <
           std::tie(b.request, b.attempt, b.holder);
  }
};

enum class ChargeState {
  kReserved,  // offered to a queued request that has not claimed it yet
  kGranted,   // may run; not heard of yet
  kRunning,   // its holder said that it is alive
  kSilent,    // its holder fell silent or is gone
};

// One attempt that is charged to a target.
struct Charge {
  AttemptKey key;
  LengthClass length = LengthClass::kShort;
  ChargeState state = ChargeState::kGranted;
  // Memory that it may come to hold: prompt and longest output.
  Tokens tokens;
  // Longest output allowed.
  Tokens output;
  // Prompt tokens to compute: without the matched prefix.
  Tokens prefill;
  // Prompt tokens that were to be computed up to its first token when it was
  // granted, its own included.
  Tokens prefill_with_ahead;
  absl::Time granted_at;
  // When its first token is expected, and whether it was heard to be past it.
  absl::Time first_token_at;
  bool decoding = false;
  absl::Time heard_at;
  // Latest moment at which it may still end well.
  absl::Time deadline;
  // A long prompt was being computed when it was granted.
  bool beside_long = false;
  // A target died while running this content.
  bool suspect = false;
  // A suspension was asked for.
  bool suspending = false;
  // Its holder was asked to read the target's boot first.
  bool read_boot = false;
  // Begins on a boot that was known then, so a restart since breaks it. Holds
  // from a grant window after the grant.
  bool witness = false;
};

// The exact account of what one target runs by this owner's word. A charge
// ends when its holder settles it, or when a report taken after it fell silent
// shows that the target does not hold it; time alone never ends it.
// Cost: logarithmic in the charges for one attempt, linear for the rest.
class Ledger {
 public:
  // `config` must outlive the ledger.
  explicit Ledger(const OwnerConfig* config);

  // Precondition: no charge of the same key.
  void Add(Charge charge);
  Charge* Find(const AttemptKey& key);
  const Charge* Find(const AttemptKey& key) const;
  // Ends a charge that its holder settled at `now`.
  void Settle(absl::Time now, const AttemptKey& key);
  // Ends a reservation that was not claimed; nothing can run by it.
  void Withdraw(const AttemptKey& key);

  // Heard of the attempt; false when it is not charged.
  bool OnAlive(absl::Time now, const AttemptKey& key, Tokens generated);
  // This life of the holder is over.
  void OnHolderGone(absl::Time now, const InstanceRef& holder);
  // Marks charges silent that were not heard of in time.
  void MarkSilent(absl::Time now);
  // Ends silent charges that `present`, the requests named in a report taken at
  // `taken_at`, does not hold.
  void OnReport(absl::Time taken_at,
                const absl::flat_hash_set<RequestId>& present);
  // Ends silent charges of a target whose reports name no requests.
  void DropSilentBefore(absl::Time heard_before);
  // The target restarted: what was granted before `started_by` and is not
  // `present` is gone.
  void OnRestart(absl::Time started_by,
                 const absl::flat_hash_set<RequestId>& present);

  // A report taken at `taken_at` named the target's boot and the requests that
  // it holds, `present`.
  void MarkWitnesses(absl::Time taken_at,
                     const absl::flat_hash_set<RequestId>& present);
  // Whether an attempt other than `key` would break if the target restarted.
  bool HasWitnessBeside(absl::Time now, const AttemptKey& key) const;

  // Work of others by a report taken at `taken_at`: tokens in flight that this
  // ledger does not explain, or allocations of requests that it does not know,
  // whichever is more.
  Tokens ForeignWork(absl::Time taken_at, const TargetReport& report) const;
  // Whether the request has a charge here.
  bool Charges(const RequestId& request) const;
  // Whether it has one or had one until recently.
  bool Knows(const RequestId& request) const;

  Tokens charged() const { return charged_; }
  Tokens charged(LengthClass length) const;
  int running() const { return static_cast<int>(charges_.size()); }
  // Prefills under way in a class: no first token was heard of yet.
  int Prefilling(LengthClass length) const;
  // Prompt tokens still to compute, in classes up to `length`, if the target
  // takes `per_token` for each since the last first token.
  Tokens PendingPrefill(absl::Time now,
                        LengthClass length,
                        absl::Duration per_token) const;

  bool empty() const { return charges_.empty(); }
  const std::map<AttemptKey, Charge>& charges() const { return charges_; }

 private:
  struct Ended {
    RequestId request;
    absl::Time granted_at;
    absl::Time ended_at;
    Tokens tokens;
  };

  using ChargeMap = std::map<AttemptKey, Charge>;
  ChargeMap::iterator Erase(ChargeMap::iterator it);

  const OwnerConfig* config_;
  ChargeMap charges_;
  Tokens charged_;
  std::array<Tokens, 3> charged_by_class_;
  // When a prefill of each class was last heard to be over.
  std::array<absl::Time, 3> progress_at_ = {
      absl::InfinitePast(), absl::InfinitePast(), absl::InfinitePast()};
  // Charges settled recently, which lagging reports still show; oldest first.
  std::deque<Ended> ended_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_LEDGER_H_
