#include "umbertrail/core/fleet/exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace umbertrail::core {
namespace {

bool Contains(const std::vector<InstanceId>& ids, const InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

Exchange::Exchange(const FleetConfig& config,
                   InstanceId self,
                   RandomSource* random)
    : config_(config), self_(std::move(self)), random_(random) {}

void Exchange::SetPeers(std::vector<InstanceId> live) {
  live_ = std::move(live);
  live_.erase(std::remove(live_.begin(), live_.end(), self_), live_.end());
  const auto gone = [this](const InstanceId& it) {
    return !Contains(live_, it);
  };
  partners_.erase(std::remove_if(partners_.begin(), partners_.end(), gone),
                  partners_.end());
}

void Exchange::SetRivals(std::vector<InstanceId> rivals) {
  rivals_ = std::move(rivals);
}

void Exchange::Ask(absl::Time now, const InstanceId& peer, Actions* actions) {
  Peer& state = peers_[peer];
  const bool just_asked = now - state.asked_at < config_.tick_interval;
  if (state.outstanding.has_value() || just_asked || peer == self_) {
    return;
  }
  const uint64_t nonce = std::max<uint64_t>(random_->Next(), 1);
  state.outstanding = Query{nonce, now};
  state.asked_at = now;
  const double jitter = 0.75 + random_->Fraction() / 2;
  state.next_query = now + config_.exchange_interval * jitter;
  actions->push_back(SendPeer{peer, HeadQuery{nonce}});
}

void Exchange::AskSome(absl::Time now, int count, Actions* actions) {
  std::set<InstanceId> chosen;
  const size_t wanted = std::min(static_cast<size_t>(count), live_.size());
  while (chosen.size() < wanted) {
    chosen.insert(live_[random_->Below(live_.size())]);
  }
  for (const InstanceId& it : chosen) {
    Ask(now, it, actions);
  }
}

std::vector<InstanceId> Exchange::OnTick(absl::Time now, Actions* actions) {
  ChangePartners(now);
  std::vector<InstanceId> silent;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    if (peer.outstanding.has_value() &&
        now - peer.outstanding->sent_at > config_.answer_limit) {
      peer.outstanding.reset();
      if (++peer.unanswered >= config_.unanswered_limit) {
        silent.push_back(it->first);
        peer.unanswered = 0;
      }
    }
    const bool idle = !peer.outstanding.has_value() && peer.unanswered == 0 &&
                      now - peer.asked_at >= config_.tick_interval;
    it = idle && !IsRegular(it->first) ? peers_.erase(it) : std::next(it);
  }
  for (const InstanceId& it : Partners()) {
    if (peers_[it].next_query <= now) {
      Ask(now, it, actions);
    }
  }
  return silent;
}

std::optional<absl::Time> Exchange::OnAnswer(const InstanceId& peer,
                                             uint64_t nonce) {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || !it->second.outstanding.has_value() ||
      it->second.outstanding->nonce != nonce) {
    return std::nullopt;
  }
  const absl::Time sent_at = it->second.outstanding->sent_at;
  it->second.outstanding.reset();
  it->second.unanswered = 0;
  return sent_at;
}

void Exchange::OnUnreachable(const InstanceId& peer) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) {
    it->second.outstanding.reset();
    it->second.unanswered = 0;
  }
}

void Exchange::OnPause() {
  peers_.clear();
}

std::vector<InstanceId> Exchange::Partners() const {
  std::set<InstanceId> all(partners_.begin(), partners_.end());
  all.insert(rivals_.begin(), rivals_.end());
  return {all.begin(), all.end()};
}

void Exchange::ChangePartners(absl::Time now) {
  const size_t wanted =
      std::min(static_cast<size_t>(config_.partners), live_.size());
  if (now >= change_at_ && !partners_.empty() && live_.size() > wanted) {
    partners_.erase(partners_.begin());
    change_at_ = now + config_.partner_change;
  }
  while (partners_.size() < wanted) {
    const std::optional<InstanceId> peer = RandomPeer();
    if (!Contains(partners_, *peer)) {
      partners_.push_back(*peer);
    }
  }
}

std::optional<InstanceId> Exchange::RandomPeer() {
  if (live_.empty()) {
    return std::nullopt;
  }
  return live_[random_->Below(live_.size())];
}

bool Exchange::IsRegular(const InstanceId& id) const {
  return Contains(partners_, id) || Contains(rivals_, id);
}

}  // namespace umbertrail::core
