#include <nlohmann/json.hpp>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "commands.h"
#include "files.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;

// Sends of one ticket before giving up: resending under a ticket is safe.
constexpr int kTicketSends = 3;

ExitStatus StatusOf(CallEnd end) {
  switch (end) {
    case CallEnd::kWhole:
      return ExitStatus::kOk;
    case CallEnd::kRefused:
      return ExitStatus::kRefused;
    case CallEnd::kFailed:
    case CallEnd::kCut:
      return ExitStatus::kCut;
    case CallEnd::kUnreachable:
      return ExitStatus::kUnreachable;
  }
  return ExitStatus::kCut;
}

const char* NameOf(CallEnd end) {
  switch (end) {
    case CallEnd::kWhole:
      return "whole";
    case CallEnd::kRefused:
      return "refused";
    case CallEnd::kFailed:
      return "failed";
    case CallEnd::kCut:
      return "cut";
    case CallEnd::kUnreachable:
      return "unreachable";
  }
  return "cut";
}

void PrintJson(const CallResult& result,
               const std::string& answer,
               std::ostream& out) {
  Json json = {
      {"end", NameOf(result.end)},
      {"request_id", result.request_id},
      {"answer", answer},
      {"tokens", result.tokens},
      {"first_token_ms", absl::ToDoubleMilliseconds(result.first_token)},
      {"total_ms", absl::ToDoubleMilliseconds(result.total)}};
  if (result.end != CallEnd::kWhole) {
    json["reason"] = result.reason;
    json["ran"] = result.ran;
    json["message"] = result.message;
    json["retry_after_ms"] = absl::ToInt64Milliseconds(result.retry_after);
  }
  out << http::DumpJson(json) << "\n";
}

void PrintFault(const CallResult& result, std::ostream& err) {
  err << "umbertrail: " << NameOf(result.end);
  if (!result.reason.empty()) {
    err << ": " << result.reason << ", ran: " << result.ran;
  }
  if (!result.message.empty()) {
    err << ": " << result.message;
  }
  if (result.retry_after > absl::ZeroDuration()) {
    err << "; come back after " << absl::FormatDuration(result.retry_after);
  }
  err << "\n";
}

ExitStatus Report(const SendCommand& command,
                  const CallResult& result,
                  const std::string& answer,
                  Console& console) {
  if (command.json) {
    PrintJson(result, answer, console.out);
  } else {
    console.out << "\n";
  }
  if (result.end != CallEnd::kWhole) {
    PrintFault(result, console.err);
  }
  return StatusOf(result.end);
}

// The text of `file`, or `text` when no file is named.
Result<std::string> TextOrFile(const std::string& text,
                               const std::string& file) {
  if (file.empty()) {
    return text;
  }
  return ReadFile(file);
}

ExitStatus SendPrompt(const SendCommand& command,
                      const std::string& secret,
                      const Caller& caller,
                      Console& console) {
  Result<std::string> prompt = TextOrFile(command.prompt, command.prompt_file);
  if (!IsOk(prompt)) {
    console.err << "umbertrail: " << ErrorOf(prompt).message << "\n";
    return ExitStatus::kUsage;
  }
  PromptCall call;
  call.address = command.address;
  call.account = command.credentials.account;
  call.secret = secret;
  call.request_id = command.request_id;
  call.model = command.model;
  call.prompt = ValueOf(std::move(prompt));
  call.max_tokens = command.max_tokens;
  call.time_limit = command.time_limit;
  call.ca_file = command.ca_file;
  std::string answer;
  const CallResult result = caller.Prompt(call, [&](std::string_view text) {
    answer.append(text);
    if (!command.json) {
      console.out << text << std::flush;
    }
  });
  return Report(command, result, answer, console);
}

// Sends under a ticket until an instance answers or the tries are spent. The
// issuer runs the call once however often the ticket comes.
CallResult SubmitOnce(ServiceCall call, const Caller& caller) {
  const CallResult ticket = caller.Ticket(call);
  if (ticket.end != CallEnd::kWhole) {
    return ticket;
  }
  call.ticket = ticket.body;
  CallResult result;
  for (int i = 0; i < kTicketSends; ++i) {
    result = caller.Service(call);
    if (result.end != CallEnd::kCut && result.end != CallEnd::kUnreachable) {
      break;
    }
  }
  return result;
}

ExitStatus SendService(const SendCommand& command,
                       const std::string& secret,
                       const Caller& caller,
                       Console& console) {
  Result<std::string> body = TextOrFile("", command.body_file);
  if (!IsOk(body)) {
    console.err << "umbertrail: " << ErrorOf(body).message << "\n";
    return ExitStatus::kUsage;
  }
  ServiceCall call;
  call.address = command.address;
  call.account = command.credentials.account;
  call.secret = secret;
  call.request_id = command.request_id;
  call.service = command.service;
  call.call = command.call;
  call.body = ValueOf(std::move(body));
  call.time_limit = command.time_limit;
  call.ca_file = command.ca_file;
  const CallResult result =
      command.once ? SubmitOnce(call, caller) : caller.Service(call);
  if (!command.json) {
    console.out << result.body;
  }
  return Report(command, result, result.body, console);
}

}  // namespace

ExitStatus Send(const SendCommand& command,
                const Caller& caller,
                Console& console) {
  const Result<std::string> secret = ReadSecret(command.credentials.key_file);
  if (!IsOk(secret)) {
    console.err << "umbertrail: " << ErrorOf(secret).message << "\n";
    return ExitStatus::kUsage;
  }
  return command.service.empty()
             ? SendPrompt(command, ValueOf(secret), caller, console)
             : SendService(command, ValueOf(secret), caller, console);
}

}  // namespace umbertrail::cli
