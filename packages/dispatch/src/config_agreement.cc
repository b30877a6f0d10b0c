#include "umbertrail/dispatch/config_agreement.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace umbertrail::dispatch {
namespace {

// A running instance that heard a settled one within this time before the store
// was restored has missed nothing that keys must not outlast.
constexpr absl::Duration kInContact = absl::Seconds(1);
// Claims are kept of so many holders.
constexpr size_t kMaxClaims = 64;
// No configuration has more entries.
constexpr size_t kMaxEntries = size_t{1} << 17;
constexpr ConfigEntry kMaxEntry(UINT64_MAX);

// True if the entries are in order, from the one asked for on. All pages but
// the last hold some, and leave some.
bool IsWellFormed(const ConfigEntriesPage& page) {
  const std::vector<ConfigEntry>& entries = page.entries;
  const bool is_ordered = std::adjacent_find(entries.begin(), entries.end(),
                                             [](ConfigEntry a, ConfigEntry b) {
                                               return b <= a;
                                             }) == entries.end();
  if (entries.empty()) {
    return page.is_last;
  }
  return is_ordered && page.from <= entries.front() &&
         (page.is_last || entries.back() < kMaxEntry);
}

}  // namespace

ConfigAgreement::ConfigAgreement(Start start, absl::Time now) {
  if (start == Start::kLater) {
    unsettled_ = Unsettled{now};
  }
}

void ConfigAgreement::RecordOwn(const Own& own,
                                bool store_was_away,
                                absl::Time now) {
  const bool is_first = !own_;
  const bool is_restored = own_ && own_->store.era != own.store.era;
  const bool is_rewritten = own_ && !is_restored && own_->version < own.version;
  own_ = own;
  if (own.store.era == 0) {
    unsettled_.reset();
  } else if (is_first && unsettled_) {
    gap_at_ = now;
    unsettled_->awaits_operator = store_was_away;
    unsettled_->until = now + (store_was_away ? kRewriteTime : kMaxUnsettled);
  } else if (is_restored) {
    BeginGap(now);
  } else if (is_rewritten && unsettled_) {
    // The operator has written since the store's return.
    unsettled_->until = std::min(unsettled_->until, now);
  }
  for (auto it = claims_.begin(); it != claims_.end();) {
    it = it->second.version <= own.version ? claims_.erase(it) : std::next(it);
  }
  if (confirmed_ && confirmed_->claim.version <= own.version) {
    confirmed_.reset();
  }
  Update(now);
}

void ConfigAgreement::BeginGap(absl::Time now) {
  gap_at_ = now;
  const bool lost_contact =
      has_heard_settled() && settled_peer_heard_ < now - kInContact;
  if (unsettled_ || lost_contact) {
    unsettled_ = Unsettled{now - kInContact, now + kMaxUnsettled};
  }
}

void ConfigAgreement::RecordPeer(bool is_settled, absl::Time now) {
  if (is_settled) {
    settled_peer_heard_ = now;
  } else if (unsettled_) {
    absl::Time& first = unsettled_->others_unsettled_at;
    first = std::min(first, now);
  }
  Update(now);
}

void ConfigAgreement::MergeClaim(const ConfigClaim& claim, absl::Time now) {
  const auto refuted = refuted_.find(claim.holder);
  const bool is_refuted =
      refuted != refuted_.end() && claim.stated_at <= refuted->second;
  if (is_refuted || claim.stated_at + kClaimLifetime < now) {
    return;
  }
  const auto known = claims_.find(claim.holder);
  if (known != claims_.end() && claim.stated_at < known->second.stated_at) {
    return;
  }
  if (own_ && claim.version <= own_->version) {
    claims_.erase(claim.holder);
    return;
  }
  if (known == claims_.end()) {
    MakeRoomForClaim();
  }
  claims_[claim.holder] = claim;
}

void ConfigAgreement::MakeRoomForClaim() {
  if (claims_.size() < kMaxClaims) {
    return;
  }
  claims_.erase(std::min_element(
      claims_.begin(), claims_.end(), [](const auto& a, const auto& b) {
        return a.second.stated_at < b.second.stated_at;
      }));
}

std::optional<ConfigClaim> ConfigAgreement::LatestClaim(const InstanceId& self,
                                                        absl::Time now) const {
  if (!own_) {
    return std::nullopt;
  }
  ConfigClaim latest{own_->version, self, own_->store, now};
  for (const auto& [holder, claim] : claims_) {
    if (claim.version > latest.version &&
        now - claim.stated_at <= kClaimLifetime) {
      latest = claim;
    }
  }
  return latest;
}

bool ConfigAgreement::Contradicts(const ConfigClaim& claim,
                                  absl::Time now) const {
  return own_ && own_->store.era > 0 && claim.version > own_->version &&
         !IsAhead(claim.store, own_->store) && now < gap_at_ + kClaimsCount;
}

bool ConfigAgreement::IsUnanswered(const ConfigClaim& claim,
                                   absl::Time now) const {
  const bool is_later =
      !confirmed_ || claim.version > confirmed_->claim.version;
  return is_later && now - claim.stated_at <= kClaimLifetime &&
         Contradicts(claim, now);
}

const ConfigClaim* ConfigAgreement::FindContradiction(absl::Time now) const {
  for (const auto& [holder, claim] : claims_) {
    if (IsUnanswered(claim, now)) {
      return &claim;
    }
  }
  return nullptr;
}

std::optional<ConfigAgreement::Question> ConfigAgreement::TakeQuestion(
    absl::Time now) {
  if (now < next_question_at_) {
    return std::nullopt;
  }
  const ConfigClaim* chosen = nullptr;
  // Least recently asked first; a fetch that has begun goes on.
  const auto rank = [this](const ConfigClaim& claim) {
    const auto asked = asked_.find(claim.holder);
    return std::make_pair(
        asked == asked_.end() ? absl::InfinitePast() : asked->second,
        claim.holder != fetch_.holder);
  };
  for (const auto& [holder, claim] : claims_) {
    if (IsUnanswered(claim, now) &&
        (chosen == nullptr || rank(claim) < rank(*chosen))) {
      chosen = &claim;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  if (fetch_.holder != chosen->holder) {
    fetch_ = {};
    fetch_.holder = chosen->holder;
  }
  asked_[chosen->holder] = now;
  next_question_at_ = now + kAskInterval;
  return Question{chosen->holder, fetch_.next};
}

void ConfigAgreement::RecordEntries(const InstanceId& holder,
                                    const ConfigEntriesPage& page,
                                    absl::Time now) {
  const auto claim = claims_.find(holder);
  if (fetch_.holder != holder || claim == claims_.end() || !own_) {
    return;
  }
  if (page.version <= own_->version || !IsWellFormed(page) ||
      fetch_.entries.size() + page.entries.size() > kMaxEntries) {
    Refute(holder, now);
    return;
  }
  if (page.version != fetch_.version) {
    fetch_ = {};
    fetch_.holder = holder;
    fetch_.version = page.version;
  }
  if (page.from != fetch_.next) {
    return;  // Late.
  }
  fetch_.entries.insert(page.entries.begin(), page.entries.end());
  if (page.is_last) {
    confirmed_ = Confirmed{claim->second, std::move(fetch_.entries)};
    confirmed_->claim.version = page.version;
    fetch_ = {};
  } else {
    // The next part is asked for at once, of the same holder.
    fetch_.next = page.entries.back() + ConfigEntry(1);
    asked_.erase(holder);
    next_question_at_ = now;
  }
  Update(now);
}

void ConfigAgreement::Refute(const InstanceId& holder, absl::Time now) {
  refuted_[holder] = now;
  claims_.erase(holder);
  fetch_ = {};
  Update(now);
}

bool ConfigAgreement::MayBelieveStore(absl::Time now) const {
  if (!own_) {
    return false;
  }
  const bool is_told = settled_peer_heard_ >= unsettled_->heard_after &&
                       FindContradiction(now) == nullptr;
  return is_told || now >= BelievesAnywayAt();
}

absl::Time ConfigAgreement::BelievesAnywayAt() const {
  if (unsettled_->awaits_operator) {
    return unsettled_->until;
  }
  const absl::Time together =
      std::max(gap_at_, unsettled_->others_unsettled_at);
  return std::min(unsettled_->until, together + kMaxUnsettledTogether);
}

void ConfigAgreement::DropOldClaims(absl::Time now) {
  for (auto it = claims_.begin(); it != claims_.end();) {
    it = it->second.stated_at + kClaimLifetime < now ? claims_.erase(it)
                                                     : std::next(it);
  }
  for (auto it = refuted_.begin(); it != refuted_.end();) {
    it = it->second + kClaimLifetime < now ? refuted_.erase(it) : std::next(it);
  }
  for (auto it = asked_.begin(); it != asked_.end();) {
    it = claims_.count(it->first) == 0 ? asked_.erase(it) : std::next(it);
  }
}

void ConfigAgreement::Update(absl::Time now) {
  DropOldClaims(now);
  if (confirmed_ && !Contradicts(confirmed_->claim, now)) {
    confirmed_.reset();
  }
  if (unsettled_ && MayBelieveStore(now)) {
    unsettled_.reset();
  }
}

ConfigAgreement::Standing ConfigAgreement::StandingAt(absl::Time now) const {
  if (unsettled_ && !MayBelieveStore(now)) {
    return Standing::kUnsettled;
  }
  return confirmed_ && Contradicts(confirmed_->claim, now) ? Standing::kBehind
                                                           : Standing::kCurrent;
}

ConfigTrust ConfigAgreement::TrustAt(absl::Time now) const {
  switch (StandingAt(now)) {
    case Standing::kUnsettled:
      return ConfigTrust(false);
    case Standing::kBehind:
      return ConfigTrust(confirmed_->entries);
    case Standing::kCurrent:
      break;
  }
  return ConfigTrust(true);
}

}  // namespace umbertrail::dispatch
