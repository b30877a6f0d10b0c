#include "known_red.h"

#include <fstream>

namespace umbertrail::testing {
namespace {

// What follows `prefix` in the lines that begin with it.
std::vector<std::string> Matches(const std::string& path,
                                 const std::string& prefix) {
  std::ifstream file(path);
  std::vector<std::string> matches;
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(prefix, 0) == 0) {
      matches.push_back(line.substr(prefix.size()));
    }
  }
  return matches;
}

}  // namespace

std::set<uint64_t> KnownRedSeeds(const std::string& path,
                                 const std::string& program) {
  std::set<uint64_t> seeds;
  for (const std::string& seed : Matches(path, program + " seed ")) {
    seeds.insert(std::stoull(seed));
  }
  return seeds;
}

std::vector<std::string> KnownRedCases(const std::string& path,
                                       const std::string& program) {
  std::vector<std::string> cases;
  for (const std::string& rest : Matches(path, program + " \"")) {
    const size_t end = rest.find('"');
    if (end != std::string::npos) {
      cases.push_back(rest.substr(0, end));
    }
  }
  return cases;
}

}  // namespace umbertrail::testing
