#include "stream.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "umbertrail/target/sse_parser.h"

namespace umbertrail::target::detail {
namespace {

constexpr int kStatusOk = 200;

// Bytes of an error's answer that are read.
constexpr size_t kMaxErrorBytes = size_t{64} << 10;

// Bytes of an error's answer that go into the failure's detail.
constexpr size_t kMaxDetailBytes = 200;

struct FaultMeaning {
  core::AttemptFailure failure;
  const char* detail;
};

FaultMeaning MeaningOf(http::Fault fault) {
  using core::AttemptFailure;
  switch (fault) {
    case http::Fault::kRefused:
      return {AttemptFailure::kNotSent, "connection refused"};
    case http::Fault::kNotConnected:
      return {AttemptFailure::kNotSent, "no connection"};
    case http::Fault::kSilent:
      return {AttemptFailure::kSilent, "no progress"};
    case http::Fault::kTooLarge:
      return {AttemptFailure::kBroken, "answer over its size limit"};
    case http::Fault::kNone:
    case http::Fault::kBroken:
    case http::Fault::kStopped:
      break;
  }
  return {AttemptFailure::kBroken, "connection broke before the answer's end"};
}

}  // namespace

Stream::Stream(core::StartAttempt action,
               std::string address,
               std::vector<std::string> group,
               const TargetClientSettings& settings,
               const EventCallback& on_event,
               StreamCounters& counters)
    : action_(std::move(action)),
      settings_(settings),
      on_event_(on_event),
      counters_(counters),
      call_(MakeCall(group)),
      link_(MakeLinkSettings(std::move(address))) {}

http::LinkSettings Stream::MakeLinkSettings(std::string address) const {
  http::LinkSettings link;
  link.address = std::move(address);
  link.connect_timeout = settings_.connect_timeout;
  link.progress_limit = action_.progress_limit;
  link.ca_path = settings_.ca_path;
  return link;
}

http::Call Stream::MakeCall(const std::vector<std::string>& group) const {
  http::Call call;
  call.method = "POST";
  if (IsEngineCall()) {
    call.path = "/v1/generate";
    call.body = GenerateBody(action_, settings_.self, group);
    return call;
  }
  call.path = absl::StrCat("/v1/call/", action_.spec.call);
  call.body = action_.body != nullptr ? *action_.body : std::string();
  call.headers = {{"Content-Type", "application/octet-stream"},
                  {"X-Request-Id", action_.spec.id.text()},
                  {"X-Attempt", absl::StrCat(action_.attempt.value())}};
  const std::string token = OnceToken(action_.spec);
  if (!token.empty()) {
    call.headers.push_back({"X-Once-Token", token});
  }
  return call;
}

void Stream::Run() {
  last_item_ = absl::Now();
  const http::Answer answer = Receive();
  const bool connected = answer.fault != http::Fault::kRefused &&
                         answer.fault != http::Fault::kNotConnected;
  may_hold_memory_ = IsEngineCall() && connected && !done_ &&
                     (answer.status == 0 || answer.status == kStatusOk);
  ReportEnd(answer);
}

void Stream::Cancel() {
  cancelled_ = true;
  link_.Abort();
}

http::Answer Stream::Receive() {
  if (!IsEngineCall()) {
    return link_.Send(std::move(call_), settings_.max_answer_bytes);
  }
  SseParser parser(settings_.max_line_bytes,
                   [this](std::string_view data) { return TakeItem(data); });
  return link_.Send(
      std::move(call_), kMaxErrorBytes, [&](std::string_view bytes) {
        switch (parser.Feed(bytes)) {
          case SseParser::Status::kMore:
            break;
          case SseParser::Status::kEnded:
            return false;
          case SseParser::Status::kLineTooLong:
            return End(core::AttemptFailure::kBroken, "line over its limit");
        }
        if (absl::Now() - last_item_ < action_.progress_limit) {
          return true;
        }
        // Bytes that carry no item are no progress of this attempt.
        return End(core::AttemptFailure::kSilent, "no item within the limit");
      });
}

bool Stream::TakeItem(std::string_view data) {
  const StreamItem item =
      ParseStreamItem(data, action_.spec.id, action_.attempt);
  return std::visit([this](const auto& it) { return Handle(it); }, item);
}

bool Stream::Handle(const ItemStarted&) {
  last_item_ = absl::Now();
  Report(core::AttemptStarted{action_.spec.id, action_.attempt});
  return true;
}

bool Stream::Handle(const ItemChunk& item) {
  last_item_ = absl::Now();
  Report(core::AttemptChunk{action_.spec.id, action_.attempt, item.offset,
                            item.tokens, item.text});
  return true;
}

bool Stream::Handle(const ItemDone& item) {
  done_ = true;
  ReportDone(item.total, nullptr);
  return false;
}

bool Stream::Handle(const ItemSuspended&) {
  return End(core::AttemptFailure::kBroken, "suspended by the engine");
}

bool Stream::Handle(const ItemError& item) {
  return End(core::AttemptFailure::kAnswered,
             item.message.substr(0, kMaxDetailBytes));
}

bool Stream::Handle(const ItemForeign&) {
  ++counters_.foreign_items;
  return true;
}

bool Stream::Handle(const ItemMalformed&) {
  ++counters_.malformed_items;
  return true;
}

bool Stream::End(core::AttemptFailure failure, std::string detail) {
  ending_ = Ending{failure, std::move(detail)};
  return false;
}

void Stream::ReportEnd(const http::Answer& answer) {
  if (done_) {
    return;
  }
  if (ending_.has_value()) {
    ReportFailure(ending_->failure, ending_->detail);
    return;
  }
  if (answer.fault != http::Fault::kNone) {
    const FaultMeaning meaning = MeaningOf(answer.fault);
    ReportFailure(meaning.failure, meaning.detail);
    return;
  }
  if (answer.status != kStatusOk) {
    ReportFailure(FailureOfAnswer(answer.status, answer.body),
                  absl::StrCat("status ", answer.status, ": ",
                               answer.body.substr(0, kMaxDetailBytes)));
    return;
  }
  ReportWhole(answer);
}

void Stream::ReportWhole(const http::Answer& answer) {
  if (IsEngineCall()) {
    ReportFailure(core::AttemptFailure::kBroken,
                  "stream closed without its end");
    return;
  }
  if (!answer.delimited) {
    ReportFailure(core::AttemptFailure::kBroken, "answer without a length");
    return;
  }
  ReportDone(Tokens(0), std::make_shared<const std::string>(answer.body));
}

void Stream::ReportDone(Tokens total, core::Body body) {
  Report(core::AttemptDone{action_.spec.id, action_.attempt, total,
                           std::move(body)});
}

void Stream::ReportFailure(core::AttemptFailure failure, std::string detail) {
  if (failure == core::AttemptFailure::kSilent) {
    ++counters_.silent_links;
  }
  Report(core::AttemptFailed{action_.spec.id, action_.attempt, failure,
                             std::move(detail)});
}

void Stream::Report(core::Event event) {
  if (!cancelled_) {
    on_event_(std::move(event));
  }
}

}  // namespace umbertrail::target::detail
