#ifndef UMBERTRAIL_TESTS_CORE_OWNER_FAKES_H_
#define UMBERTRAIL_TESTS_CORE_OWNER_FAKES_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "umbertrail/core/owner/owner_table.h"

namespace umbertrail::core {

// A fleet of one cold-started engine "e1" and one service "s1", whose claim
// and bars a test sets.
class FakeFleet : public FleetView {
 public:
  FakeFleet() {
    declared.engine_classes.push_back(
        {"small", false, Tokens(100000), Tokens(10001)});
    target_list.push_back({TargetId("e1"), TargetKind::kEngine, "10.1.0.1:80",
                           DataCentreId("a"), ServiceId(), "small", false});
    target_list.push_back({TargetId("s1"), TargetKind::kService, "10.1.0.2:80",
                           DataCentreId("a"), ServiceId("desk"), "", false});
  }

  const manifest::Manifest* manifest() const override { return &declared; }
  const std::vector<TargetInfo>& targets() const override {
    return target_list;
  }
  const TargetInfo* FindTarget(const TargetId& id) const override {
    for (const TargetInfo& it : target_list) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }
  const std::vector<InstanceInfo>& instances() const override {
    return instance_list;
  }
  std::vector<InstanceInfo> HeardSince(absl::Time) const override { return {}; }
  std::vector<InstanceId> Ranking(const TargetId&) const override {
    return ranking;
  }
  OwnerClaim ClaimOf(const TargetId&, absl::Time) const override {
    return claim;
  }
  std::optional<Reason> Barred(const TargetId&, absl::Time) const override {
    return barred;
  }
  // As a list that can't be confirmed gives no full claim.
  bool ListConfirmed(absl::Time now) const override {
    for (const TargetInfo& it : targets()) {
      if (ClaimOf(it.id, now) == OwnerClaim::kFull) {
        return true;
      }
    }
    return false;
  }
  bool MayDispatch(absl::Time) const override { return fresh; }

  OwnerClaim claim = OwnerClaim::kFull;
  std::optional<Reason> barred;
  bool fresh = true;
  std::vector<InstanceId> ranking;
  std::vector<InstanceInfo> instance_list;
  std::vector<TargetInfo> target_list;
  manifest::Manifest declared;
};

// One owner before one engine, driven by hand.
struct OwnerBench {
  static InstanceRef Peer(const std::string& id, uint64_t life = 1) {
    return {InstanceId(id), Incarnation(life)};
  }

  explicit OwnerBench(OwnerConfig config = {}) { Make(std::move(config)); }
  void Make(OwnerConfig config) {
    table = std::make_unique<OwnerTable>(std::move(config), Peer("self"),
                                         &fleet, random.get(), &mutations);
    Tick();
  }

  void Tick() { table->OnTick(now, &actions); }
  void Pass(absl::Duration time) {
    now += time;
    Tick();
  }
  void Report(TargetState state, const std::string& boot = "b1") {
    TargetReport report;
    report.state = state;
    report.boot = BootId(boot);
    Report(std::move(report));
  }
  void Report(TargetReport report) {
    if (report.boot.empty()) {
      report.boot = BootId("b1");
    }
    report.model = ModelId("m");
    report.memory_total = Tokens(100000);
    table->OnReport(now, TargetId("e1"), report, &actions);
  }
  // Two reports, a second apart, as a new owner needs them.
  void Open(TargetState state) {
    for (int i = 0; i < 2; ++i) {
      Pass(absl::Seconds(1));
      Report(state);
    }
    actions.clear();
  }

  AdmitRequest Request(const std::string& id, int64_t prompt) const {
    AdmitRequest request;
    request.request = RequestId(id);
    request.attempt = AttemptNumber(1);
    request.target = TargetId("e1");
    request.account = ClientAccountId("club");
    request.model = ModelId("m");
    request.prompt = Tokens(prompt);
    request.time_left = absl::Minutes(10);
    request.time_total = absl::Minutes(10);
    return request;
  }
  AdmitReply Admit(const AdmitRequest& request,
                   const InstanceRef& from = Peer("r1")) {
    return table->OnAdmit(now, from, request);
  }
  AdmitReply Admit(const std::string& id, int64_t prompt) {
    return Admit(Request(id, prompt));
  }
  void Alive(const std::string& id, const InstanceRef& from = Peer("r1")) {
    AttemptsAlive alive;
    alive.attempts.push_back({RequestId(id), AttemptNumber(1), TargetId("e1"),
                              Tokens(0), Tokens(1)});
    table->OnAlive(now, from, alive);
  }
  void Settle(const std::string& id,
              AttemptResult result = AttemptResult::kDone,
              absl::Duration first_token = absl::Milliseconds(100)) {
    AttemptSettled settled;
    settled.request = RequestId(id);
    settled.attempt = AttemptNumber(1);
    settled.target = TargetId("e1");
    settled.result = result;
    settled.first_token = first_token;
    settled.total = first_token;
    table->OnSettled(now, Peer("r1"), settled, &actions);
  }
  TargetStatus Status() const { return table->Status(now).front(); }

  // Takes the messages of one kind that were sent since the last call.
  template <typename Payload>
  std::vector<Payload> Sent() const {
    std::vector<Payload> sent;
    for (const Action& action : actions) {
      const auto* send = std::get_if<SendPeer>(&action);
      if (send != nullptr && std::holds_alternative<Payload>(send->payload)) {
        sent.push_back(std::get<Payload>(send->payload));
      }
    }
    return sent;
  }
  template <typename Kind>
  std::vector<Kind> Done() const {
    std::vector<Kind> done;
    for (const Action& action : actions) {
      if (const auto* it = std::get_if<Kind>(&action)) {
        done.push_back(*it);
      }
    }
    return done;
  }

  FakeFleet fleet;
  Mutations mutations;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(1);
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  Actions actions;
  std::unique_ptr<OwnerTable> table;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_OWNER_FAKES_H_
