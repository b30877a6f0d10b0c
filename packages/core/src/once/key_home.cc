#include "umbertrail/core/once/key_home.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "umbertrail/core/request/rendezvous.h"

namespace umbertrail::core {

std::vector<InstanceId> KeyHomesOf(const std::string& token,
                                   const FleetView& fleet) {
  return RankInstances(token, fleet.instances(), kKeyHomes);
}

RequestId KeyHolder(const InstanceRef& from, const RequestId& request) {
  return RequestId(absl::StrCat(from.id.text(), "/", from.incarnation.value(),
                                "/", request.text()));
}

KeyHome::KeyHome(InstanceRef self,
                 const FleetView* fleet,
                 const Mutations* mutations)
    : self_(std::move(self)),
      fleet_(fleet),
      mutations_(mutations),
      log_(OutcomeLog::Limits()) {}

KeyGrantReply KeyHome::OnRequest(absl::Time now,
                                 const InstanceRef& from,
                                 const KeyGrantRequest& request) {
  KeyGrantReply reply;
  reply.request = request.request;
  reply.once_token = request.once_token;
  const RequestId holder = KeyHolder(from, request.request);
  const OutcomeLog::Entry* entry = log_.Find(request.once_token);
  if (entry != nullptr) {
    const bool same = entry->request == holder && !entry->finished;
    reply.decision =
        same ? KeyGrantDecision::kAgreed : KeyGrantDecision::kSeenBefore;
    reply.finished = entry->finished;
    reply.outcome = entry->outcome;
    return reply;
  }
  if (!IsHome(request.once_token)) {
    reply.decision = KeyGrantDecision::kNotHome;
    return reply;
  }
  if (IsYoung(now) && !mutations_->grant_key_when_young) {
    reply.decision = KeyGrantDecision::kTooYoung;
    return reply;
  }
  const bool taken = log_.Take(now, request.once_token, holder);
  reply.decision =
      taken ? KeyGrantDecision::kAgreed : KeyGrantDecision::kTooYoung;
  return reply;
}

void KeyHome::OnEnded(const InstanceRef& from, const KeyEnded& ended) {
  const OutcomeLog::Entry* entry = log_.Find(ended.once_token);
  const RequestId holder = KeyHolder(from, ended.request);
  if (entry == nullptr || entry->request != holder) {
    return;
  }
  if (ended.outcome.ran == Ran::kNo) {
    log_.Free(ended.once_token);
    return;
  }
  log_.Finish(ended.once_token, ended.outcome);
}

void KeyHome::OnTick(absl::Time now) {
  IsYoung(now);
  log_.Expire(now);
}

bool KeyHome::IsHome(const std::string& token) const {
  const std::vector<InstanceId> homes = KeyHomesOf(token, *fleet_);
  return std::find(homes.begin(), homes.end(), self_.id) != homes.end();
}

bool KeyHome::IsYoung(absl::Time now) {
  const auto& list = fleet_->instances();
  const bool listed =
      std::any_of(list.begin(), list.end(),
                  [&](const auto& it) { return it.id == self_.id; });
  if (!listed) {
    listed_since_ = absl::InfiniteFuture();
    return true;
  }
  listed_since_ = std::min(listed_since_, now);
  return now - listed_since_ < kSettle;
}

}  // namespace umbertrail::core
