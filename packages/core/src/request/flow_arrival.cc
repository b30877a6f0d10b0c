// Arrival: the row of filters that a request passes before anything is asked
// of a peer or a target.

#include <algorithm>

#include "umbertrail/core/invariant.h"
#include "umbertrail/core/request/request_flow.h"

namespace umbertrail::core {
namespace {

// A stopping instance is gone from the balancer about this soon.
constexpr absl::Duration kStoppingRetry = absl::Seconds(1);
constexpr absl::Duration kNoManifestRetry = absl::Seconds(2);

Outcome MakeRefusal(Reason reason,
                    absl::Duration retry_after,
                    std::string detail) {
  Outcome outcome;
  outcome.reason = reason;
  outcome.ran = Ran::kNo;
  outcome.retry_after = retry_after;
  outcome.detail = std::move(detail);
  return outcome;
}

template <typename List, typename Id>
bool Contains(const List& list, const Id& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

const manifest::ServiceCall* FindCall(const manifest::Manifest& manifest,
                                      const ServiceId& service,
                                      const std::string& call) {
  for (const manifest::PlainService& it : manifest.services) {
    if (it.id != service) {
      continue;
    }
    for (const manifest::ServiceCall& known : it.calls) {
      if (known.name == call) {
        return &known;
      }
    }
  }
  return nullptr;
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

std::optional<Outcome> RefuseUnknownCall(const manifest::Manifest& manifest,
                                         const manifest::ClientAccount& account,
                                         const ServiceId& service,
                                         const std::string& call) {
  if (FindCall(manifest, service, call) == nullptr) {
    return MakeRefusal(Reason::kUnknownModel, {}, "no such service or call");
  }
  if (!Contains(account.services, service)) {
    return MakeRefusal(Reason::kForbidden, {},
                       "the account may not use this service");
  }
  return std::nullopt;
}

std::optional<Outcome> RefuseUnknownModel(
    const manifest::Manifest& manifest,
    const manifest::ClientAccount& account,
    const RequestSpec& spec) {
  const manifest::Model* model = FindModel(manifest, spec.model);
  if (model == nullptr) {
    return MakeRefusal(Reason::kUnknownModel, {}, "no such model");
  }
  if (!spec.adapter.empty() && !Contains(model->adapters, spec.adapter)) {
    return MakeRefusal(Reason::kUnknownModel, {}, "no such adapter");
  }
  if (!Contains(account.models, spec.model)) {
    return MakeRefusal(Reason::kForbidden, {},
                       "the account may not use this model");
  }
  if (spec.prompt + spec.max_output > model->context_limit) {
    return MakeRefusal(Reason::kTooLong, {},
                       "prompt and output exceed the model's context limit");
  }
  return std::nullopt;
}

std::string KeyToken(const RequestSpec& spec) {
  return "key;" + spec.account.text() + ";" + spec.service.text() + ";" +
         spec.call + ";" + spec.idempotency_key;
}

}  // namespace

const std::array<RequestFlow::Filter, 6> RequestFlow::kArrivalFilters = {
    &RequestFlow::RefuseWhenStopping, &RequestFlow::RefuseWithoutManifest,
    &RequestFlow::RefuseUnknownWork,  &RequestFlow::RefuseUnsafeRepeat,
    &RequestFlow::RefuseShortTime,    &RequestFlow::RefuseOverLimit,
};

RequestFlow::RequestFlow(FlowConfig config, InstanceRef self, Parts parts)
    : config_(config), self_(std::move(self)), parts_(parts) {}

void RequestFlow::OnArrived(absl::Time now,
                            RequestArrived event,
                            Actions* actions) {
  ActiveRequest request;
  request.spec = std::move(event.spec);
  request.body = std::move(event.body);
  request.arrived = now;
  request.deadline = now + event.time_limit;
  Admit(now, std::move(request), actions);
}

void RequestFlow::Admit(absl::Time now,
                        ActiveRequest request,
                        Actions* actions) {
  request.maybe_run_before =
      request.spec.ticket.has_value() || !request.spec.idempotency_key.empty();
  ActiveRequest* r = &table_.Add(std::move(request));
  retries_.Earn();
  for (const Filter filter : kArrivalFilters) {
    Verdict refused = (this->*filter)(now, r);
    if (refused.has_value()) {
      // A submission under a ticket or key may be a resend of one that ran.
      refused->ran = r->ran();
      Finish(now, r, std::move(*refused), actions);
      return;
    }
  }
  if (r->once) {
    BeginOnce(now, r, actions);
    return;
  }
  BeginProbing(now, r, actions);
}

RequestFlow::Verdict RequestFlow::RefuseWhenStopping(absl::Time now,
                                                     ActiveRequest* request) {
  static_cast<void>(now);
  // What another instance admitted and passed on is redeemed, or answered from
  // a stopped issuer's records, here alone.
  const bool passed_on = !request->forwarded_from.empty();
  if (!stopping_ || passed_on) {
    return std::nullopt;
  }
  return MakeRefusal(Reason::kStopping, kStoppingRetry,
                     "this instance is leaving");
}

RequestFlow::Verdict RequestFlow::RefuseWithoutManifest(
    absl::Time now,
    ActiveRequest* request) {
  static_cast<void>(now);
  static_cast<void>(request);
  if (parts_.fleet->manifest() != nullptr) {
    return std::nullopt;
  }
  return MakeRefusal(Reason::kNotFresh, kNoManifestRetry,
                     "this instance has no manifest yet");
}

RequestFlow::Verdict RequestFlow::RefuseUnknownWork(absl::Time now,
                                                    ActiveRequest* request) {
  static_cast<void>(now);
  const RequestSpec& spec = request->spec;
  const manifest::ClientAccount* account = FindAccount(spec.account);
  if (account == nullptr) {
    return MakeRefusal(Reason::kUnauthorised, {}, "no such client account");
  }
  const manifest::Manifest& manifest = *parts_.fleet->manifest();
  if (spec.kind == RequestKind::kServiceCall) {
    return RefuseUnknownCall(manifest, *account, spec.service, spec.call);
  }
  return RefuseUnknownModel(manifest, *account, spec);
}

RequestFlow::Verdict RequestFlow::RefuseUnsafeRepeat(absl::Time now,
                                                     ActiveRequest* request) {
  static_cast<void>(now);
  const RequestSpec& spec = request->spec;
  if (spec.kind != RequestKind::kServiceCall) {
    request->maybe_run_before = false;
    return std::nullopt;
  }
  const manifest::ServiceCall* call =
      FindCall(*parts_.fleet->manifest(), spec.service, spec.call);
  if (call->repeatable) {
    request->maybe_run_before = false;
    return std::nullopt;
  }
  request->once = true;
  if (spec.ticket.has_value()) {
    if (spec.ticket->account != spec.account) {
      return MakeRefusal(Reason::kTicketInvalid, {},
                         "the ticket is another account's");
    }
    request->once_token = TicketToken(*spec.ticket);
    return std::nullopt;
  }
  if (!spec.idempotency_key.empty()) {
    request->once_token = KeyToken(spec);
    return std::nullopt;
  }
  return MakeRefusal(Reason::kTicketRequired, {},
                     "this call may not be repeated: it needs a ticket or a "
                     "key");
}

RequestFlow::Verdict RequestFlow::RefuseShortTime(absl::Time now,
                                                  ActiveRequest* request) {
  if (request->deadline > now) {
    return std::nullopt;
  }
  return MakeRefusal(Reason::kDeadlineInfeasible, {}, "no time is left");
}

RequestFlow::Verdict RequestFlow::RefuseOverLimit(absl::Time now,
                                                  ActiveRequest* request) {
  const manifest::ClientAccount* account = FindAccount(request->spec.account);
  const std::optional<absl::Duration> wait = limits_.Acquire(
      now, *account, parts_.fleet->instances().size(), request->Need());
  if (!wait.has_value()) {
    request->holds_account_share = true;
    return std::nullopt;
  }
  return MakeRefusal(Reason::kOverAccountLimit, *wait,
                     "the account is over its limit");
}

const manifest::ClientAccount* RequestFlow::FindAccount(
    const ClientAccountId& id) const {
  for (const manifest::ClientAccount& it : parts_.fleet->manifest()->accounts) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

void RequestFlow::OnTicketRequested(absl::Time now,
                                    const TicketRequested& event,
                                    Actions* actions) {
  const manifest::Manifest* manifest = parts_.fleet->manifest();
  Verdict refused;
  if (stopping_) {
    refused = MakeRefusal(Reason::kStopping, kStoppingRetry,
                          "this instance is leaving");
  } else if (manifest == nullptr) {
    refused = MakeRefusal(Reason::kNotFresh, kNoManifestRetry,
                          "this instance has no manifest yet");
  } else if (const auto* account = FindAccount(event.account);
             account == nullptr) {
    refused = MakeRefusal(Reason::kUnauthorised, {}, "no such client account");
  } else {
    refused = RefuseUnknownCall(*manifest, *account, event.service, event.call);
  }
  if (refused.has_value()) {
    actions->push_back(FinishRequest{event.request, std::move(*refused)});
    return;
  }
  const std::optional<Ticket> ticket = parts_.tickets->Issue(now, event);
  if (!ticket.has_value()) {
    actions->push_back(FinishRequest{
        event.request, MakeRefusal(Reason::kOverloaded, absl::Seconds(5),
                                   "too many tickets are outstanding")});
    return;
  }
  actions->push_back(
      TicketIssued{event.request, *ticket, TicketDesk::kValidFor});
}

}  // namespace umbertrail::core
