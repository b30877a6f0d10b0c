#include "umbertrail/net/shedding.h"

#include <catch2/catch.hpp>

// Guards against closing connections that make progress, or those of addresses
// within their part, while others hold the memory.

namespace umbertrail::net {
namespace {

constexpr ClientAddress kAsking = 1;
constexpr ClientAddress kOther = 2;

ShedPolicy Policy(size_t bytes, size_t address_part = 1000) {
  return {{kAsking, bytes, address_part}, absl::Milliseconds(500)};
}

ShedCandidate Candidate(ClientAddress address, size_t bytes, int stalled_ms) {
  return {address, bytes, absl::Milliseconds(stalled_ms)};
}

TEST_CASE("stalled connections are chosen, the longest first") {
  const std::vector<ShedCandidate> candidates = {
      Candidate(kOther, 100, 499), Candidate(kOther, 100, 500),
      Candidate(kAsking, 100, 900), Candidate(kOther, 100, 700)};
  CHECK(ChooseToShed(candidates, Policy(200)) == std::vector<size_t>{2, 3});
  CHECK(ChooseToShed(candidates, Policy(201)) == std::vector<size_t>{2, 3, 1});
  CHECK(ChooseToShed(candidates, Policy(4000)) == std::vector<size_t>{2, 3, 1});
}

TEST_CASE("an address over its part gives way to others until it is within") {
  const std::vector<ShedCandidate> candidates = {
      Candidate(kOther, 100, 30), Candidate(kOther, 100, 10),
      Candidate(kOther, 100, 20), Candidate(kAsking, 100, 40)};
  CHECK(ChooseToShed(candidates, Policy(100, 150)) == std::vector<size_t>{0});
  CHECK(ChooseToShed(candidates, Policy(400, 150)) ==
        std::vector<size_t>{0, 2});
  CHECK(ChooseToShed(candidates, Policy(400, 300)).empty());
}

TEST_CASE("an address over its part closes none of its own for progress") {
  const std::vector<ShedCandidate> candidates = {Candidate(kAsking, 100, 30),
                                                 Candidate(kAsking, 100, 10)};
  CHECK(ChooseToShed(candidates, Policy(100, 50)).empty());
}

TEST_CASE("stalled connections go before those of addresses over their part") {
  const std::vector<ShedCandidate> candidates = {Candidate(kOther, 100, 300),
                                                 Candidate(kOther, 100, 400),
                                                 Candidate(kAsking, 100, 600)};
  CHECK(ChooseToShed(candidates, Policy(200, 150)) ==
        std::vector<size_t>{2, 1});
}

}  // namespace
}  // namespace umbertrail::net
