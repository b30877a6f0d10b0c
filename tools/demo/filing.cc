#include "demo/filing.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "umbertrail/http.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::demo {
namespace {

using http::DumpJson;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr size_t kMaxAnswer = size_t{1} << 20;
constexpr absl::Duration kLimit = absl::Seconds(15);

http::Answer SendTo(const std::string& address, const http::Call& call) {
  http::LinkSettings settings;
  settings.address = address;
  settings.progress_limit = kLimit;
  http::Link link(settings);
  return link.Send(call, kMaxAnswer);
}

http::Header KeyOf(const Account& account) {
  return {"Authorization",
          absl::StrCat("Bearer ", account.id, ":", account.secret)};
}

bool IsWhole(const http::Answer& answer) {
  return answer.fault == http::Fault::kNone && answer.status == kStatusOk;
}

}  // namespace

std::optional<std::string> AskTicket(const std::string& entry,
                                     const Account& account,
                                     const FilingCall& filing) {
  http::Call call;
  call.method = "POST";
  call.path = "/v1/tickets";
  call.headers = {KeyOf(account)};
  call.body = DumpJson({{"service", filing.service}, {"call", filing.call}});
  const http::Answer answer = SendTo(entry, call);
  return IsWhole(answer) ? TextField(ParseJson(answer.body), "ticket")
                         : std::nullopt;
}

FilingResult Submit(const std::string& entry,
                    const Account& account,
                    const FilingCall& filing,
                    const std::string& ticket) {
  http::Call call;
  call.method = "POST";
  call.path = absl::StrCat("/v1/services/", filing.service, "/", filing.call);
  call.headers = {KeyOf(account), {"X-Ticket", ticket}};
  call.body = filing.body;
  http::Answer answer = SendTo(entry, call);
  FilingResult result;
  if (IsWhole(answer)) {
    result.end = TryEnd::kComplete;
    result.answer = std::move(answer.body);
    return result;
  }
  if (answer.status == 0) {
    return result;
  }
  const json value = ParseJson(answer.body);
  const json* error = http::FindField(value, "error");
  result.end = error != nullptr ? TryEnd::kRefused : TryEnd::kCut;
  if (error != nullptr) {
    result.reason = TextField(*error, "reason").value_or("unnamed");
    result.ran = TextField(*error, "ran").value_or("unnamed");
  }
  return result;
}

std::optional<ServiceCounts> ReadServiceCounts(const std::string& service) {
  http::Call call;
  call.method = "GET";
  call.path = "/v1/runs";
  const http::Answer answer = SendTo(service, call);
  const json value = ParseJson(answer.body);
  const auto runs = NumberField(value, "once_runs");
  const auto bodies = NumberField(value, "duplicate_bodies");
  if (!IsWhole(answer) || !runs.has_value() || !bodies.has_value()) {
    return std::nullopt;
  }
  return ServiceCounts{*runs, *bodies};
}

}  // namespace umbertrail::demo
