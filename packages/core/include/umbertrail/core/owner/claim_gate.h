#ifndef UMBERTRAIL_CORE_OWNER_CLAIM_GATE_H_
#define UMBERTRAIL_CORE_OWNER_CLAIM_GATE_H_

#include "absl/time/time.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/types.h"

namespace umbertrail::core {

// How much of a target's budget this instance may use by its claim. Several
// instances may believe that they own a target: too much work costs a warm
// target some time and kills a cold one. A cold target is therefore opened only
// after two reports that were taken since the claim rose, which show what a
// former owner has left running, unless that owner handed its ledger over.
class ClaimGate {
 public:
  // `mutations` must outlive the gate.
  explicit ClaimGate(const Mutations* mutations);

  // The claim as the fleet's view has it at `now`.
  void OnClaim(absl::Time now, OwnerClaim claim);

  // A report arrived that was taken at `taken_at`.
  void OnReport(absl::Time taken_at);

  // The former owner handed over its exact ledger and grants nothing more. It
  // counts until the claim is lost again, or lapses when none follows soon.
  void OnHandover(absl::Time now);

  // Tokens that this instance may have charged, given the target's whole
  // `budget`, whether it is `cold`, whether it ever reported, and the work of
  // others in its last report. Never negative.
  Tokens Allowed(Tokens budget, bool cold, bool reported, Tokens foreign) const;

  OwnerClaim claim() const { return claim_; }
  // Whether this instance's ledger is the whole of the target's.
  bool whole() const;

 private:
  Tokens ColdPart(Tokens budget) const;

  const Mutations* mutations_;
  OwnerClaim claim_ = OwnerClaim::kNone;
  bool handed_over_ = false;
  absl::Time handed_over_at_ = absl::InfinitePast();
  // Reports taken since the claim became at least half, and full.
  absl::Time half_since_ = absl::InfiniteFuture();
  absl::Time full_since_ = absl::InfiniteFuture();
  int reports_since_half_ = 0;
  int reports_since_full_ = 0;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_OWNER_CLAIM_GATE_H_
