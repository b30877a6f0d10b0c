#include "umbertrail/core/orders/orders.h"

#include <algorithm>
#include <utility>

#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

bool SameTargets(const std::vector<TargetInfo>& a,
                 const std::vector<TargetInfo>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const TargetInfo& x, const TargetInfo& y) {
                      return x.id == y.id && x.kind == y.kind &&
                             x.data_centre == y.data_centre &&
                             x.leaving == y.leaving;
                    });
}

bool SameWanted(const std::vector<WantedTarget>& a,
                const std::vector<WantedTarget>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const WantedTarget& x, const WantedTarget& y) {
                      return x.target == y.target && x.model == y.model &&
                             x.version == y.version && x.adapters == y.adapters;
                    });
}

const manifest::Model* FindModel(const manifest::Manifest& manifest,
                                 const ModelId& id) {
  for (const manifest::Model& it : manifest.models) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

bool IsOpen(const manifest::Manifest& manifest, const DataCentreId& id) {
  for (const manifest::DataCentre& it : manifest.data_centres) {
    if (it.id == id) {
      return it.open;
    }
  }
  return false;
}

}  // namespace

Orders::Orders(OrdersConfig config,
               const FleetView* fleet,
               RandomSource* random,
               const Mutations* mutations)
    : config_(config),
      fleet_(fleet),
      random_(random),
      mutations_(mutations),
      busy_wait_(config.busy_wait) {}

void Orders::OnReport(absl::Time now,
                      const TargetId& target,
                      const TargetReport& report,
                      Actions* actions) {
  Known& known = known_[target];
  known.leaving = report.state == TargetState::kLeaving;
  known.model = report.model;
  known.version = report.version;
  known.adapters = report.adapters;
  std::sort(known.adapters.begin(), known.adapters.end());
  known.fence = report.fence;
  known.seen_at = now - report.age;
  Refresh(now);
  EndLoad(now);
  TryOrders(now, actions);
}

void Orders::OnAnswered(absl::Time now,
                        const OrderAnswered& event,
                        Actions* actions) {
  using Result = OrderAnswered::Result;
  const bool awaited = load_.has_value() && load_->target == event.target;
  if (event.result == Result::kAccepted) {
    busy_wait_ = config_.busy_wait;
  } else if (awaited) {
    load_.reset();
  }
  if (event.result == Result::kWeightStoreBusy) {
    const double jitter = 0.5 + random_->Fraction();
    busy_until_ = now + busy_wait_ * jitter;
    busy_wait_ = std::min(busy_wait_ * 2, config_.max_busy_wait);
  }
  if (event.result == Result::kOldFence || event.result == Result::kFailed) {
    known_[event.target].left_alone_until = now + config_.failed_wait;
  }
  TryOrders(now, actions);
}

void Orders::OnTick(absl::Time now, Actions* actions) {
  next_tick_ = now + config_.tick_interval;
  Refresh(now);
  EndLoad(now);
  TryOrders(now, actions);
}

void Orders::Refresh(absl::Time now) {
  const manifest::Manifest* manifest = fleet_->manifest();
  if (manifest == nullptr || (manifest->revision == revision_ &&
                              SameTargets(targets_, fleet_->targets()))) {
    return;
  }
  revision_ = manifest->revision;
  targets_ = fleet_->targets();
  std::vector<WantedTarget> wanted = WantedState(*manifest, targets_);
  if (!SameWanted(wanted, wanted_)) {
    changed_at_ = now;
  }
  wanted_ = std::move(wanted);
  for (auto it = known_.begin(); it != known_.end();) {
    const bool listed = fleet_->FindTarget(it->first) != nullptr;
    it = listed ? std::next(it) : known_.erase(it);
  }
}

void Orders::EndLoad(absl::Time now) {
  if (!load_.has_value()) {
    return;
  }
  const auto wanted = std::find_if(
      wanted_.begin(), wanted_.end(),
      [&](const WantedTarget& it) { return it.target == load_->target; });
  const bool over = wanted == wanted_.end() || Settled(*wanted, now) ||
                    fleet_->ClaimOf(load_->target, now) == OwnerClaim::kNone ||
                    now - load_->began > config_.load_limit;
  if (over) {
    load_.reset();
  }
}

void Orders::TryOrders(absl::Time now, Actions* actions) {
  if (fleet_->manifest() == nullptr || !fleet_->MayDispatch(now) ||
      revision_ != fleet_->manifest()->revision) {
    return;
  }
  if (load_.has_value()) {
    Poll(now, load_->target, config_.poll_interval, actions);
    return;
  }
  if (now < busy_until_) {
    return;
  }
  for (const WantedTarget& it : wanted_) {
    const Known& known = known_[it.target];
    if (!Mine(it, known, now) || UpToDate(it, known)) {
      continue;
    }
    if (now - known.seen_at > config_.report_limit) {
      Poll(now, it.target, config_.report_limit, actions);
    } else if (LeavesEnough(it, known, now, actions)) {
      Send(it, known, now, actions);
      return;
    }
  }
}

bool Orders::Mine(const WantedTarget& wanted,
                  const Known& known,
                  absl::Time now) const {
  if (known.leaving || now < known.left_alone_until ||
      fleet_->Barred(wanted.target, now).has_value()) {
    return false;
  }
  if (known.fence > revision_ && !mutations_->order_backwards) {
    return false;
  }
  const OwnerClaim claim = fleet_->ClaimOf(wanted.target, now);
  const bool serves_nothing = known.model.empty();
  return claim == OwnerClaim::kFull ||
         (claim == OwnerClaim::kHalf && serves_nothing);
}

bool Orders::UpToDate(const WantedTarget& wanted, const Known& known) const {
  return known.seen_at != absl::InfinitePast() && known.model == wanted.model &&
         known.version == wanted.version && known.adapters == wanted.adapters;
}

bool Orders::LeavesEnough(const WantedTarget& wanted,
                          const Known& known,
                          absl::Time now,
                          Actions* actions) {
  const manifest::Model* present = FindModel(*fleet_->manifest(), known.model);
  if (present == nullptr) {
    return true;  // serves nothing that anyone may ask for
  }
  const std::vector<const WantedTarget*> group = GroupOf(present->id);
  if (group.empty()) {
    return true;
  }
  for (const WantedTarget* it : group) {
    if (it->target != wanted.target) {
      Poll(now, it->target, config_.poll_interval, actions);
    }
  }
  if (now - changed_at_ < config_.spread_wait) {
    return false;
  }
  if (wanted.model == present->id) {
    return MayRoll(wanted, group, present->min_serving, now);
  }
  // It goes to another model: up to date targets alone must be enough, since
  // the others may be rolling.
  const int least =
      std::min(present->min_serving, static_cast<int>(group.size()));
  const auto settled =
      std::count_if(group.begin(), group.end(),
                    [&](const WantedTarget* it) { return Settled(*it, now); });
  return settled >= least;
}

bool Orders::MayRoll(const WantedTarget& wanted,
                     const std::vector<const WantedTarget*>& group,
                     int min_serving,
                     absl::Time now) const {
  int spare = static_cast<int>(group.size()) - min_serving;
  bool allowed = false;
  int serving = 0;
  for (const WantedTarget* it : group) {
    const bool may_change = !Settled(*it, now) && spare > 0;
    if (may_change) {
      --spare;
      allowed = allowed || it->target == wanted.target;
    } else if (Serves(it->target, it->model, now)) {
      ++serving;
    }
  }
  return allowed && serving >= min_serving;
}

bool Orders::Serves(const TargetId& target,
                    const ModelId& model,
                    absl::Time now) const {
  const auto it = known_.find(target);
  return it != known_.end() && !it->second.leaving &&
         it->second.model == model &&
         now - it->second.seen_at <= config_.serving_limit;
}

bool Orders::Settled(const WantedTarget& wanted, absl::Time now) const {
  const auto it = known_.find(wanted.target);
  return it != known_.end() && UpToDate(wanted, it->second) &&
         it->second.seen_at >= changed_at_ &&
         Serves(wanted.target, wanted.model, now);
}

void Orders::Poll(absl::Time now,
                  const TargetId& target,
                  absl::Duration interval,
                  Actions* actions) {
  Known& known = known_[target];
  const absl::Time last = std::max(known.seen_at, known.polled_at);
  if (now - last >= interval) {
    known.polled_at = now;
    actions->push_back(PollTarget{target});
  }
}

void Orders::Send(const WantedTarget& wanted,
                  const Known& known,
                  absl::Time now,
                  Actions* actions) {
  UMBERTRAIL_INVARIANT(revision_ >= known.fence);
  load_ = Load{wanted.target, now};
  actions->push_back(SendOrder{
      wanted.target,
      Order{revision_, wanted.model, wanted.version, wanted.adapters}});
}

std::vector<const WantedTarget*> Orders::GroupOf(const ModelId& model) const {
  std::vector<const WantedTarget*> group;
  for (const WantedTarget& it : wanted_) {
    if (it.model == model && IsOpen(*fleet_->manifest(), it.data_centre)) {
      group.push_back(&it);
    }
  }
  return group;
}

}  // namespace umbertrail::core
