// Calls that may not be repeated: tickets are redeemed by their issuer alone,
// keys need the agreement of all their homes.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "umbertrail/core/once/key_home.h"
#include "umbertrail/core/request/rendezvous.h"
#include "umbertrail/core/request/request_flow.h"
#include "umbertrail/core/request/successor.h"

namespace umbertrail::core {
namespace {

constexpr absl::Duration kKeyWait = absl::Milliseconds(500);
constexpr absl::Duration kForwardAgain = absl::Seconds(2);

Outcome IssuerGone() {
  Outcome outcome;
  outcome.reason = Reason::kIssuerGone;
  outcome.ran = Ran::kUnknown;
  outcome.detail = "the instance that issued this ticket can't be reached";
  return outcome;
}

bool IsListed(const FleetView& fleet, const InstanceId& id) {
  const auto& list = fleet.instances();
  return std::any_of(list.begin(), list.end(),
                     [&](const InstanceInfo& it) { return it.id == id; });
}

}  // namespace

InstanceId SuccessorOf(const InstanceId& issuer, const FleetView& fleet) {
  const auto ranked = RankInstances(absl::StrCat("issuer;", issuer.text()),
                                    fleet.instances(), 2);
  for (const InstanceId& it : ranked) {
    if (it != issuer) {
      return it;
    }
  }
  return InstanceId();
}

void RequestFlow::BeginOnce(absl::Time now,
                            ActiveRequest* r,
                            Actions* actions) {
  if (!r->spec.ticket.has_value()) {
    AskKeyHomes(now, r, actions);
    return;
  }
  const InstanceRef& issuer = r->spec.ticket->issuer;
  if (issuer == self_) {
    RedeemHere(now, r, actions);
    return;
  }
  const bool passed_here = !r->forwarded_from.empty();
  if (passed_here) {
    // Whoever passed it took this instance for the issuer or its successor.
    Finish(now, r, parts_.archive->Answer(*r->spec.ticket), actions);
    return;
  }
  if (issuer.id != self_.id && IsListed(*parts_.fleet, issuer.id)) {
    ForwardToIssuer(now, r, actions);
    return;
  }
  AskSuccessor(now, r, actions);
}

void RequestFlow::RedeemHere(absl::Time now,
                             ActiveRequest* r,
                             Actions* actions) {
  const TicketDesk::Redemption redemption =
      parts_.tickets->Redeem(now, r->spec);
  if (std::holds_alternative<TicketDesk::Redeemed>(redemption)) {
    r->redeems_ticket = true;
    r->maybe_run_before = false;
    BeginProbing(now, r, actions);
    return;
  }
  if (const auto* it = std::get_if<TicketDesk::InProgress>(&redemption)) {
    ActiveRequest* leader = table_.Find(it->request);
    if (leader != nullptr) {
      r->phase = Phase::kFollowing;
      r->passed_on = true;
      leader->followers.push_back(r->spec.id);
      return;
    }
    Finish(now, r, IssuerGone(), actions);
    return;
  }
  if (const auto* it = std::get_if<TicketDesk::Recorded>(&redemption)) {
    Finish(now, r, it->outcome, actions);
    return;
  }
  const auto& refused = std::get<TicketDesk::Refused>(redemption);
  Outcome outcome;
  outcome.reason = refused.reason;
  outcome.ran = refused.ran;
  outcome.detail = "the ticket can't be redeemed";
  Finish(now, r, std::move(outcome), actions);
}

void RequestFlow::ForwardToIssuer(absl::Time now,
                                  ActiveRequest* r,
                                  Actions* actions) {
  const InstanceRef& issuer = r->spec.ticket->issuer;
  r->phase = Phase::kForwarded;
  r->passed_on = true;
  r->asking.owner = issuer.id;
  ++r->forward_tries;
  table_.WakeAt(r, now + kForwardAgain);
  actions->push_back(SendPeer{
      issuer.id,
      SubmitForward{r->spec, r->TimeLeft(now), issuer.incarnation, r->body}});
}

void RequestFlow::AskSuccessor(absl::Time now,
                               ActiveRequest* r,
                               Actions* actions) {
  const InstanceRef& issuer = r->spec.ticket->issuer;
  const InstanceId successor = SuccessorOf(issuer.id, *parts_.fleet);
  if (successor == self_.id) {
    Finish(now, r, parts_.archive->Answer(*r->spec.ticket), actions);
    return;
  }
  if (successor.empty() || r->asked_successor) {
    Finish(now, r, IssuerGone(), actions);
    return;
  }
  r->asked_successor = true;
  r->passed_on = true;
  r->phase = Phase::kForwarded;
  r->asking.owner = successor;
  table_.WakeAt(r, now + kForwardAgain);
  actions->push_back(SendPeer{
      successor,
      SubmitForward{r->spec, r->TimeLeft(now), issuer.incarnation, nullptr}});
}

void RequestFlow::OnSubmitForward(absl::Time now,
                                  const InstanceRef& from,
                                  const SubmitForward& forward,
                                  Actions* actions) {
  ActiveRequest request;
  request.spec = forward.spec;
  // Two callers' ids may be the same on two instances.
  request.spec.id = RequestId(absl::StrCat("fwd/", from.id.text(), "/",
                                           from.incarnation.value(), "/",
                                           forward.spec.id.text()));
  if (table_.Find(request.spec.id) != nullptr) {
    return;
  }
  request.body = forward.body;
  request.forwarded_id = forward.spec.id;
  request.forwarded_from = from.id;
  request.arrived = now;
  request.deadline = now + forward.time_left;
  Admit(now, std::move(request), actions);
}

void RequestFlow::OnSubmitResult(absl::Time now,
                                 const SubmitResult& result,
                                 Actions* actions) {
  ActiveRequest* r = table_.Find(result.request);
  if (r == nullptr || r->phase != Phase::kForwarded) {
    return;
  }
  if (result.outcome.reason == Reason::kIssuerGone && !r->asked_successor) {
    AskSuccessor(now, r, actions);
    return;
  }
  Finish(now, r, result.outcome, actions);
}

void RequestFlow::AskKeyHomes(absl::Time now,
                              ActiveRequest* r,
                              Actions* actions) {
  r->phase = Phase::kKeyGrants;
  r->key_homes = KeyHomesOf(r->once_token, *parts_.fleet);
  if (r->key_homes.empty()) {
    Refuse(now, r, Reason::kNotFresh, config_.key_retry,
           "no instance is listed", actions);
    return;
  }
  table_.WakeAt(r, now + kKeyWait);
  for (const InstanceId& home : r->key_homes) {
    actions->push_back(
        SendPeer{home, KeyGrantRequest{r->spec.id, r->once_token}});
  }
}

void RequestFlow::OnKeyGrantReply(absl::Time now,
                                  const InstanceRef& from,
                                  const KeyGrantReply& reply,
                                  Actions* actions) {
  ActiveRequest* r = table_.Find(reply.request);
  if (r == nullptr || r->phase != Phase::kKeyGrants ||
      r->once_token != reply.once_token) {
    return;
  }
  if (reply.decision == KeyGrantDecision::kAgreed) {
    r->key_agreed.insert(from.id);
    if (r->key_agreed.size() == r->key_homes.size()) {
      r->maybe_run_before = false;
      BeginProbing(now, r, actions);
    }
    return;
  }
  if (reply.decision != KeyGrantDecision::kSeenBefore) {
    Refuse(now, r, Reason::kNotFresh, config_.key_retry,
           "a home of this key can't vouch for it yet", actions);
    return;
  }
  Outcome outcome;
  outcome.reason = Reason::kTicketUsed;
  outcome.ran = Ran::kUnknown;
  outcome.detail = "this key was submitted before; its run has not ended";
  outcome.retry_after = absl::Seconds(1);
  if (reply.finished) {
    outcome = reply.outcome;
  }
  Finish(now, r, std::move(outcome), actions);
}

void RequestFlow::TellKeyHomes(ActiveRequest* r,
                               const Outcome& outcome,
                               Actions* actions) {
  // What is told is what this request did, not what it was answered.
  Outcome own = outcome;
  own.ran =
      r->sends == r->sends_not_run && !r->seen_running ? Ran::kNo : r->ran();
  for (const InstanceId& home : r->key_homes) {
    actions->push_back(
        SendPeer{home, KeyEnded{r->spec.id, r->once_token, own}});
  }
}

void RequestFlow::SettleOnce(absl::Time now,
                             ActiveRequest* r,
                             const Outcome& outcome,
                             Actions* actions) {
  if (!r->key_homes.empty()) {
    TellKeyHomes(r, outcome, actions);
  }
  if (!r->redeems_ticket) {
    return;
  }
  parts_.tickets->Finish(now, *r->spec.ticket, outcome);
  const std::vector<RequestId> followers = std::move(r->followers);
  for (const RequestId& id : followers) {
    ActiveRequest* follower = table_.Find(id);
    if (follower != nullptr) {
      Finish(now, follower, outcome, actions);
    }
  }
}

}  // namespace umbertrail::core
