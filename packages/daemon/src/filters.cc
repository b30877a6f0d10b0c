#include "umbertrail/daemon/filters.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "umbertrail/daemon/ticket_text.h"

namespace umbertrail::daemon {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxRequestId = 64;
constexpr size_t kMaxName = 256;
constexpr size_t kMaxIdempotencyKey = 256;
constexpr size_t kMaxSecret = 1024;
constexpr size_t kMaxDeadlineDigits = 12;
constexpr int64_t kMaxOutputTokens = 1000000;
// A token of any known vocabulary is at most this long on average.
constexpr int64_t kMaxBytesPerToken = 64;
constexpr size_t kFirstMarkTokens = 1024;

Refusal Malformed(std::string message) {
  return NotRun(core::Reason::kMalformed, std::move(message));
}

bool IsRequestIdChar(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
         c == '_' || c == '-';
}

bool IsRequestId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxRequestId &&
         std::all_of(text.begin(), text.end(), IsRequestIdChar);
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxName;
}

bool IsIdempotencyKey(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdempotencyKey &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c));
         });
}

struct Credentials {
  ClientAccountId account;
  std::string secret;
};

// Reads "Bearer ACCOUNT:SECRET".
std::optional<Credentials> ParseAuthorization(const std::string& header) {
  constexpr char scheme[] = "Bearer ";
  if (!absl::StartsWithIgnoreCase(header, scheme)) {
    return std::nullopt;
  }
  const std::string token = header.substr(sizeof(scheme) - 1);
  const size_t colon = token.find(':');
  if (colon == std::string::npos || colon > kMaxName ||
      token.size() > kMaxName + kMaxSecret) {
    return std::nullopt;
  }
  return Credentials{ClientAccountId(token.substr(0, colon)),
                     token.substr(colon + 1)};
}

// Digits only; nothing for signs, fractions, exponents and absurd lengths.
std::optional<int64_t> ParseMillis(const std::string& text) {
  int64_t n = 0;
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
  });
  if (!digits || text.size() > kMaxDeadlineDigits ||
      !absl::SimpleAtoi(text, &n)) {
    return std::nullopt;
  }
  return n;
}

Filtered<absl::Duration> ReadTimeLimit(const std::optional<std::string>& header,
                                       const FilterLimits& limits) {
  if (!header.has_value()) {
    return limits.default_deadline;
  }
  const std::optional<int64_t> millis = ParseMillis(*header);
  if (!millis.has_value() || *millis < 1 ||
      absl::Milliseconds(*millis) > limits.max_deadline) {
    return Malformed(
        absl::StrCat("X-Deadline-Ms must be a whole number from 1 to ",
                     absl::ToInt64Milliseconds(limits.max_deadline)));
  }
  return absl::Milliseconds(*millis);
}

// -- JSON bodies --------------------------------------------------------------

// Reads the members of one JSON object and remembers the first fault.
class BodyReader {
 public:
  explicit BodyReader(std::string_view body)
      : json_(Json::parse(body, nullptr, /*allow_exceptions=*/false)) {
    if (json_.is_discarded()) {
      Fault("the body is not valid JSON in UTF-8");
    } else if (!json_.is_object()) {
      Fault("the body must be a JSON object");
    }
  }

  // A text of 1 to `max` bytes; empty when it is optional and absent.
  std::string Text(const char* key, bool required, size_t max) {
    const Json* value = Find(key, required);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string()) {
      Fault(absl::StrCat(key, " must be a string"));
      return "";
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.empty() || text.size() > max) {
      Fault(absl::StrCat(key, " must have 1 to ", max, " bytes"));
      return "";
    }
    return text;
  }

  // A whole number from 1 to `max`; nothing when it is optional and absent.
  std::optional<int64_t> Count(const char* key, bool required, int64_t max) {
    const Json* value = Find(key, required);
    if (value == nullptr) {
      return std::nullopt;
    }
    if (!value->is_number_unsigned() ||
        value->get<uint64_t>() > static_cast<uint64_t>(max) ||
        value->get<uint64_t>() == 0) {
      Fault(absl::StrCat(key, " must be a whole number from 1 to ", max));
      return std::nullopt;
    }
    return value->get<int64_t>();
  }

  bool Flag(const char* key) {
    const Json* value = Find(key, /*required=*/false);
    if (value != nullptr && !value->is_boolean()) {
      Fault(absl::StrCat(key, " must be true or false"));
      return false;
    }
    return value != nullptr && value->get<bool>();
  }

  // The first fault, unread members included.
  std::optional<Refusal> Finish() {
    if (!fault_.has_value() && known_ < json_.size()) {
      Fault("the body has a member that is not known");
    }
    return fault_;
  }

 private:
  const Json* Find(const char* key, bool required) {
    if (fault_.has_value()) {
      return nullptr;
    }
    const auto it = json_.find(key);
    if (it == json_.end()) {
      if (required) {
        Fault(absl::StrCat(key, " is required"));
      }
      return nullptr;
    }
    ++known_;
    return &*it;
  }

  void Fault(std::string message) {
    if (!fault_.has_value()) {
      fault_ = Malformed(std::move(message));
    }
  }

  Json json_;
  size_t known_ = 0;
  std::optional<Refusal> fault_;
};

// The prompt's length: as given, when that is plausible, else from its bytes.
Filtered<Tokens> MeasurePrompt(std::string_view prompt,
                               std::optional<int64_t> given) {
  const auto n = static_cast<int64_t>(prompt.size());
  if (!given.has_value()) {
    constexpr auto bytes = static_cast<int64_t>(kBytesPerToken);
    return Tokens((n + bytes - 1) / bytes);
  }
  if (*given > n || *given < n / kMaxBytesPerToken) {
    return Malformed("prompt_tokens doesn't fit the prompt's length");
  }
  return Tokens(*given);
}

Fingerprint FingerprintOf(const core::RequestSpec& spec,
                          std::string_view prompt) {
  const uint64_t seed =
      StableHash(absl::StrCat(spec.account.text().size(), ":",
                              spec.account.text(), ":", spec.model.text()));
  return Fingerprint(StableHash(prompt, seed));
}

}  // namespace

RequestFilters::RequestFilters(Incarnation incarnation,
                               const AccountDirectory* accounts,
                               std::function<FilterLimits()> limits)
    : incarnation_(incarnation),
      accounts_(accounts),
      limits_(std::move(limits)) {}

Filtered<Caller> RequestFilters::Authenticate(const CallHeaders& headers) {
  const auto credentials =
      ParseAuthorization(headers.authorization.value_or(""));
  if (!credentials.has_value()) {
    return NotRun(core::Reason::kUnauthorised,
                  "Authorization must be: Bearer ACCOUNT:SECRET");
  }
  switch (accounts_->Check(credentials->account, credentials->secret)) {
    case AccountDirectory::Answer::kRight:
      break;
    case AccountDirectory::Answer::kWrong:
      return NotRun(core::Reason::kUnauthorised,
                    "unknown account or wrong key");
    case AccountDirectory::Answer::kNoManifest:
      return NotRun(core::Reason::kNotFresh,
                    "no manifest is in force here yet");
  }
  Caller caller;
  caller.account = credentials->account;
  caller.caller_id = headers.request_id.value_or("");
  if (headers.request_id.has_value() && !IsRequestId(caller.caller_id)) {
    return Malformed("X-Request-Id must have 1 to 64 of [A-Za-z0-9._-]");
  }
  const Filtered<absl::Duration> time_limit =
      ReadTimeLimit(headers.deadline_ms, limits_());
  if (const auto* refusal = std::get_if<Refusal>(&time_limit)) {
    return *refusal;
  }
  caller.time_limit = std::get<absl::Duration>(time_limit);
  caller.id = MakeId(caller.caller_id);
  if (caller.caller_id.empty()) {
    caller.caller_id = caller.id.text();
  }
  return caller;
}

RequestId RequestFilters::MakeId(const std::string& caller_id) {
  const std::string own = absl::StrCat(absl::Hex(incarnation_.value()), "-",
                                       absl::Hex(next_serial_++));
  return RequestId(caller_id.empty() ? own : absl::StrCat(caller_id, "~", own));
}

Filtered<CompletionCall> RequestFilters::ClassifyCompletion(
    const Caller& caller,
    std::string_view body) {
  BodyReader reader(body);
  CompletionCall call;
  core::RequestSpec& spec = call.arrival.spec;
  spec.id = caller.id;
  spec.kind = core::RequestKind::kCompletion;
  spec.account = caller.account;
  spec.model = ModelId(reader.Text("model", true, kMaxName));
  spec.adapter = AdapterId(reader.Text("adapter", false, kMaxName));
  std::string prompt = reader.Text("prompt", true, body.size());
  const auto max_output =
      reader.Count("max_tokens", /*required=*/true, kMaxOutputTokens);
  const auto given = reader.Count("prompt_tokens", /*required=*/false,
                                  static_cast<int64_t>(body.size()));
  call.stream = reader.Flag("stream");
  reader.Text("session", /*required=*/false, kMaxName);
  if (const auto fault = reader.Finish()) {
    return *fault;
  }
  const Filtered<Tokens> length = MeasurePrompt(prompt, given);
  if (const auto* refusal = std::get_if<Refusal>(&length)) {
    return *refusal;
  }
  spec.prompt = std::get<Tokens>(length);
  spec.max_output = Tokens(max_output.value_or(0));
  spec.prefix = MarkPrefixes(prompt);
  spec.fingerprint = FingerprintOf(spec, prompt);
  call.arrival.time_limit = caller.time_limit;
  call.arrival.body = std::make_shared<const std::string>(std::move(prompt));
  return call;
}

Filtered<core::RequestArrived> RequestFilters::ClassifyServiceCall(
    const Caller& caller,
    const CallHeaders& headers,
    const std::string& service,
    const std::string& call,
    std::string body) {
  core::RequestArrived arrival;
  core::RequestSpec& spec = arrival.spec;
  spec.id = caller.id;
  spec.kind = core::RequestKind::kServiceCall;
  spec.account = caller.account;
  spec.service = ServiceId(service);
  spec.call = call;
  if (!IsName(service) || !IsName(call)) {
    return Malformed("service and call must have 1 to 256 bytes");
  }
  if (headers.ticket.has_value() && headers.idempotency_key.has_value()) {
    return Malformed("give X-Ticket or Idempotency-Key, not both");
  }
  if (headers.ticket.has_value()) {
    Result<core::Ticket> ticket = ParseTicket(*headers.ticket);
    if (!IsOk(ticket)) {
      return NotRun(core::Reason::kTicketInvalid, "X-Ticket is not a ticket");
    }
    spec.ticket = ValueOf(std::move(ticket));
  }
  if (headers.idempotency_key.has_value()) {
    if (!IsIdempotencyKey(*headers.idempotency_key)) {
      return Malformed(
          "Idempotency-Key must have 1 to 256 printable characters");
    }
    spec.idempotency_key = *headers.idempotency_key;
  }
  spec.fingerprint =
      FingerprintOf(spec, absl::StrCat(service, "/", call, "\n", body));
  arrival.time_limit = caller.time_limit;
  arrival.body = std::make_shared<const std::string>(std::move(body));
  return arrival;
}

Filtered<core::TicketRequested> RequestFilters::ClassifyTicketRequest(
    const Caller& caller,
    std::string_view body) {
  BodyReader reader(body);
  core::TicketRequested request;
  request.request = caller.id;
  request.account = caller.account;
  request.service = ServiceId(reader.Text("service", true, kMaxName));
  request.call = reader.Text("call", true, kMaxName);
  if (const auto fault = reader.Finish()) {
    return *fault;
  }
  return request;
}

std::vector<core::PrefixMark> MarkPrefixes(std::string_view prompt) {
  std::vector<core::PrefixMark> marks;
  uint64_t hash = 0;
  size_t begin = 0;
  for (size_t tokens = kFirstMarkTokens;
       tokens * kBytesPerToken <= prompt.size(); tokens *= 2) {
    const size_t end = tokens * kBytesPerToken;
    hash = StableHash(prompt.substr(begin, end - begin), hash);
    marks.push_back(core::PrefixMark{Tokens(static_cast<int64_t>(tokens)),
                                     PrefixHash(hash)});
    begin = end;
  }
  return marks;
}

}  // namespace umbertrail::daemon
