#include "standins/answer_text.h"

#include "absl/strings/str_cat.h"
#include "umbertrail/base.h"

namespace umbertrail::standin {
namespace {

// Words of the answers: each token is one of these and a space.
constexpr uint64_t kWords = 65536;

std::string_view BytesOf(const uint64_t& value) {
  return {reinterpret_cast<const char*>(&value), sizeof(value)};
}

}  // namespace

std::string AnswerText(uint64_t prompt_hash, int64_t from, int64_t count) {
  std::string text;
  for (int64_t n = from; n < from + count; ++n) {
    const auto place = static_cast<uint64_t>(n);
    const uint64_t word = StableHash(BytesOf(place), prompt_hash) % kWords;
    absl::StrAppend(&text, "w", word, " ");
  }
  return text;
}

uint64_t PromptHash(std::string_view prompt) {
  return StableHash(prompt);
}

}  // namespace umbertrail::standin
