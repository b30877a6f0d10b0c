#ifndef UMBERTRAIL_DISPATCH_CONFIG_AGREEMENT_H_
#define UMBERTRAIL_DISPATCH_CONFIG_AGREEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config_entries.h"
#include "umbertrail/dispatch/freshness.h"

// Whether the configuration that this instance has read from the store is the
// latest one that the fleet knows. A store that is restored from an older copy
// serves an older configuration, which instances that remember the later one
// ignore. An instance without that memory, because it has started since or was
// cut off, asks the others.
//
// A store that may be restored states an era in all its responses. One that
// states none is believed as it is.

namespace umbertrail::dispatch {

// An instance holds a configuration of that version.
struct ConfigClaim {
  uint64_t version = 0;
  InstanceId holder;
  // The store as the holder last read it.
  KnownStore store;
  // When the holder stated this, or earlier.
  absl::Time stated_at = absl::InfinitePast();
};

// A part of a holder's entries, which are sent in their order.
struct ConfigEntriesPage {
  uint64_t version = 0;
  // All entries of the configuration from `from` on, up to the last of
  // `entries`; all that are left if `is_last`.
  ConfigEntry from;
  std::vector<ConfigEntry> entries;
  bool is_last = false;
};

// The entries of this instance's configuration that can be relied on.
class ConfigTrust {
 public:
  enum class Extent { kAll, kConfirmed, kNone };
  using Entries = absl::flat_hash_set<ConfigEntry>;

  // All entries, or none.
  explicit ConfigTrust(bool all)
      : extent_(all ? Extent::kAll : Extent::kNone) {}
  // Those among `confirmed`, which must outlive this object.
  explicit ConfigTrust(const Entries& confirmed)
      : extent_(Extent::kConfirmed), confirmed_(&confirmed) {}

  Extent extent() const { return extent_; }
  bool Includes(ConfigEntry entry) const {
    return extent_ == Extent::kAll ||
           (extent_ == Extent::kConfirmed && confirmed_->contains(entry));
  }

 private:
  Extent extent_;
  const Entries* confirmed_ = nullptr;
};

class ConfigAgreement {
 public:
  enum class Start {
    // No instance of the fleet ran before.
    kFirst,
    // Other instances may know more than the store.
    kLater,
  };
  enum class Standing {
    // It isn't known yet whether others hold a later configuration.
    kUnsettled,
    // Nobody is known to hold a later one that the store lacks.
    kCurrent,
    // Another instance does, and has told which entries it has.
    kBehind,
  };
  // What this instance holds.
  struct Own {
    uint64_t version = 0;
    KnownStore store;
  };

  // This long after the store was read it is believed, if no other instance has
  // answered.
  static constexpr absl::Duration kMaxUnsettled = absl::Milliseconds(1500);
  // The same, after instances were heard of which none is settled: a settled
  // one sends to one of these within a round of gossip.
  static constexpr absl::Duration kMaxUnsettledTogether =
      absl::Milliseconds(600);
  // A started instance that saw the store away, and finds no instance that
  // remembers, waits this long for the operator to write again what a restored
  // store lost.
  static constexpr absl::Duration kRewriteTime = absl::Milliseconds(2500);
  // After a start, or a restoration of the store, claims of later
  // configurations count for this long.
  static constexpr absl::Duration kClaimsCount = absl::Minutes(2);
  // A claim that is not renewed is dropped after this time.
  static constexpr absl::Duration kClaimLifetime = absl::Seconds(5);
  // Holders are asked for their entries in turn, at this interval.
  static constexpr absl::Duration kAskInterval = absl::Milliseconds(50);

  ConfigAgreement(Start start, absl::Time now);

  // Records what this instance holds after each response of the store.
  // `store_was_away` if the store may have been away just before.
  void RecordOwn(const Own& own, bool store_was_away, absl::Time now);
  // Records a message of another instance. A settled one passes on the latest
  // claim that it knows.
  void RecordPeer(bool is_settled, absl::Time now);
  // Takes note of a claim that another instance stated or passed on.
  void MergeClaim(const ConfigClaim& claim, absl::Time now);
  // The latest claim, for other instances; `self` is this one's id. None before
  // the store has been read.
  std::optional<ConfigClaim> LatestClaim(const InstanceId& self,
                                         absl::Time now) const;

  // A request for a holder's entries.
  struct Question {
    InstanceId holder;
    ConfigEntry from;
  };
  // The next question to ask, if any is due; it counts as asked.
  std::optional<Question> TakeQuestion(absl::Time now);
  // Handles a holder's answer. One of a version that is not later than this
  // instance's refutes the claim.
  void RecordEntries(const InstanceId& holder,
                     const ConfigEntriesPage& page,
                     absl::Time now);

  // Ends states whose time is over.
  void Update(absl::Time now);
  Standing StandingAt(absl::Time now) const;
  bool settled() const { return own_.has_value() && !unsettled_; }
  ConfigTrust TrustAt(absl::Time now) const;
  // Another instance was heard that was settled.
  bool has_heard_settled() const {
    return settled_peer_heard_ != absl::InfinitePast();
  }
  bool has_own() const { return own_.has_value(); }
  const Own& own() const { return *own_; }
  // The claim that StandingAt calls behind; null if none.
  const ConfigClaim* later_claim() const {
    return confirmed_ ? &confirmed_->claim : nullptr;
  }
  // A claim by which the store lacks a configuration, whether or not its holder
  // has answered.
  const ConfigClaim* FindContradiction(absl::Time now) const;

 private:
  // While unsettled: a settled instance must be heard after `heard_after`;
  // failing that, the store is believed at `until`.
  struct Unsettled {
    absl::Time heard_after;
    absl::Time until = absl::InfiniteFuture();
    // The operator may have to write again.
    bool awaits_operator = false;
    // When an instance was first heard that isn't settled either.
    absl::Time others_unsettled_at = absl::InfiniteFuture();
  };
  // The entries that the holder asked last has sent so far.
  struct Fetch {
    InstanceId holder;
    uint64_t version = 0;
    ConfigEntry next;
    ConfigTrust::Entries entries;
  };
  struct Confirmed {
    ConfigClaim claim;
    ConfigTrust::Entries entries;
  };

  // True if the store, as this instance has read it, lacks the claimed
  // configuration.
  bool Contradicts(const ConfigClaim& claim, absl::Time now) const;
  // True for a contradiction that is later than the configuration whose
  // entries are known.
  bool IsUnanswered(const ConfigClaim& claim, absl::Time now) const;
  bool MayBelieveStore(absl::Time now) const;
  // When the store is believed though no settled instance was heard.
  absl::Time BelievesAnywayAt() const;
  void BeginGap(absl::Time now);
  void MakeRoomForClaim();
  void Refute(const InstanceId& holder, absl::Time now);
  void DropOldClaims(absl::Time now);

  std::optional<Own> own_;
  std::optional<Unsettled> unsettled_;
  // When this instance may last have missed a configuration.
  absl::Time gap_at_ = absl::InfinitePast();
  absl::Time settled_peer_heard_ = absl::InfinitePast();
  // Claims of later versions than this instance's, by holder.
  std::map<InstanceId, ConfigClaim> claims_;
  // Claims that were stated before are refuted, by holder.
  std::map<InstanceId, absl::Time> refuted_;
  // When holders of claims were last asked.
  std::map<InstanceId, absl::Time> asked_;
  // Not before this time another question is asked.
  absl::Time next_question_at_ = absl::InfinitePast();
  Fetch fetch_;
  std::optional<Confirmed> confirmed_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_CONFIG_AGREEMENT_H_
