#include "caller_json.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "umbertrail/daemon/ticket_text.h"
#include "umbertrail/telemetry/names.h"

namespace umbertrail::daemon::detail {
namespace {

using Json = nlohmann::json;

// Text that isn't UTF-8 is replaced, never thrown over.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Event(const std::string& data) {
  return absl::StrCat("data: ", data, "\n\n");
}

Json ErrorOf(const Refusal& refusal, const std::string& id) {
  Json error = {{"reason", refusal.reason},
                {"ran", telemetry::NameOf(refusal.ran)},
                {"message", refusal.message},
                {"request_id", id}};
  if (refusal.retry_after > absl::ZeroDuration()) {
    error["retry_after_ms"] = absl::ToInt64Milliseconds(refusal.retry_after);
  }
  return error;
}

}  // namespace

std::string FormatWhole(const WholeAnswer& answer) {
  return Dump({{"id", answer.id},
               {"model", answer.model},
               {"text", answer.text},
               {"total_tokens", answer.total.value()},
               {"finish", "complete"}});
}

std::string FormatTicketAnswer(const core::TicketIssued& issued) {
  return Dump({{"ticket", FormatTicket(issued.ticket)},
               {"valid_for_ms", absl::ToInt64Milliseconds(issued.valid_for)}});
}

std::string FormatRefusal(const Refusal& refusal, const std::string& id) {
  return Dump({{"error", ErrorOf(refusal, id)}});
}

std::string FormatPart(const std::string& id, const core::RelayChunk& chunk) {
  return Event(Dump({{"id", id},
                     {"offset", chunk.offset.value()},
                     {"tokens", chunk.tokens.value()},
                     {"text", chunk.text}}));
}

std::string FormatEnd(const std::string& id, Tokens total) {
  const std::string end =
      Dump({{"id", id}, {"done", true}, {"total_tokens", total.value()}});
  return absl::StrCat(Event(end), Event("[DONE]"));
}

std::string FormatStreamRefusal(const Refusal& refusal, const std::string& id) {
  return Event(Dump({{"id", id}, {"error", ErrorOf(refusal, id)}}));
}

}  // namespace umbertrail::daemon::detail
