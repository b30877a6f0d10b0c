#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>

#include "fleet_support.h"
#include "seeded_check.h"
#include "umbertrail/core/orders/orders.h"

namespace umbertrail::core {
namespace {

// What one owner believes: its own copy of the manifest, which may lag, and the
// targets that it owns.
class OwnerView : public FleetView {
 public:
  const manifest::Manifest* manifest() const override { return &held_manifest; }
  const std::vector<TargetInfo>& targets() const override {
    return held_targets;
  }
  const TargetInfo* FindTarget(const TargetId& id) const override {
    for (const TargetInfo& it : held_targets) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }
  const std::vector<InstanceInfo>& instances() const override {
    return held_instances;
  }
  std::vector<InstanceInfo> HeardSince(absl::Time) const override { return {}; }
  std::vector<InstanceId> Ranking(const TargetId&) const override { return {}; }
  OwnerClaim ClaimOf(const TargetId& target, absl::Time) const override {
    const auto it = held_claims.find(target);
    return it == held_claims.end() ? OwnerClaim::kNone : it->second;
  }
  std::optional<Reason> Barred(const TargetId&, absl::Time) const override {
    return std::nullopt;
  }
  bool ListConfirmed(absl::Time) const override { return true; }
  bool MayDispatch(absl::Time) const override { return dispatches; }

  manifest::Manifest held_manifest;
  std::vector<TargetInfo> held_targets;
  std::vector<InstanceInfo> held_instances;
  std::map<TargetId, OwnerClaim> held_claims;
  bool dispatches = true;
};

struct Engine {
  ModelId model;
  std::string version;
  ManifestRevision fence;
  absl::Time loaded_at = absl::InfinitePast();
  Order order;

  bool Serving(absl::Time now) const {
    return !model.empty() && loaded_at <= now;
  }
};

// Owners and engines in virtual time. Reports take a while; the weight store
// is busy now and then.
class Rollout {
 public:
  Rollout(int owners, int engines, int min_serving, uint64_t seed)
      : random_(MakeSeededRandom(seed)), manifest_(MakeManifest(1, engines)) {
    manifest_.models[0].min_serving = min_serving;
    targets_ = MakeTargets(1, engines).targets;
    for (int i = 0; i < owners; ++i) {
      views_.push_back(std::make_unique<OwnerView>());
      views_[i]->held_manifest = manifest_;
      views_[i]->held_targets = targets_;
      adopt_at_.push_back(absl::InfiniteFuture());
      orders_.push_back(std::make_unique<Orders>(
          OrdersConfig(), views_[i].get(), random_.get(), &mutations_));
    }
    for (const TargetInfo& it : targets_) {
      Own(it.id, random_->Below(owners));
    }
  }

  void Own(const TargetId& target, size_t owner) {
    for (auto& it : views_) {
      it->held_claims.erase(target);
    }
    views_[owner]->held_claims[target] = OwnerClaim::kFull;
  }

  // A new revision; owners take it over within the time that it spreads.
  void Publish(const std::string& version) {
    manifest_.revision += ManifestRevision(1);
    manifest_.models[0].version = version;
    for (absl::Time& it : adopt_at_) {
      it = now_ + absl::Milliseconds(random_->Below(5000));
    }
  }

  void Run(absl::Duration time) {
    for (const absl::Time end = now_ + time; now_ < end;) {
      now_ += absl::Milliseconds(250);
      for (size_t i = 0; i < views_.size(); ++i) {
        Step(i);
      }
      ever_full_ = ever_full_ || Serving() == static_cast<int>(engines());
      least_ = ever_full_ ? std::min(least_, Serving()) : least_;
    }
  }

  int Serving() const {
    int n = 0;
    for (const auto& [id, engine] : engines_) {
      n += engine.Serving(now_) ? 1 : 0;
    }
    return n;
  }

  int UpToDate() const {
    int n = 0;
    for (const auto& [id, engine] : engines_) {
      const bool good = engine.version == manifest_.models[0].version;
      n += engine.Serving(now_) && good ? 1 : 0;
    }
    return n;
  }

  size_t engines() const { return targets_.size(); }
  size_t owners() const { return views_.size(); }
  const TargetId& target(size_t i) const { return targets_[i].id; }
  // Fewest that served at one time since all first did.
  int least() const { return least_; }
  OwnerView& view(size_t i) { return *views_[i]; }
  void Kill(const TargetId& id) { dead_.insert(id), engines_[id] = Engine(); }

  bool backwards = false;
  int sent = 0;

 private:
  struct Mail {
    absl::Time at;
    size_t owner;
    TargetId target;
    TargetReport report;
    absl::Time asked_at;
  };

  void Step(size_t i) {
    if (adopt_at_[i] <= now_) {
      views_[i]->held_manifest = manifest_;
      adopt_at_[i] = absl::InfiniteFuture();
    }
    Actions actions;
    DeliverMail(i, &actions);
    if (orders_[i]->NextWakeup() <= now_) {
      orders_[i]->OnTick(now_, &actions);
    }
    Perform(i, actions);
  }

  void DeliverMail(size_t i, Actions* actions) {
    std::vector<Mail> later;
    std::vector<Mail> due;
    for (Mail& it : mail_) {
      (it.owner == i && it.at <= now_ ? due : later).push_back(it);
    }
    mail_ = std::move(later);
    for (Mail& it : due) {
      it.report.age = now_ - it.asked_at;
      orders_[i]->OnReport(now_, it.target, it.report, actions);
    }
  }

  void Perform(size_t i, const Actions& actions) {
    for (const Action& it : actions) {
      if (const auto* poll = std::get_if<PollTarget>(&it)) {
        Answer(i, poll->target);
      } else if (const auto* send = std::get_if<SendOrder>(&it)) {
        Load(i, *send);
      }
    }
  }

  void Answer(size_t owner, const TargetId& target) {
    if (dead_.count(target) > 0) {
      return;
    }
    const Engine& engine = engines_[target];
    TargetReport report;
    report.boot = BootId("a");
    report.fence = engine.fence;
    if (engine.Serving(now_)) {
      report.model = engine.model;
      report.version = engine.version;
    }
    const absl::Duration delay = absl::Milliseconds(random_->Below(1500));
    mail_.push_back({now_ + delay, owner, target, report, now_});
  }

  void Load(size_t owner, const SendOrder& send) {
    ++sent;
    Engine& engine = engines_[send.target];
    backwards = backwards || send.order.fence < engine.fence;
    const bool busy = random_->Below(4) == 0;
    if (!busy) {
      engine.model = send.order.model;
      engine.version = send.order.version;
      engine.fence = send.order.fence;
      engine.loaded_at = now_ + absl::Seconds(5 + random_->Below(40));
    }
    using Result = OrderAnswered::Result;
    Actions more;
    orders_[owner]->OnAnswered(
        now_,
        {send.target, send.order.fence,
         busy ? Result::kWeightStoreBusy : Result::kAccepted},
        &more);
    Perform(owner, more);
  }

  std::unique_ptr<RandomSource> random_;
  manifest::Manifest manifest_;
  Mutations mutations_;
  std::vector<TargetInfo> targets_;
  std::vector<std::unique_ptr<OwnerView>> views_;
  std::vector<std::unique_ptr<Orders>> orders_;
  std::vector<absl::Time> adopt_at_;
  std::map<TargetId, Engine> engines_;
  std::set<TargetId> dead_;
  std::vector<Mail> mail_;
  absl::Time now_ = kStart;
  bool ever_full_ = false;
  int least_ = 1000;
};

TEST_CASE("an empty fleet loads what is wanted") {
  Rollout rollout(3, 9, 2, 1);
  rollout.Run(absl::Minutes(15));
  CHECK(rollout.UpToDate() == 9);
  CHECK(rollout.sent >= 9);
}

TEST_CASE("versions roll without ever going below what must serve") {
  const auto property = [] {
    const int engines = *rc::gen::inRange(2, 12);
    const int min_serving = *rc::gen::inRange(1, engines);
    const int owners = *rc::gen::inRange(1, 5);
    Rollout rollout(owners, engines, min_serving,
                    *rc::gen::arbitrary<uint32_t>());
    rollout.Run(absl::Minutes(20));
    RC_ASSERT(rollout.UpToDate() == engines);
    const int versions = *rc::gen::inRange(1, 12);
    for (int i = 0; i < versions; ++i) {
      rollout.Publish(absl::StrCat("v", *rc::gen::inRange(1, 3)));
      rollout.Run(absl::Seconds(*rc::gen::inRange(1, 90)));
    }
    rollout.Run(absl::Minutes(30));
    RC_ASSERT(rollout.least() >= min_serving);
    RC_ASSERT(!rollout.backwards);
    RC_ASSERT(rollout.UpToDate() == engines);
  };
  CHECK_THAT(RunSeeded(11, 400, property), Catch::Equals(""));
}

TEST_CASE("a dead engine holds a roll that has no other to spare") {
  Rollout rollout(2, 4, 3, 5);
  rollout.Run(absl::Minutes(15));
  REQUIRE(rollout.UpToDate() == 4);
  rollout.Kill(rollout.target(3));
  rollout.Publish("v2");
  rollout.Run(absl::Minutes(15));
  CHECK(rollout.Serving() == 3);
  CHECK(rollout.UpToDate() == 0);
}

struct OneTarget {
  explicit OneTarget(Mutations m = {}) : mutations(m) {
    view.held_manifest = MakeManifest(3, 1);
    view.held_manifest.models[0].min_serving = 0;
    view.held_targets = MakeTargets(1, 1).targets;
    view.held_claims[view.held_targets[0].id] = OwnerClaim::kFull;
  }

  // Hands in a report and returns the orders that it brings.
  int OrdersAfter(const ModelId& model, uint64_t fence) {
    TargetReport report;
    report.boot = BootId("a");
    report.model = model;
    report.version = "old";
    report.fence = ManifestRevision(fence);
    Actions actions;
    orders.OnReport(kStart, view.held_targets[0].id, report, &actions);
    orders.OnReport(kStart + absl::Seconds(10), view.held_targets[0].id, report,
                    &actions);
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [](const Action& it) {
          return std::holds_alternative<SendOrder>(it);
        }));
  }

  Mutations mutations;
  OwnerView view;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(1);
  Orders orders{OrdersConfig(), &view, random.get(), &mutations};
};

TEST_CASE("a target ordered under a newer revision is left alone") {
  CHECK(OneTarget().OrdersAfter(ModelId("reader"), 2) == 1);
  CHECK(OneTarget().OrdersAfter(ModelId("reader"), 4) == 0);
  Mutations mutations;
  mutations.order_backwards = true;
  const ThrowingInvariants guard;
  CHECK_THROWS_AS(OneTarget(mutations).OrdersAfter(ModelId("reader"), 4),
                  InvariantFailure);
}

TEST_CASE("half a claim orders only an engine that serves nothing") {
  const OwnerClaim claim =
      GENERATE(OwnerClaim::kNone, OwnerClaim::kSettling, OwnerClaim::kHalf);
  OneTarget serving;
  serving.view.held_claims.begin()->second = claim;
  CHECK(serving.OrdersAfter(ModelId("reader"), 2) == 0);
  OneTarget empty;
  empty.view.held_claims.begin()->second = claim;
  CHECK(empty.OrdersAfter(ModelId(), 2) ==
        (claim == OwnerClaim::kHalf ? 1 : 0));
}

TEST_CASE("an instance that may not dispatch orders nothing") {
  OneTarget one;
  one.view.dispatches = false;
  CHECK(one.OrdersAfter(ModelId(), 1) == 0);
}

}  // namespace
}  // namespace umbertrail::core
