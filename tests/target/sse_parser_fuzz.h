#ifndef UMBERTRAIL_TESTS_TARGET_SSE_PARSER_FUZZ_H_
#define UMBERTRAIL_TESTS_TARGET_SSE_PARSER_FUZZ_H_

#include <string_view>

namespace umbertrail::target {

// Whether the parser hands out the same events however `input` is cut; the
// first byte says where.
bool SplitsAgree(std::string_view input);

}  // namespace umbertrail::target

#endif  // UMBERTRAIL_TESTS_TARGET_SSE_PARSER_FUZZ_H_
