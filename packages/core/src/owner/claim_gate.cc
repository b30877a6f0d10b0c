#include "umbertrail/core/owner/claim_gate.h"

#include <algorithm>

namespace umbertrail::core {
namespace {

// Reports that a new owner reads before it opens a cold target.
constexpr int kReportsToOpen = 2;
// A claim that follows a handover comes within this time; lists lag less.
constexpr absl::Duration kHandoverLapse = absl::Seconds(30);

}  // namespace

ClaimGate::ClaimGate(const Mutations* mutations) : mutations_(mutations) {}

void ClaimGate::OnClaim(absl::Time now, OwnerClaim claim) {
  const bool half = claim == OwnerClaim::kHalf || claim == OwnerClaim::kFull;
  if (!half) {
    half_since_ = absl::InfiniteFuture();
    reports_since_half_ = 0;
  } else if (half_since_ == absl::InfiniteFuture()) {
    half_since_ = now;
  }
  if (claim != OwnerClaim::kFull) {
    full_since_ = absl::InfiniteFuture();
    reports_since_full_ = 0;
  } else if (full_since_ == absl::InfiniteFuture()) {
    full_since_ = now;
  }
  const bool lost = claim == OwnerClaim::kNone && claim_ != OwnerClaim::kNone;
  const bool lapsed =
      claim == OwnerClaim::kNone && now - handed_over_at_ > kHandoverLapse;
  if (lost || lapsed) {
    handed_over_ = false;
  }
  claim_ = claim;
}

void ClaimGate::OnHandover(absl::Time now) {
  handed_over_ = true;
  handed_over_at_ = now;
}

void ClaimGate::OnReport(absl::Time taken_at) {
  if (taken_at > half_since_) {
    ++reports_since_half_;
  }
  if (taken_at > full_since_) {
    ++reports_since_full_;
  }
}

Tokens ClaimGate::Allowed(Tokens budget,
                          bool cold,
                          bool reported,
                          Tokens foreign) const {
  if (claim_ == OwnerClaim::kNone || !reported) {
    return Tokens(0);
  }
  const Tokens part = cold ? ColdPart(budget) : budget;
  return std::max(part - foreign, Tokens(0));
}

bool ClaimGate::whole() const {
  return claim_ == OwnerClaim::kFull &&
         (handed_over_ || reports_since_full_ >= kReportsToOpen);
}

Tokens ClaimGate::ColdPart(Tokens budget) const {
  if (mutations_->skip_cold_settling) {
    return budget;
  }
  if (whole()) {
    return budget;
  }
  // While the claim settles, another may hold half by a list of its own, also
  // when the former owner handed the target over to this one.
  const bool half = handed_over_ || reports_since_half_ >= kReportsToOpen;
  if (!half) {
    return Tokens(0);
  }
  if (mutations_->full_cold_budget_unconfirmed) {
    return budget;
  }
  return Tokens(budget.value() / 2);
}

}  // namespace umbertrail::core
