#include "wire.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "umbertrail/core/once/ticket_desk.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::target::detail {
namespace {

using http::ArrayField;
using http::DumpJson;
using http::FlagField;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

json AdapterTexts(const std::vector<AdapterId>& adapters) {
  json texts = json::array();
  for (const AdapterId& it : adapters) {
    texts.push_back(it.text());
  }
  return texts;
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t n = 0;
  if (!absl::SimpleHexAtoi(absl::string_view(text.data(), text.size()), &n)) {
    return std::nullopt;
  }
  return n;
}

std::optional<core::TargetState> ParseState(std::string_view text) {
  struct Name {
    std::string_view text;
    core::TargetState state;
  };
  static constexpr Name kNames[] = {{"cold", core::TargetState::kCold},
                                    {"warm", core::TargetState::kWarm},
                                    {"leaving", core::TargetState::kLeaving}};
  for (const Name& it : kNames) {
    if (it.text == text) {
      return it.state;
    }
  }
  return std::nullopt;
}

std::optional<core::Allocation> ParseAllocation(const json& item) {
  const auto holder = ParseHolder(TextField(item, "holder").value_or(""));
  if (!holder.has_value()) {
    return std::nullopt;
  }
  core::Allocation allocation;
  allocation.holder = *holder;
  allocation.request = RequestId(TextField(item, "request_id").value_or(""));
  allocation.tokens = Tokens(NumberField(item, "tokens").value_or(0));
  return allocation;
}

std::optional<core::CacheEvent> ParseCacheEvent(const json& item) {
  const auto sequence = NumberField(item, "sequence");
  const auto length = NumberField(item, "length");
  const auto hash = ParseHex(TextField(item, "hash").value_or(""));
  if (!sequence.has_value() || !length.has_value() || !hash.has_value()) {
    return std::nullopt;
  }
  core::CacheEvent event;
  event.sequence = static_cast<uint64_t>(*sequence);
  event.added = FlagField(item, "added");
  event.mark.length = Tokens(*length);
  event.mark.hash = PrefixHash(*hash);
  return event;
}

void ParseServing(const json& value, core::TargetReport& report) {
  report.model = ModelId(TextField(value, "model").value_or(""));
  report.version = TextField(value, "version").value_or("");
  for (const json& it : ArrayField(value, "adapters")) {
    if (it.is_string()) {
      report.adapters.emplace_back(it.get<std::string>());
    }
  }
  const auto fence =
      static_cast<uint64_t>(NumberField(value, "fence").value_or(0));
  report.fence = ManifestRevision(fence);
}

void ParseLoad(const json& value, core::TargetReport& report) {
  const auto number = [&value](const char* name) {
    return NumberField(value, name).value_or(0);
  };
  report.age = absl::Milliseconds(number("age_ms"));
  report.running = static_cast<int>(number("running"));
  report.tokens_in_flight = Tokens(number("tokens_in_flight"));
  report.memory_used = Tokens(number("memory_used"));
  report.memory_total = Tokens(number("memory_total"));
}

StreamItem ParseChunk(const json& value) {
  const auto offset = NumberField(value, "offset");
  const auto tokens = NumberField(value, "tokens");
  auto text = TextField(value, "text");
  if (!offset.has_value() || !tokens.has_value() || !text.has_value()) {
    return ItemMalformed{};
  }
  return ItemChunk{Tokens(*offset), Tokens(*tokens), *std::move(text)};
}

}  // namespace

std::string GenerateBody(const core::StartAttempt& attempt,
                         const InstanceRef& holder,
                         const std::vector<std::string>& group) {
  const core::RequestSpec& spec = attempt.spec;
  json value = {
      {"request_id", spec.id.text()},
      {"attempt", attempt.attempt.value()},
      {"model", spec.model.text()},
      {"prompt", attempt.body != nullptr ? *attempt.body : std::string()},
      {"prompt_tokens", spec.prompt.value()},
      {"max_tokens", spec.max_output.value()},
      {"resume_from", attempt.resume_offset.value()},
      {"priority", attempt.priority},
      {"deadline_ms", absl::ToInt64Milliseconds(attempt.time_left)},
      {"holder", HolderText(holder)},
  };
  if (!spec.adapter.empty()) {
    value["adapter"] = spec.adapter.text();
  }
  if (!group.empty()) {
    value["group"] = group;
  }
  return DumpJson(value);
}

std::string CancelBody(const RequestId& request, AttemptNumber attempt) {
  const json value = {{"request_id", request.text()},
                      {"attempt", attempt.value()}};
  return DumpJson(value);
}

std::string OrderBody(const core::Order& order) {
  const json value = {{"fence", order.fence.value()},
                      {"model", order.model.text()},
                      {"version", order.version},
                      {"adapters", AdapterTexts(order.adapters)}};
  return DumpJson(value);
}

std::string FreeBody(const core::FreeAllocations& action) {
  json value = {{"holder", HolderText(action.holder)}};
  if (!action.request.empty()) {
    value["request_id"] = action.request.text();
  }
  return DumpJson(value);
}

std::string OnceToken(const core::RequestSpec& spec) {
  if (spec.ticket.has_value()) {
    return core::TicketToken(*spec.ticket);
  }
  if (!spec.idempotency_key.empty()) {
    return absl::StrCat("key:", spec.account.text(), ":", spec.service.text(),
                        ":", spec.call, ":", spec.idempotency_key);
  }
  return std::string();
}

std::string HolderText(const InstanceRef& holder) {
  return absl::StrCat(holder.id.text(), "/",
                      absl::Hex(holder.incarnation.value()));
}

std::optional<InstanceRef> ParseHolder(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto incarnation = ParseHex(text.substr(slash + 1));
  if (!incarnation.has_value()) {
    return std::nullopt;
  }
  return InstanceRef{InstanceId(std::string(text.substr(0, slash))),
                     Incarnation(*incarnation)};
}

StreamItem ParseStreamItem(std::string_view data,
                           const RequestId& request,
                           AttemptNumber attempt) {
  const json value = ParseJson(data);
  const auto id = TextField(value, "request_id");
  const auto number = NumberField(value, "attempt");
  if (!id.has_value() || !number.has_value()) {
    return ItemMalformed{};
  }
  if (*id != request.text() || *number != attempt.value()) {
    return ItemForeign{};
  }
  if (FlagField(value, "started")) {
    return ItemStarted{};
  }
  if (FlagField(value, "suspended")) {
    return ItemSuspended{};
  }
  if (auto message = TextField(value, "error")) {
    return ItemError{*std::move(message)};
  }
  if (!FlagField(value, "done")) {
    return ParseChunk(value);
  }
  const auto total = NumberField(value, "total");
  return total.has_value() ? StreamItem(ItemDone{Tokens(*total)})
                           : StreamItem(ItemMalformed{});
}

core::AttemptFailure FailureOfAnswer(int status, std::string_view body) {
  const json value = ParseJson(body);
  const bool refusal = status == kTooManyRequests || status == kUnavailable;
  if (!refusal || TextField(value, "ran") != "no") {
    return core::AttemptFailure::kAnswered;
  }
  return TextField(value, "state") == "cold"
             ? core::AttemptFailure::kRefusedRestart
             : core::AttemptFailure::kSaidNotRun;
}

std::optional<core::TargetReport> ParseReport(std::string_view body) {
  const json value = ParseJson(body);
  const auto boot = TextField(value, "boot");
  const auto state = ParseState(TextField(value, "state").value_or(""));
  if (!boot.has_value() || !state.has_value()) {
    return std::nullopt;
  }
  core::TargetReport report;
  report.boot = BootId(*boot);
  report.state = *state;
  ParseLoad(value, report);
  ParseServing(value, report);
  for (const json& it : ArrayField(value, "allocations")) {
    if (auto allocation = ParseAllocation(it)) {
      report.allocations.push_back(*std::move(allocation));
    }
  }
  for (const json& it : ArrayField(value, "cache_events")) {
    if (auto event = ParseCacheEvent(it)) {
      report.cache_events.push_back(*event);
    }
  }
  return report;
}

core::OrderAnswered::Result ParseOrderAnswer(int status,
                                             std::string_view body) {
  const json value = ParseJson(body);
  if (status == kOk && FlagField(value, "accepted")) {
    return core::OrderAnswered::Result::kAccepted;
  }
  const auto error = TextField(value, "error");
  if (status == kConflict && error == "old_fence") {
    return core::OrderAnswered::Result::kOldFence;
  }
  if (status == kUnavailable && error == "weight_store_busy") {
    return core::OrderAnswered::Result::kWeightStoreBusy;
  }
  return core::OrderAnswered::Result::kFailed;
}

}  // namespace umbertrail::target::detail
