#include "load_plan.h"

#include <catch2/catch.hpp>

namespace umbertrail::cli {
namespace {

LoadCommand CommandOf(uint64_t seed) {
  LoadCommand out;
  out.addresses = {"127.0.0.1:1", "127.0.0.1:2"};
  out.accounts = {{"a", ""}, {"b", ""}};
  out.mix = {{Tokens(1000), 9}, {Tokens(200000), 1}};
  out.requests_per_second = 100;
  out.duration = absl::Seconds(20);
  out.seed = seed;
  return out;
}

TEST_CASE("a plan has its rate and mix, and its seed repeats it") {
  const auto plan = PlanLoad(CommandOf(1));
  CHECK(plan.size() > 1800);
  CHECK(plan.size() < 2200);
  size_t long_ones = 0;
  for (size_t i = 0; i < plan.size(); ++i) {
    long_ones += plan[i].prompt == Tokens(200000) ? 1 : 0;
    REQUIRE(plan[i].at < absl::Seconds(20));
    REQUIRE((i == 0 || plan[i - 1].at <= plan[i].at));
  }
  CHECK(long_ones > plan.size() / 20);
  CHECK(long_ones < plan.size() / 5);
  CHECK(PlanLoad(CommandOf(1)).at(5).at == plan.at(5).at);
  CHECK(PlanLoad(CommandOf(2)).at(5).at != plan.at(5).at);
}

TEST_CASE("prompts have their length and differ from the start") {
  CHECK(MakePromptText(Tokens(1000), 1).size() == 4000);
  CHECK(MakePromptText(Tokens(10), 1) != MakePromptText(Tokens(10), 2));
}

TEST_CASE("only numeric loopback addresses count as such") {
  CHECK(IsLoopback("127.0.0.1:80"));
  CHECK(IsLoopback("127.9.0.1:80"));
  CHECK_FALSE(IsLoopback("10.0.0.1:80"));
  CHECK_FALSE(IsLoopback("127.0.0.1.example.org:80"));
}

}  // namespace
}  // namespace umbertrail::cli
