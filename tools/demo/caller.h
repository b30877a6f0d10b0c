#ifndef UMBERTRAIL_TOOLS_DEMO_CALLER_H_
#define UMBERTRAIL_TOOLS_DEMO_CALLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace umbertrail::demo {

struct Account {
  std::string id;
  std::string secret;
};

struct Prompt {
  std::string text;
  int64_t tokens = 0;
  int64_t max_tokens = 0;
};

// How one try of a request ended, as its caller sees it.
enum class TryEnd {
  kComplete,
  // An honest refusal or failure with its reason.
  kRefused,
  // No connection came about.
  kNoAnswer,
  // The connection ended without the answer's end or a word of failure.
  kCut,
  // Whole, but not the answer to this prompt.
  kWrong,
};

struct TryResult {
  TryEnd end = TryEnd::kNoAnswer;
  std::string reason;
  // What a refusal says of the request: "no", "unknown" or "yes".
  std::string ran;
  absl::Duration first_token;
  absl::Duration total;
};

// Asks an entry instance for a streamed completion, once, and checks the
// answer's text.
TryResult Complete(const std::string& entry,
                   const Account& account,
                   const std::string& model,
                   const Prompt& prompt,
                   absl::Duration time_limit);

// Asks an engine itself, with nothing between.
TryResult AskEngine(const std::string& engine,
                    const std::string& model,
                    const std::string& request_id,
                    const Prompt& prompt);

}  // namespace umbertrail::demo

#endif  // UMBERTRAIL_TOOLS_DEMO_CALLER_H_
