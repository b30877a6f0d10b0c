#include "umbertrail/core/fleet/fleet.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace umbertrail::core {
namespace {

// One in this many answers carries the whole head also to a peer that holds
// the same revision, so that two contents of one revision are found.
constexpr uint64_t kWholeHeadEvery = 16;
// Peers seen dead that are asked again in one tick.
constexpr size_t kRechecksPerTick = 2;
// A nonce that no query has: an offer that nobody asked for.
constexpr uint64_t kUnasked = 0;

const manifest::DataCentre* FindDataCentre(const manifest::Manifest& manifest,
                                           const DataCentreId& id) {
  for (const manifest::DataCentre& it : manifest.data_centres) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace

Fleet::Fleet(FleetConfig config,
             InstanceRef self,
             const DataCentreId& /*data_centre*/,
             RandomSource* random,
             const Mutations* mutations)
    : config_(config),
      self_(std::move(self)),

      mutations_(mutations),
      store_(mutations),
      parts_(config, random),
      freshness_(config, mutations),
      membership_(config, self_.id),
      ownership_(config, self_.id, &membership_, mutations),
      exchange_(config, self_.id, random) {}

// -- FleetView ----------------------------------------------------------------

const manifest::Manifest* Fleet::manifest() const {
  return store_.manifest();
}

const std::vector<TargetInfo>& Fleet::targets() const {
  return membership_.targets();
}

const TargetInfo* Fleet::FindTarget(const TargetId& id) const {
  return membership_.FindTarget(id);
}

const std::vector<InstanceInfo>& Fleet::instances() const {
  return membership_.instances();
}

std::vector<InstanceInfo> Fleet::HeardSince(absl::Time since) const {
  return membership_.HeardSince(since);
}

std::vector<InstanceId> Fleet::Ranking(const TargetId& target) const {
  return ownership_.Ranking(target);
}

OwnerClaim Fleet::ClaimOf(const TargetId& target, absl::Time now) const {
  const OwnerClaim claim = ownership_.ClaimOf(target, now);
  const bool held = claim == OwnerClaim::kHalf || claim == OwnerClaim::kFull;
  // A pause that no event has shown yet: another may have taken over.
  return held && freshness_.LatePast(now) ? OwnerClaim::kSettling : claim;
}

std::optional<Reason> Fleet::Barred(const TargetId& target,
                                    absl::Time /*now*/) const {
  const TargetInfo* info = membership_.FindTarget(target);
  if (info == nullptr) {
    return Reason::kNoTarget;
  }
  if (store_.manifest() == nullptr) {
    return Reason::kNotFresh;
  }
  const manifest::DataCentre* data_centre =
      FindDataCentre(*store_.manifest(), info->data_centre);
  const bool open = data_centre != nullptr && data_centre->open;
  if (!open && !mutations_->ignore_closed_data_centre) {
    return Reason::kNoTarget;
  }
  if (membership_.TargetLeaving(target) && !mutations_->ignore_leaving_target) {
    return Reason::kNoTarget;
  }
  return std::nullopt;
}

bool Fleet::ListConfirmed(absl::Time now) const {
  return membership_.instances_known() &&
         now - membership_.instances_read_at() <= config_.list_confirm_limit;
}

bool Fleet::MayDispatch(absl::Time now) const {
  return store_.manifest() != nullptr &&
         freshness_.MayDispatch(now, ListedOthers() == 0);
}

// -- Manifest -----------------------------------------------------------------

void Fleet::OnHeadRead(absl::Time now,
                       const HeadRead& event,
                       Actions* actions) {
  Advance(now);
  if (event.head.revision < store_.revision()) {
    freshness_.OnServiceLost();
  } else {
    freshness_.OnServiceRead(now);
  }
  TakeHead(now, event.head, std::nullopt, actions);
}

void Fleet::OnPartRead(absl::Time now,
                       const PartRead& event,
                       Actions* actions) {
  Advance(now);
  TakePart(now, event.hash, event.bytes, std::nullopt, actions);
}

void Fleet::OnConfigUnreachable(absl::Time now) {
  Advance(now);
  freshness_.OnServiceLost();
}

void Fleet::TakeHead(absl::Time now,
                     const manifest::Head& head,
                     const std::optional<InstanceId>& source,
                     Actions* actions) {
  const HeadVerdict verdict = store_.Offer(head);
  const bool wanted =
      verdict == HeadVerdict::kNewer ||
      (verdict == HeadVerdict::kSame && head.revision > store_.revision());
  if (!wanted) {
    return;
  }
  for (const manifest::PartRef& it : head.parts) {
    parts_.Want(now, it.hash, source, actions);
  }
  ApplyParts(now, source, actions);
}

void Fleet::TakePart(absl::Time now,
                     const std::string& hash,
                     const std::string& bytes,
                     const std::optional<InstanceId>& source,
                     Actions* actions) {
  if (parts_.OnPart(now, hash, bytes, actions)) {
    ApplyParts(now, source, actions);
  }
}

void Fleet::ApplyParts(absl::Time now,
                       const std::optional<InstanceId>& source,
                       Actions* actions) {
  const bool changed = store_.Apply(parts_);
  parts_.KeepOnly(store_.NamedParts());
  if (changed) {
    ManifestChanged(now, source, actions);
  }
}

void Fleet::ManifestChanged(absl::Time now,
                            const std::optional<InstanceId>& source,
                            Actions* actions) {
  freshness_.OnRevision(store_.revision());
  ownership_.OnManifest(now, *store_.manifest());
  exchange_.SetRivals(ownership_.Rivals());
  ++generation_;
  // Passed on at once: a change must not wait for the next exchange.
  for (const InstanceId& it : exchange_.Partners()) {
    if (it != source && !membership_.InstanceDead(it)) {
      actions->push_back(SendPeer{it, HeadOffer{kUnasked, store_.head()}});
    }
  }
}

// -- Lists --------------------------------------------------------------------

void Fleet::OnInstanceList(absl::Time now,
                           const InstanceListRead& event,
                           Actions* /*actions*/) {
  Advance(now);
  if (membership_.OnInstanceList(now, event)) {
    ListsChanged(now);
  }
}

void Fleet::OnTargetList(absl::Time now,
                         const TargetListRead& event,
                         Actions* /*actions*/) {
  Advance(now);
  if (membership_.OnTargetList(now, event)) {
    ListsChanged(now);
  }
}

void Fleet::ListsChanged(absl::Time now) {
  ownership_.OnListsChanged(now);
  MarksChanged(now);
}

void Fleet::MarksChanged(absl::Time now) {
  ownership_.OnMarksChanged(now);
  std::vector<InstanceId> live;
  for (const InstanceInfo& it : membership_.instances()) {
    if (!membership_.InstanceDead(it.id)) {
      live.push_back(it.id);
    }
  }
  exchange_.SetPeers(std::move(live));
  exchange_.SetRivals(ownership_.Rivals());
  ++generation_;
}

// -- Peers --------------------------------------------------------------------

std::optional<InstanceRef> Fleet::OnPeer(absl::Time now,
                                         const PeerEnvelope& envelope,
                                         Actions* actions) {
  Advance(now);
  const InstanceId& from = envelope.from.id;
  std::optional<absl::Time> asked_at;
  if (const auto* offer = std::get_if<HeadOffer>(&envelope.payload)) {
    asked_at = exchange_.OnAnswer(from, offer->nonce);
  }
  const Membership::Hearing hearing = membership_.OnHeard(
      now, envelope.from, envelope.leaving, asked_at.has_value());
  if (hearing.changed) {
    MarksChanged(now);
  }
  if (hearing.unconfirmed) {
    exchange_.Ask(now, from, actions);
  }
  freshness_.OnPeerRevision(now, envelope.revision);
  if (const auto* query = std::get_if<HeadQuery>(&envelope.payload)) {
    AnswerQuery(envelope, *query, actions);
  } else if (const auto* offer = std::get_if<HeadOffer>(&envelope.payload)) {
    TakeOffer(now, from, *offer, asked_at, actions);
  } else if (const auto* ask = std::get_if<PartRequest>(&envelope.payload)) {
    const std::string* bytes = parts_.Find(ask->hash);
    actions->push_back(
        SendPeer{from, PartReply{ask->hash, bytes == nullptr ? "" : *bytes}});
  } else if (const auto* part = std::get_if<PartReply>(&envelope.payload)) {
    TakePart(now, part->hash, part->bytes, from, actions);
  }
  if (envelope.revision > store_.revision() &&
      envelope.revision > store_.newest_wanted()) {
    exchange_.Ask(now, from, actions);
  }
  return hearing.former;
}

void Fleet::AnswerQuery(const PeerEnvelope& from,
                        const HeadQuery& query,
                        Actions* actions) {
  const bool whole =
      from.revision != store_.revision() || query.nonce % kWholeHeadEvery == 0;
  const manifest::Head known{store_.revision(), {}};
  const InstanceId& peer = from.from.id;
  if (freshness_.started()) {
    actions->push_back(
        SendPeer{peer, HeadOffer{query.nonce, whole ? store_.head() : known}});
    return;
  }
  // An instance that hasn't compared its own revision yet is there, but
  // confirms nothing.
  actions->push_back(SendPeer{peer, HeadOffer{query.nonce, {}}});
  if (from.revision < store_.revision()) {
    actions->push_back(SendPeer{peer, HeadOffer{kUnasked, store_.head()}});
  }
}

void Fleet::TakeOffer(absl::Time now,
                      const InstanceId& from,
                      const HeadOffer& offer,
                      std::optional<absl::Time> asked_at,
                      Actions* actions) {
  if (!offer.head.parts.empty()) {
    TakeHead(now, offer.head, from, actions);
  }
  if (asked_at.has_value() && offer.head.revision.value() > 0) {
    answered_.insert(from);
    freshness_.OnPeerAnswer(*asked_at);
  }
}

void Fleet::OnStopping(absl::Time now) {
  Advance(now);
  if (membership_.OnHeard(now, self_, true, true).changed) {
    MarksChanged(now);
  }
}

void Fleet::OnPeerUnreachable(absl::Time now, const InstanceId& peer) {
  Advance(now);
  exchange_.OnUnreachable(peer);
  if (membership_.OnDead(now, peer)) {
    MarksChanged(now);
  }
}

// -- Targets ------------------------------------------------------------------

void Fleet::OnTargetReport(absl::Time now,
                           const TargetId& target,
                           const TargetReport& report) {
  Advance(now);
  freshness_.OnFence(now, target, report.fence);
  if (membership_.OnReport(target, report)) {
    ++generation_;
  }
}

void Fleet::OnTargetUnreachable(absl::Time now,
                                const TargetUnreachable& /*event*/) {
  // Whether a target answers is its owner's matter; a leaving mark outlasts a
  // lost connection, so there is nothing to change.
  Advance(now);
}

// -- Time ---------------------------------------------------------------------

void Fleet::Advance(absl::Time now) {
  if (!freshness_.OnTime(now)) {
    return;
  }
  exchange_.OnPause();
  ownership_.OnPause(now);
  next_tick_ = now;
  ++generation_;
}

void Fleet::OnTick(absl::Time now, Actions* actions) {
  Advance(now);
  bool marked = false;
  for (const InstanceId& it : exchange_.OnTick(now, actions)) {
    marked = membership_.OnDead(now, it) || marked;
  }
  if (marked) {
    MarksChanged(now);
  }
  for (const InstanceId& it : membership_.TakeRechecks(now, kRechecksPerTick)) {
    exchange_.Ask(now, it, actions);
  }
  AskWhereNeeded(now, actions);
  parts_.OnTick(now, actions);
  if (membership_.OnTick(now)) {
    ListsChanged(now);
  }
  next_tick_ = now + config_.tick_interval;
}

void Fleet::AskWhereNeeded(absl::Time now, Actions* actions) {
  if (!freshness_.started() && membership_.instances_known()) {
    freshness_.OnStartProgress(now, ListedOthers(),
                               static_cast<int>(answered_.size()));
  }
  const bool urgent = !freshness_.started() || freshness_.paused() ||
                      freshness_.Behind() ||
                      freshness_.Age(now) > config_.isolation_limit / 2;
  if (urgent) {
    exchange_.AskSome(now, config_.burst_peers, actions);
  }
}

absl::Time Fleet::NextWakeup() const {
  return next_tick_;
}

// -- What it shows ------------------------------------------------------------

bool Fleet::Ready(absl::Time now) const {
  return membership_.instances_known() && membership_.targets_known() &&
         MayDispatch(now);
}

ManifestRevision Fleet::revision() const {
  return store_.revision();
}

absl::Duration Fleet::FreshnessAge(absl::Time now) const {
  return freshness_.Age(now);
}

std::optional<InstanceRef> Fleet::IncarnationOf(const InstanceId& id) const {
  return membership_.IncarnationOf(id);
}

uint64_t Fleet::stale_heads_ignored() const {
  return store_.older_ignored();
}

uint64_t Fleet::conflicting_heads_refused() const {
  return store_.conflicts_refused();
}

std::string Fleet::manifest_fault() const {
  if (!store_.fault().empty()) {
    return store_.fault();
  }
  const ManifestRevision wanted = store_.newest_wanted();
  if (wanted.value() > 0) {
    return absl::StrCat("revision ", wanted.value(), " waits for its parts");
  }
  return freshness_.fault();
}

int Fleet::ListedOthers() const {
  const int n = static_cast<int>(membership_.instances().size());
  return membership_.FindInstance(self_.id) == nullptr ? n : n - 1;
}

}  // namespace umbertrail::core
