#ifndef UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_
#define UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_

#include <cstdint>
#include <string>

// Responses of the platform's targets, for tests that fake them.

namespace umbertrail::testing {

// The value of a header in a request or response, or "none".
std::string HeaderOf(const std::string& message, const std::string& name);
// The response headers that identify its request and its target.
std::string EchoId(const std::string& request);
std::string WholeAnswer(const std::string& request, const std::string& body);
// A response with neither a length nor chunks, which ends with its connection.
std::string UnframedAnswer(const std::string& request, const std::string& body);
// True for the question for a target's own state, which is no client's request.
bool IsReportRequest(const std::string& request);
// The answer to it of a target that started at `born_ms`; another target than
// the one that is named in the question turns it away.
std::string ReportAnswer(const std::string& request,
                         const std::string& target,
                         int64_t born_ms);
// The head of an event stream response, and `bytes` as one HTTP chunk.
std::string StreamHead(const std::string& request);
std::string Chunk(const std::string& bytes);

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_
