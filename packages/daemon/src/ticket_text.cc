#include "umbertrail/daemon/ticket_text.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::json;

// issuer, incarnation, serial, account, service, call, MAC in hex
constexpr size_t kFields = 7;
constexpr size_t kMaxMacHex = 128;

bool HasShape(const Json& fields) {
  if (!fields.is_array() || fields.size() != kFields) {
    return false;
  }
  for (size_t i = 0; i < kFields; ++i) {
    const bool number = i == 1 || i == 2;
    if (number ? !fields[i].is_number_unsigned() : !fields[i].is_string()) {
      return false;
    }
  }
  return true;
}

// absl::HexStringToBytes() needs well-formed input.
bool IsHex(const std::string& text) {
  return text.size() % 2 == 0 && text.size() <= kMaxMacHex &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

std::string FormatTicket(const core::Ticket& ticket) {
  const Json fields =
      Json::array({ticket.issuer.id.text(), ticket.issuer.incarnation.value(),
                   ticket.serial, ticket.account.text(), ticket.service.text(),
                   ticket.call, absl::BytesToHexString(ticket.mac)});
  return absl::WebSafeBase64Escape(
      fields.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Result<core::Ticket> ParseTicket(std::string_view text) {
  const Error fault{ErrorCode::kInvalidArgument, "not a ticket"};
  std::string json;
  if (text.size() > kMaxTicketText ||
      !absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()),
                                   &json)) {
    return fault;
  }
  const Json fields = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!HasShape(fields) || !IsHex(fields[6].get<std::string>())) {
    return fault;
  }
  core::Ticket ticket;
  ticket.issuer.id = InstanceId(fields[0].get<std::string>());
  ticket.issuer.incarnation = Incarnation(fields[1].get<uint64_t>());
  ticket.serial = fields[2].get<uint64_t>();
  ticket.account = ClientAccountId(fields[3].get<std::string>());
  ticket.service = ServiceId(fields[4].get<std::string>());
  ticket.call = fields[5].get<std::string>();
  ticket.mac = absl::HexStringToBytes(fields[6].get<std::string>());
  return ticket;
}

}  // namespace umbertrail::daemon
