#include "umbertrail/daemon/admin_json.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "absl/strings/str_format.h"
#include "umbertrail/telemetry/names.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::ordered_json;
using telemetry::NameOf;

double Milliseconds(absl::Duration duration) {
  return absl::ToDoubleMilliseconds(duration);
}

std::string Hex(uint64_t value) {
  return absl::StrFormat("%016x", value);
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// -- Status

Json Encode(const core::TargetStatus& status) {
  Json out;
  out["id"] = status.id.text();
  out["data_centre"] = status.data_centre.text();
  out["claim"] = NameOf(status.claim);
  out["reachable"] = status.reachable;
  out["state"] = NameOf(status.state);
  out["model"] = status.model.text();
  out["version"] = status.version;
  out["budget"] = status.budget.value();
  out["in_flight"] = status.in_flight.value();
  out["queued"] = {{"short", status.queued_short},
                   {"medium", status.queued_medium},
                   {"long", status.queued_long}};
  return out;
}

Json Encode(const core::RequestStatus& status) {
  Json out;
  out["id"] = status.id.text();
  out["account"] = status.account.text();
  out["target"] = status.target.text();
  out["attempt"] = status.attempt.value();
  out["phase"] = status.phase;
  out["delivered"] = status.delivered.value();
  out["time_left_ms"] = Milliseconds(status.time_left);
  return out;
}

Json Encode(const core::QuarantineStatus& status) {
  return {{"fingerprint", Hex(status.fingerprint.value())},
          {"deaths", status.deaths}};
}

Json Encode(const telemetry::HistoryStep& step);
Json Encode(const telemetry::RequestHistory& history);

template <typename T>
Json EncodeAll(const std::vector<T>& items) {
  Json out = Json::array();
  for (const T& it : items) {
    out.push_back(Encode(it));
  }
  return out;
}

// -- Histories

struct StepEncoder {
  Json operator()(const telemetry::ProbeSentStep& step) const {
    return {{"step", "probe_sent"},
            {"owner", step.owner.text()},
            {"target", step.target.text()}};
  }
  Json operator()(const telemetry::ProbeAnsweredStep& step) const {
    return {{"step", "probe_answered"},
            {"owner", step.owner.text()},
            {"target", step.target.text()},
            {"can_serve", step.can_serve},
            {"reason", NameOf(step.reason)},
            {"first_token_ms", Milliseconds(step.first_token)},
            {"matched_prefix", step.matched_prefix.value()}};
  }
  Json operator()(const telemetry::AdmissionAskedStep& step) const {
    return {{"step", step.claim ? "place_claimed" : "admission_asked"},
            {"owner", step.owner.text()},
            {"target", step.target.text()},
            {"attempt", step.attempt.value()}};
  }
  Json operator()(const telemetry::AdmissionAnsweredStep& step) const {
    return {{"step", "admission_answered"},
            {"owner", step.owner.text()},
            {"target", step.target.text()},
            {"attempt", step.attempt.value()},
            {"decision", NameOf(step.decision)},
            {"reason", NameOf(step.reason)},
            {"first_token_ms", Milliseconds(step.first_token)}};
  }
  Json operator()(const telemetry::TurnCameStep& step) const {
    return {{"step", "turn_came"},
            {"owner", step.owner.text()},
            {"target", step.target.text()},
            {"attempt", step.attempt.value()}};
  }
  Json operator()(const telemetry::AttemptSentStep& step) const {
    return {{"step", "attempt_sent"},
            {"target", step.target.text()},
            {"attempt", step.attempt.value()},
            {"resume_offset", step.resume_offset.value()},
            {"group_size", step.group_size}};
  }
  Json operator()(const telemetry::AttemptAcceptedStep& step) const {
    return {{"step", "attempt_accepted"}, {"attempt", step.attempt.value()}};
  }
  Json operator()(const telemetry::AttemptEndedStep& step) const {
    Json out = {{"step", "attempt_ended"}, {"attempt", step.attempt.value()}};
    if (step.failure) {
      out["failure"] = NameOf(*step.failure);
    } else {
      out["total"] = step.total.value();
    }
    return out;
  }
  Json operator()(const telemetry::AttemptCancelledStep& step) const {
    return {{"step", "attempt_cancelled"},
            {"target", step.target.text()},
            {"attempt", step.attempt.value()}};
  }
  Json operator()(const telemetry::ScreenAskedStep& step) const {
    return {{"step", "screen_asked"},
            {"home", step.home.text()},
            {"attempt", step.attempt.value()}};
  }
  Json operator()(const telemetry::ScreenAnsweredStep& step) const {
    return {{"step", "screen_answered"},
            {"home", step.home.text()},
            {"attempt", step.attempt.value()},
            {"verdict", NameOf(step.verdict)},
            {"deaths", step.deaths}};
  }
  Json operator()(const telemetry::SubmissionForwardedStep& step) const {
    return {{"step", "submission_forwarded"}, {"issuer", step.issuer.text()}};
  }
  Json operator()(const telemetry::KeyGrantStep& step) const {
    return {{"step", "key_grant"},
            {"home", step.home.text()},
            {"decision", NameOf(step.decision)}};
  }
};

Json Encode(const telemetry::HistoryStep& step) {
  Json out = {{"after_ms", Milliseconds(step.after)}};
  out.update(std::visit(StepEncoder(), step.detail));
  return out;
}

Json Encode(const telemetry::RelaySummary& relay) {
  return {{"parts", relay.parts},
          {"tokens", relay.tokens.value()},
          {"first_after_ms", Milliseconds(relay.first_after)},
          {"last_after_ms", Milliseconds(relay.last_after)}};
}

Json Encode(const telemetry::FinalOutcome& outcome) {
  return {{"reason", NameOf(outcome.reason)},
          {"ran", NameOf(outcome.ran)},
          {"total", outcome.total.value()},
          {"after_ms", Milliseconds(outcome.after)}};
}

Json Encode(const telemetry::RequestHistory& history) {
  const bool completion = history.kind == core::RequestKind::kCompletion;
  Json out;
  out["id"] = history.id.text();
  out["trace_id"] = telemetry::ToHex(history.trace);
  out["kind"] = completion ? "completion" : "service_call";
  out["account"] = history.account.text();
  out["model"] = history.model.text();
  out["service"] = history.service.text();
  out["call"] = history.call;
  out["prompt"] = history.prompt.value();
  out["length_class"] = NameOf(history.length_class);
  out["arrived"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", history.arrived,
                                    absl::UTCTimeZone());
  out["time_limit_ms"] = Milliseconds(history.time_limit);
  out["forwarded_by"] = history.forwarded_by.text();
  out["steps"] = EncodeAll(history.steps);
  out["steps_dropped"] = history.steps_dropped;
  out["relay"] = Encode(history.relay);
  out["outcome"] = history.outcome ? Encode(*history.outcome) : Json();
  return out;
}

}  // namespace

std::string StatusJson(const core::NodeStatus& status) {
  Json out;
  out["instance"] = status.self.id.text();
  out["incarnation"] = Hex(status.self.incarnation.value());
  out["data_centre"] = status.data_centre.text();
  out["revision"] = status.revision.value();
  out["freshness_age_ms"] = Milliseconds(status.freshness_age);
  out["ready"] = status.ready;
  out["stopping"] = status.stopping;
  out["manifest_fault"] = status.manifest_fault;
  out["stale_heads_ignored"] = status.stale_heads_ignored;
  out["conflicting_heads_refused"] = status.conflicting_heads_refused;
  out["tickets_outstanding"] = status.tickets_outstanding;
  out["owned"] = EncodeAll(status.owned);
  out["requests"] = EncodeAll(status.requests);
  out["quarantine"] = EncodeAll(status.quarantine);
  return Dump(out);
}

std::string ExplainJson(
    const std::vector<telemetry::RequestHistory>& histories) {
  const Json out = {{"requests", EncodeAll(histories)}};
  return Dump(out);
}

}  // namespace umbertrail::daemon
