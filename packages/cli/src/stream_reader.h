#ifndef UMBERTRAIL_CLI_SRC_STREAM_READER_H_
#define UMBERTRAIL_CLI_SRC_STREAM_READER_H_

#include <string_view>

#include "absl/time/clock.h"
#include "caller.h"
#include "umbertrail/http/json_fields.h"
#include "umbertrail/target/sse_parser.h"

namespace umbertrail::cli {

// Follows a streamed answer and decides whether it is whole.
class StreamReader {
 public:
  // `receiver` must outlive the reader.
  StreamReader(const PartReceiver& receiver, absl::Time start)
      : receiver_(receiver),
        start_(start),
        parser_(kMaxLineBytes,
                [this](std::string_view data) { return TakeEvent(data); }) {}

  // False when the stream ended or makes no sense.
  bool Feed(std::string_view bytes) {
    return parser_.Feed(bytes) == target::SseParser::Status::kMore;
  }

  // Fills in what the stream told.
  void Finish(CallResult* result) const {
    *result = result_;
    result->end = end_;
    result->total = absl::Now() - start_;
  }

 private:
  static constexpr size_t kMaxLineBytes = size_t{4} * 1024 * 1024;

  bool TakeEvent(std::string_view data) {
    if (data == "[DONE]") {
      end_ = done_ ? CallEnd::kWhole : CallEnd::kCut;
      return false;
    }
    const nlohmann::json event = http::ParseJson(data);
    result_.request_id =
        http::TextField(event, "id").value_or(result_.request_id);
    if (const nlohmann::json* error = http::FindField(event, "error")) {
      TakeError(*error);
      return false;
    }
    if (http::FlagField(event, "done")) {
      done_ = http::NumberField(event, "total_tokens") == result_.tokens;
      return done_;
    }
    return TakePart(event);
  }

  void TakeError(const nlohmann::json& error) {
    end_ = CallEnd::kFailed;
    result_.reason = http::TextField(error, "reason").value_or("unknown");
    result_.ran = http::TextField(error, "ran").value_or("unknown");
    result_.message = http::TextField(error, "message").value_or("");
  }

  bool TakePart(const nlohmann::json& event) {
    const auto tokens = http::NumberField(event, "tokens");
    const auto text = http::TextField(event, "text");
    if (http::NumberField(event, "offset") != result_.tokens || !tokens ||
        !text || done_) {
      return false;
    }
    if (result_.tokens == 0) {
      result_.first_token = absl::Now() - start_;
    }
    result_.tokens += *tokens;
    receiver_(*text);
    return true;
  }

  const PartReceiver& receiver_;
  const absl::Time start_;
  target::SseParser parser_;
  CallResult result_;
  CallEnd end_ = CallEnd::kCut;
  bool done_ = false;
};

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_STREAM_READER_H_
