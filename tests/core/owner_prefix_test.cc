#include <catch2/catch.hpp>

#include "umbertrail/core/owner/prefix_index.h"

namespace umbertrail::core {
namespace {

CacheEvent Added(uint64_t sequence, uint64_t hash, int64_t length = 1024) {
  return {sequence, true, {Tokens(length), PrefixHash(hash)}};
}

std::vector<PrefixMark> Marks(uint64_t hash) {
  return {{Tokens(1024), PrefixHash(hash)}};
}

TEST_CASE("the longest cached mark counts") {
  PrefixIndex index(8);
  index.OnEvents(BootId("b"), {Added(1, 1), Added(2, 2, 2048)});
  const std::vector<PrefixMark> marks = {{Tokens(1024), PrefixHash(1)},
                                         {Tokens(2048), PrefixHash(2)},
                                         {Tokens(4096), PrefixHash(3)}};
  CHECK(index.Matched(marks) == Tokens(2048));
}

TEST_CASE("late events are taken once, in order") {
  PrefixIndex index(8);
  const CacheEvent removed{2, false, {Tokens(1024), PrefixHash(1)}};
  index.OnEvents(BootId("b"), {Added(1, 1), removed});
  index.OnEvents(BootId("b"), {Added(1, 1), removed, Added(3, 2)});
  CHECK(index.Matched(Marks(1)) == Tokens(0));
  CHECK(index.Matched(Marks(2)) == Tokens(1024));
}

TEST_CASE("entries are distrusted after two gaps until added again") {
  PrefixIndex index(8);
  index.OnEvents(BootId("b"), {Added(1, 1), Added(5, 2)});
  CHECK(index.Matched(Marks(1)) == Tokens(1024));
  index.OnEvents(BootId("b"), {Added(9, 3)});
  CHECK(index.Matched(Marks(1)) == Tokens(0));
  CHECK(index.Matched(Marks(2)) == Tokens(1024));
  index.OnEvents(BootId("b"), {Added(10, 1)});
  CHECK(index.Matched(Marks(1)) == Tokens(1024));
}

TEST_CASE("a new boot forgets everything") {
  PrefixIndex index(8);
  index.OnEvents(BootId("b"), {Added(1, 1)});
  index.OnEvents(BootId("c"), {});
  CHECK(index.Matched(Marks(1)) == Tokens(0));
  CHECK(index.size() == 0);
}

TEST_CASE("memory is bounded and what is used stays") {
  PrefixIndex index(2);
  index.OnEvents(BootId("b"), {Added(1, 1), Added(2, 2)});
  index.Use(Marks(1));
  index.OnEvents(BootId("b"), {Added(3, 3)});
  CHECK(index.size() == 2);
  CHECK(index.Matched(Marks(1)) == Tokens(1024));
  CHECK(index.Matched(Marks(2)) == Tokens(0));
}

}  // namespace
}  // namespace umbertrail::core
