#ifndef UMBERTRAIL_CLI_SRC_CALLER_H_
#define UMBERTRAIL_CLI_SRC_CALLER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::cli {

// A prompt for a model.
struct PromptCall {
  std::string address;
  std::string account;
  std::string secret;
  std::string request_id;  // may be empty
  std::string model;
  std::string prompt;
  int64_t prompt_tokens = 0;  // 0: the instance counts
  int64_t max_tokens = 0;
  absl::Duration time_limit;
  // Certificate authorities; TLS is used when it is set.
  std::string ca_file;
};

// A call of a plain service.
struct ServiceCall {
  std::string address;
  std::string account;
  std::string secret;
  std::string request_id;  // may be empty
  std::string service;
  std::string call;
  std::string body;
  std::string ticket;  // may be empty
  absl::Duration time_limit;
  // Certificate authorities; TLS is used when it is set.
  std::string ca_file;
};

// How a call ended, as its caller can tell.
enum class CallEnd {
  kWhole,        // the whole answer came
  kRefused,      // the instance answered with a refusal
  kFailed,       // the stream ended with an error
  kCut,          // the answer stopped without its end
  kUnreachable,  // no byte of the call was sent
};

struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  int status = 0;
  // Of a refusal or failure: its reason, and "no", "unknown" or "yes".
  std::string reason;
  std::string ran;
  std::string message;
  absl::Duration retry_after;
  // Of a whole answer: the service's bytes, or the ticket's text.
  std::string body;
  std::string request_id;
  int64_t tokens = 0;
  // From sending the call to the first part and to the end.
  absl::Duration first_token;
  absl::Duration total;
};

// Takes the text of each part of a streamed answer, in order.
using PartReceiver = std::function<void(std::string_view)>;

// Calls instances as a client account does. Thread-safe. Never repeats a call.
class Caller {
 public:
  virtual ~Caller() = default;

  // Streams an answer. Checks that offsets are contiguous and that the stream
  // ends with its total and end marker; anything else is kCut.
  virtual CallResult Prompt(const PromptCall& call,
                            const PartReceiver& receiver) const = 0;

  virtual CallResult Service(const ServiceCall& call) const = 0;

  // Takes a ticket for a later Service() with the same service and call.
  virtual CallResult Ticket(const ServiceCall& call) const = 0;
};

std::unique_ptr<Caller> MakeHttpCaller();

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_CALLER_H_
