#include <nlohmann/json.hpp>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "commands.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

// Ids hold only characters that need no escaping in a query.
bool IsRequestId(const std::string& id) {
  constexpr char kAllowed[] =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-~";
  // A caller's id and what an instance appends to it.
  constexpr size_t kMaxLength = 128;
  return !id.empty() && id.size() <= kMaxLength &&
         id.find_first_not_of(kAllowed) == std::string::npos;
}

double MillisecondsOf(const Json& json, const char* name) {
  const Json* it = http::FindField(json, name);
  return it != nullptr && it->is_number() ? it->get<double>() : 0;
}

// The fields of a step other than its name and time, as `key=value`.
std::string DetailsOf(const Json& step) {
  std::string out;
  for (const auto& [key, value] : step.items()) {
    const std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    if (key != "after_ms" && key != "step" && !text.empty()) {
      absl::StrAppend(&out, "  ", key, "=", text);
    }
  }
  return out;
}

void PrintStep(const Json& step, std::ostream& out) {
  out << absl::StrFormat(
      "  %10.1f ms  %-20s%s\n", MillisecondsOf(step, "after_ms"),
      http::TextField(step, "step").value_or("?"), DetailsOf(step));
}

void PrintRelay(const Json& relay, std::ostream& out) {
  const int64_t parts = http::NumberField(relay, "parts").value_or(0);
  if (parts == 0) {
    return;
  }
  out << absl::StrFormat(
      "  relayed %d tokens in %d parts, first after %.1f ms, last after %.1f "
      "ms\n",
      http::NumberField(relay, "tokens").value_or(0), parts,
      MillisecondsOf(relay, "first_after_ms"),
      MillisecondsOf(relay, "last_after_ms"));
}

void PrintOutcome(const Json& request, std::ostream& out) {
  const Json* outcome = http::FindField(request, "outcome");
  if (outcome == nullptr || !outcome->is_object()) {
    out << "  still running\n";
    return;
  }
  out << absl::StrFormat("  outcome after %.1f ms: %s, ran: %s\n",
                         MillisecondsOf(*outcome, "after_ms"),
                         http::TextField(*outcome, "reason").value_or("?"),
                         http::TextField(*outcome, "ran").value_or("?"));
}

void PrintRequest(const std::string& address,
                  const Json& request,
                  std::ostream& out) {
  out << absl::StrFormat(
      "%s on %s: %s of %s, %d prompt tokens (%s), arrived %s, trace %s\n",
      http::TextField(request, "id").value_or("?"), address,
      http::TextField(request, "kind").value_or("?"),
      http::TextField(request, "account").value_or("?"),
      http::NumberField(request, "prompt").value_or(0),
      http::TextField(request, "length_class").value_or("?"),
      http::TextField(request, "arrived").value_or("?"),
      http::TextField(request, "trace_id").value_or("?"));
  for (const Json& it : http::ArrayField(request, "steps")) {
    PrintStep(it, out);
  }
  const Json* relay = http::FindField(request, "relay");
  if (relay != nullptr) {
    PrintRelay(*relay, out);
  }
  PrintOutcome(request, out);
}

// The histories that an instance holds; none when it knows nothing of them.
Json ReadHistories(const Result<AdminPage>& page) {
  if (!IsOk(page) || ValueOf(page).status != kHttpOk) {
    return Json::array();
  }
  return http::ArrayField(http::ParseJson(ValueOf(page).body), "requests");
}

}  // namespace

ExitStatus Explain(const ExplainCommand& command,
                   const AdminClient& client,
                   Console& console) {
  if (!IsRequestId(command.request.text())) {
    console.err << "umbertrail: this is no request id\n";
    return ExitStatus::kUsage;
  }
  const auto pages = GetAll(client, command.addresses,
                            "/explain?id=" + command.request.text());
  Json found = Json::array();
  bool reached = false;
  for (size_t i = 0; i < pages.size(); ++i) {
    if (!IsOk(pages[i])) {
      console.err << "umbertrail: " << ErrorOf(pages[i]).message << "\n";
      continue;
    }
    const int status = ValueOf(pages[i]).status;
    reached = reached || status == kHttpOk || status == kHttpNotFound;
    for (const Json& it : ReadHistories(pages[i])) {
      found.push_back({{"asked", command.addresses[i]}, {"request", it}});
    }
  }
  if (command.json) {
    console.out << http::DumpJson({{"found", found}}) << "\n";
  } else {
    for (const Json& it : found) {
      PrintRequest(it["asked"].get<std::string>(), it["request"], console.out);
    }
  }
  if (!found.empty()) {
    return ExitStatus::kOk;
  }
  if (!reached) {
    return ExitStatus::kUnreachable;
  }
  console.err << "umbertrail: no instance asked remembers this request\n";
  return ExitStatus::kFound;
}

}  // namespace umbertrail::cli
