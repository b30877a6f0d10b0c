#include "demo/caller.h"

#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/answer_text.h"
#include "umbertrail/http.h"
#include "umbertrail/http/json_fields.h"
#include "umbertrail/target/sse_parser.h"

namespace umbertrail::demo {
namespace {

using http::DumpJson;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;
using target::SseParser;

constexpr int kStatusOk = 200;
constexpr size_t kMaxLine = size_t{1} << 20;
constexpr size_t kMaxErrorBytes = size_t{64} << 10;

http::Link LinkTo(const std::string& address, absl::Duration limit) {
  http::LinkSettings settings;
  settings.address = address;
  settings.progress_limit = limit;
  return http::Link(settings);
}

// Puts a streamed answer together and judges its end.
class StreamedAnswer {
 public:
  StreamedAnswer(const Prompt& prompt, absl::Time begun)
      : prompt_(prompt),
        begun_(begun),
        parser_(kMaxLine,
                [this](std::string_view data) { return TakeItem(data); }) {}

  bool TakeBytes(std::string_view bytes) {
    return parser_.Feed(bytes) == SseParser::Status::kMore;
  }

  TryResult Judge(const http::Answer& answer) const {
    TryResult result;
    result.total = absl::Now() - begun_;
    result.first_token = first_token_;
    if (answer.status != 0 && answer.status != kStatusOk) {
      TakeRefusal(ParseJson(answer.body), result);
    } else if (failed_) {
      TakeRefusal(failure_, result);
    } else if (ended_) {
      result.end = IsRight() ? TryEnd::kComplete : TryEnd::kWrong;
    } else {
      const bool unsent = answer.fault == http::Fault::kRefused ||
                          answer.fault == http::Fault::kNotConnected;
      result.end = unsent ? TryEnd::kNoAnswer : TryEnd::kCut;
    }
    return result;
  }

 private:
  bool TakeItem(std::string_view data) {
    if (data == "[DONE]") {
      ended_ = total_ >= 0;
      return false;
    }
    const json value = ParseJson(data);
    if (http::FindField(value, "error") != nullptr) {
      failed_ = true;
      failure_ = value;
      return false;
    }
    if (http::FlagField(value, "done")) {
      const auto total = NumberField(value, "total_tokens");
      total_ =
          total.has_value() ? *total : NumberField(value, "total").value_or(-1);
      // An engine's stream ends here, an entry's with [DONE].
      ended_ = !total.has_value() && total_ >= 0;
      return !ended_;
    }
    TakeText(value);
    return true;
  }

  void TakeText(const json& value) {
    const auto text = TextField(value, "text");
    if (!text.has_value()) {
      return;
    }
    if (first_token_ == absl::ZeroDuration()) {
      first_token_ = absl::Now() - begun_;
    }
    in_order_ = in_order_ && NumberField(value, "offset") == next_offset_;
    next_offset_ += NumberField(value, "tokens").value_or(0);
    text_ += *text;
  }

  bool IsRight() const {
    const uint64_t hash = standin::PromptHash(prompt_.text);
    return in_order_ && total_ == prompt_.max_tokens &&
           next_offset_ == total_ &&
           text_ == standin::AnswerText(hash, 0, total_);
  }

  static void TakeRefusal(const json& value, TryResult& result) {
    const json* error = http::FindField(value, "error");
    const json& fields =
        error != nullptr && error->is_object() ? *error : value;
    result.end = TryEnd::kRefused;
    result.reason = TextField(fields, "reason").value_or("unnamed");
    result.ran = TextField(fields, "ran").value_or("unnamed");
  }

  const Prompt& prompt_;
  const absl::Time begun_;
  SseParser parser_;
  std::string text_;
  int64_t next_offset_ = 0;
  int64_t total_ = -1;
  bool in_order_ = true;
  bool ended_ = false;
  bool failed_ = false;
  json failure_;
  absl::Duration first_token_;
};

TryResult SendStreamed(const std::string& address,
                       const http::Call& call,
                       const Prompt& prompt,
                       absl::Duration limit) {
  http::Link link = LinkTo(address, limit);
  StreamedAnswer streamed(prompt, absl::Now());
  const http::Answer answer = link.Send(
      call, kMaxErrorBytes,
      [&](std::string_view bytes) { return streamed.TakeBytes(bytes); });
  return streamed.Judge(answer);
}

}  // namespace

TryResult Complete(const std::string& entry,
                   const Account& account,
                   const std::string& model,
                   const Prompt& prompt,
                   absl::Duration time_limit) {
  http::Call call;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {
      {"Authorization",
       absl::StrCat("Bearer ", account.id, ":", account.secret)},
      {"X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(time_limit))}};
  call.body = DumpJson({{"model", model},
                        {"prompt", prompt.text},
                        {"prompt_tokens", prompt.tokens},
                        {"max_tokens", prompt.max_tokens},
                        {"stream", true}});
  constexpr absl::Duration kAnswerSlack = absl::Seconds(5);
  return SendStreamed(entry, call, prompt, time_limit + kAnswerSlack);
}

TryResult AskEngine(const std::string& engine,
                    const std::string& model,
                    const std::string& request_id,
                    const Prompt& prompt) {
  constexpr absl::Duration kLimit = absl::Seconds(30);
  http::Call call;
  call.method = "POST";
  call.path = "/v1/generate";
  call.body = DumpJson({{"request_id", request_id},
                        {"attempt", 1},
                        {"model", model},
                        {"prompt", prompt.text},
                        {"prompt_tokens", prompt.tokens},
                        {"max_tokens", prompt.max_tokens},
                        {"resume_from", 0},
                        {"priority", 0},
                        {"deadline_ms", absl::ToInt64Milliseconds(kLimit)},
                        {"holder", "direct/1"}});
  return SendStreamed(engine, call, prompt, kLimit);
}

}  // namespace umbertrail::demo
