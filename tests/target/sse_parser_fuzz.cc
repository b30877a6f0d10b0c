#include "sse_parser_fuzz.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "umbertrail/target/sse_parser.h"

namespace umbertrail::target {
namespace {

constexpr size_t kMaxLine = 64;

struct Parsed {
  std::vector<std::string> events;
  SseParser::Status status = SseParser::Status::kMore;
};

Parsed ParseIn(std::string_view input, size_t step) {
  Parsed parsed;
  SseParser parser(kMaxLine, [&parsed](std::string_view data) {
    parsed.events.emplace_back(data);
    return true;
  });
  while (!input.empty()) {
    const size_t n = std::min(step, input.size());
    parsed.status = parser.Feed(input.substr(0, n));
    input.remove_prefix(n);
  }
  return parsed;
}

}  // namespace

bool SplitsAgree(std::string_view input) {
  if (input.empty()) {
    return true;
  }
  const size_t step = static_cast<unsigned char>(input.front()) % 7 + 1;
  const Parsed whole = ParseIn(input, input.size());
  const Parsed cut = ParseIn(input, step);
  return whole.events == cut.events && whole.status == cut.status;
}

}  // namespace umbertrail::target

#ifdef UMBERTRAIL_FUZZ
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  if (!umbertrail::target::SplitsAgree(input)) {
    std::abort();
  }
  return 0;
}
#endif
