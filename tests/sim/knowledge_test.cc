#include <catch2/catch.hpp>

#include "knowledge.h"

namespace umbertrail::sim {
namespace {

absl::Time At(int s) {
  return absl::UnixEpoch() + absl::Seconds(s);
}

const Life kFirst{1, "a", At(-60), At(30)};
const Life kSecond{2, "b", At(-60), At(100)};
const Life kNewcomer{3, "c", At(20), At(100)};

TEST_CASE("what all are told of at once outlives its witness") {
  const Knowledge knowledge;
  CHECK(knowledge.Kept({kFirst, kSecond}, kFirst, At(10), At(50)));
  CHECK_FALSE(knowledge.Kept({kFirst}, kFirst, At(10), At(50)));
}

TEST_CASE("a newcomer must know once it was there with a knower for long") {
  const Knowledge knowledge;
  Life gone = kFirst;
  CHECK_FALSE(knowledge.Kept({gone, kNewcomer}, gone, At(10), At(50)));
  gone.ended = At(36);
  CHECK(knowledge.Kept({gone, kNewcomer}, gone, At(10), At(50)));
}

TEST_CASE("one that has just started is not told at once") {
  const Knowledge knowledge;
  Life gone{5, "e", At(-60), At(30)};
  const Life fresh{6, "f", At(18), At(100)};
  CHECK_FALSE(knowledge.Kept({gone, fresh}, gone, At(20), At(50)));
  gone.ended = At(36);
  CHECK(knowledge.Kept({gone, fresh}, gone, At(20), At(50)));
}

TEST_CASE("nobody is told through a partition") {
  Knowledge knowledge;
  knowledge.Part(At(5), At(40), {"b"});
  CHECK_FALSE(knowledge.Kept({kFirst, kSecond}, kFirst, At(10), At(50)));
  SECTION("until it heals") {
    Life stays = kFirst;
    stays.ended = At(56);
    CHECK(knowledge.Kept({stays, kSecond}, stays, At(10), At(60)));
  }
  SECTION("or is healed early") {
    knowledge.Heal(At(12));
    CHECK(knowledge.Kept({kFirst, kSecond}, kFirst, At(10), At(50)));
  }
  SECTION("but its own side is") {
    const Life beside{4, "d", At(-60), At(100)};
    CHECK(knowledge.Kept({kFirst, kSecond, beside}, kFirst, At(10), At(50)));
  }
}

}  // namespace
}  // namespace umbertrail::sim
