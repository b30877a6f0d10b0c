#ifndef UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_
#define UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_

#include <string>

// What targets of the users' platform write, for tests that play them.

namespace umbertrail::testing {

// The value of a header in a request or answer, or "none".
std::string HeaderOf(const std::string& message, const std::string& name);
// The header lines by which an answer names its request and its target.
std::string EchoId(const std::string& request);
std::string WholeAnswer(const std::string& request, const std::string& body);
// The head of a stream of events, and bytes of it as one chunk.
std::string StreamHead(const std::string& request);
std::string Chunk(const std::string& bytes);

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_FRONT_TARGET_ANSWERS_H_
