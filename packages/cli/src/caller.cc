#include "caller.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "stream_reader.h"
#include "umbertrail/http.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr size_t kMaxAnswerBytes = size_t{64} * 1024 * 1024;
// An instance ends a request at its time; this long it may take to say so.
constexpr absl::Duration kGrace = absl::Seconds(5);

template <typename Call>
http::Link MakeLink(const Call& call) {
  http::LinkSettings settings;
  settings.address = call.address;
  settings.ca_path = call.ca_file;
  settings.connect_timeout = absl::Seconds(2);
  settings.progress_limit = call.time_limit + kGrace;
  return http::Link(settings);
}

template <typename Call>
std::vector<http::Header> HeadersOf(const Call& call) {
  std::vector<http::Header> out = {
      {"Authorization",
       absl::StrCat("Bearer ", call.account, ":", call.secret)},
      {"X-Deadline-Ms",
       absl::StrCat(absl::ToInt64Milliseconds(call.time_limit))},
  };
  if (!call.request_id.empty()) {
    out.push_back({"X-Request-Id", call.request_id});
  }
  return out;
}

bool NothingWasSent(http::Fault fault) {
  return fault == http::Fault::kRefused || fault == http::Fault::kNotConnected;
}

CallResult ReadRefusal(const http::Answer& answer) {
  CallResult out;
  out.end = CallEnd::kRefused;
  out.status = answer.status;
  const Json page = http::ParseJson(answer.body);
  const Json* error = http::FindField(page, "error");
  const Json none = Json::object();
  const Json& fields = error == nullptr ? none : *error;
  out.reason = http::TextField(fields, "reason").value_or("unknown");
  out.ran = http::TextField(fields, "ran").value_or("unknown");
  out.message = http::TextField(fields, "message").value_or("");
  out.request_id = http::TextField(fields, "request_id").value_or("");
  out.retry_after = absl::Milliseconds(
      http::NumberField(fields, "retry_after_ms").value_or(0));
  return out;
}

// What an answer without a stream says.
CallResult ReadWhole(const http::Answer& answer, absl::Time start) {
  CallResult out;
  if (answer.fault != http::Fault::kNone) {
    out.end =
        NothingWasSent(answer.fault) ? CallEnd::kUnreachable : CallEnd::kCut;
  } else if (answer.status != kHttpOk) {
    out = ReadRefusal(answer);
  } else {
    out.end = answer.delimited ? CallEnd::kWhole : CallEnd::kCut;
    out.status = answer.status;
    out.body = answer.body;
  }
  out.total = absl::Now() - start;
  return out;
}

class HttpCaller : public Caller {
 public:
  CallResult Prompt(const PromptCall& call,
                    const PartReceiver& receiver) const override {
    Json body = {{"model", call.model},
                 {"prompt", call.prompt},
                 {"max_tokens", call.max_tokens},
                 {"stream", true}};
    if (call.prompt_tokens > 0) {
      body["prompt_tokens"] = call.prompt_tokens;
    }
    const absl::Time start = absl::Now();
    StreamReader reader(receiver, start);
    http::Link link = MakeLink(call);
    const http::Answer answer = link.Send(
        {"POST", "/v1/completions", http::DumpJson(body), HeadersOf(call)},
        kMaxAnswerBytes,
        [&](std::string_view bytes) { return reader.Feed(bytes); });
    if (answer.status != kHttpOk) {
      return ReadWhole(answer, start);
    }
    CallResult out;
    reader.Finish(&out);
    out.status = answer.status;
    return out;
  }

  CallResult Service(const ServiceCall& call) const override {
    std::vector<http::Header> headers = HeadersOf(call);
    if (!call.ticket.empty()) {
      headers.push_back({"X-Ticket", call.ticket});
    }
    const std::string path =
        absl::StrCat("/v1/services/", call.service, "/", call.call);
    const absl::Time start = absl::Now();
    http::Link link = MakeLink(call);
    return ReadWhole(link.Send({"POST", path, call.body, std::move(headers)},
                               kMaxAnswerBytes),
                     start);
  }

  CallResult Ticket(const ServiceCall& call) const override {
    const Json body = {{"service", call.service}, {"call", call.call}};
    const absl::Time start = absl::Now();
    http::Link link = MakeLink(call);
    CallResult out = ReadWhole(
        link.Send(
            {"POST", "/v1/tickets", http::DumpJson(body), HeadersOf(call)},
            kMaxAnswerBytes),
        start);
    if (out.end == CallEnd::kWhole) {
      out.body =
          http::TextField(http::ParseJson(out.body), "ticket").value_or("");
      out.end = out.body.empty() ? CallEnd::kCut : CallEnd::kWhole;
    }
    return out;
  }
};

}  // namespace

std::unique_ptr<Caller> MakeHttpCaller() {
  return std::make_unique<HttpCaller>();
}

}  // namespace umbertrail::cli
