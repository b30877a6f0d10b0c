#ifndef UMBERTRAIL_TOOLS_STANDINS_ANSWER_TEXT_H_
#define UMBERTRAIL_TOOLS_STANDINS_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace umbertrail::standin {

// Text bytes that count as one token of a prompt.
inline constexpr int64_t kBytesPerToken = 4;

// The whole text that every engine stand-in answers to a prompt: `count`
// tokens from token `from` on. It depends on nothing but the prompt and the
// place, so that a resumed answer continues a broken one.
std::string AnswerText(uint64_t prompt_hash, int64_t from, int64_t count);

// What AnswerText wants to know of a prompt.
uint64_t PromptHash(std::string_view prompt);

}  // namespace umbertrail::standin

#endif  // UMBERTRAIL_TOOLS_STANDINS_ANSWER_TEXT_H_
