#ifndef UMBERTRAIL_TESTS_KNOWN_RED_H_
#define UMBERTRAIL_TESTS_KNOWN_RED_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

// Reads KNOWN-RED.txt, the list of faults that are real and not mended yet.

namespace umbertrail::testing {

// Seeds in the lines "PROGRAM seed N".
std::set<uint64_t> KnownRedSeeds(const std::string& path,
                                 const std::string& program);
// Test cases in the lines `PROGRAM "CASE"`.
std::vector<std::string> KnownRedCases(const std::string& path,
                                       const std::string& program);

}  // namespace umbertrail::testing

#endif  // UMBERTRAIL_TESTS_KNOWN_RED_H_
