#ifndef UMBERTRAIL_TESTS_CORE_REQUEST_SUPPORT_H_
#define UMBERTRAIL_TESTS_CORE_REQUEST_SUPPORT_H_

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>

#include "fake_fleet.h"
#include "fake_signer.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {

inline const InstanceRef kSelf{InstanceId("10.0.0.1:7000"), Incarnation(1)};
inline const InstanceRef kOwner{InstanceId("10.0.0.2:7000"), Incarnation(2)};
inline const TargetId kFirst("t1");
inline const TargetId kSecond("t2");

// A flow whose peers and targets are played by the test.
class Flow {
 public:
  Flow() {
    manifest::Model model;
    model.id = ModelId("reader");
    model.context_limit = Tokens(1200000);
    fleet.declared.models = {model};
    manifest::ClientAccount account;
    account.id = ClientAccountId("club");
    account.requests_per_second = 1000;
    account.tokens_in_flight = Tokens(10000000);
    account.models = {model.id};
    account.services = {ServiceId("desk")};
    fleet.declared.accounts = {account};
    fleet.declared.services = {
        {ServiceId("desk"), {{"file", false}, {"look", true}}}};
    fleet.instance_list = {{kSelf.id, DataCentreId("a"), false},
                           {kOwner.id, DataCentreId("a"), false}};
    fleet.owners = {{kFirst, {kOwner.id}}, {kSecond, {kOwner.id}}};
    placement.candidates = {kFirst, kSecond};
  }

  RequestSpec Completion(const std::string& id) {
    RequestSpec spec;
    spec.id = RequestId(id);
    spec.account = ClientAccountId("club");
    spec.model = ModelId("reader");
    spec.prompt = Tokens(2000);
    spec.max_output = Tokens(10);
    return spec;
  }
  RequestSpec Call(const std::string& id, const std::string& call) {
    RequestSpec spec;
    spec.id = RequestId(id);
    spec.kind = RequestKind::kServiceCall;
    spec.account = ClientAccountId("club");
    spec.service = ServiceId("desk");
    spec.call = call;
    return spec;
  }
  void Arrive(RequestSpec spec, absl::Duration limit = absl::Seconds(10)) {
    flow.OnArrived(now, {std::move(spec), limit, nullptr}, &actions);
  }
  // Answers every open probe: all may serve.
  void AnswerProbes() {
    for (const Action& it : Take()) {
      const auto* send = std::get_if<SendPeer>(&it);
      const auto* probe =
          send ? std::get_if<ProbeRequest>(&send->payload) : nullptr;
      if (probe == nullptr) {
        continue;
      }
      ProbeReply reply;
      reply.probe = probe->probe;
      reply.target = probe->target;
      reply.can_serve = true;
      reply.first_token = absl::Milliseconds(probe->target == kFirst ? 10 : 20);
      flow.OnProbeReply(now, reply, &actions);
    }
  }
  AdmitRequest TakeAsk() {
    for (const Action& it : Take()) {
      const auto* send = std::get_if<SendPeer>(&it);
      if (send && std::holds_alternative<AdmitRequest>(send->payload)) {
        return std::get<AdmitRequest>(send->payload);
      }
    }
    FAIL("no ask");
    return {};
  }
  void Reply(const AdmitRequest& ask, AdmitDecision decision) {
    AdmitReply reply;
    reply.request = ask.request;
    reply.attempt = ask.attempt;
    reply.target = ask.target;
    reply.sequence = ask.sequence;
    reply.decision = decision;
    reply.reason =
        decision == AdmitDecision::kRefused ? Reason::kOverloaded : Reason::kOk;
    reply.boot = BootId("boot");
    flow.OnAdmitReply(now, kOwner, reply, &actions);
  }
  StartAttempt RunToStart() {
    AnswerProbes();
    Reply(TakeAsk(), AdmitDecision::kGranted);
    return *Last<StartAttempt>();
  }
  void Fail(const StartAttempt& start, AttemptFailure failure) {
    flow.OnAttemptFailed(now, {start.spec.id, start.attempt, failure, ""},
                         &actions);
  }
  void Chunk(const StartAttempt& start, int64_t offset, int64_t n) {
    flow.OnAttemptChunk(
        now, {start.spec.id, start.attempt, Tokens(offset), Tokens(n), "x"},
        &actions);
  }
  Actions Take() {
    Actions taken;
    taken.swap(actions);
    return taken;
  }
  template <typename T>
  const T* Last() {
    last_ = Take();
    for (auto it = last_.rbegin(); it != last_.rend(); ++it) {
      if (const T* found = std::get_if<T>(&*it)) {
        return found;
      }
    }
    return nullptr;
  }

  FakeFleet fleet;
  FakePlacement placement;
  FakeSigner signer;
  Mutations mutations;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(1);
  TicketDesk tickets{kSelf, &signer, &mutations};
  RedemptionArchive archive;
  ScreenHome screen{kSelf.id, &fleet, &mutations};
  RequestFlow flow{FlowConfig(),
                   kSelf,
                   {&fleet, &placement, random.get(), &tickets, &archive,
                    &screen, &mutations}};
  absl::Time now = absl::UnixEpoch();
  Actions actions;

 private:
  Actions last_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_REQUEST_SUPPORT_H_
