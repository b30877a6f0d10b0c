#include <catch2/catch.hpp>

#include <algorithm>

#include "umbertrail/base.h"
#include "umbertrail/core/request/answer_assembler.h"

namespace umbertrail::core {
namespace {

AnswerPart Part(int64_t offset, int64_t tokens) {
  return {Tokens(offset), Tokens(tokens), std::to_string(offset)};
}

TEST_CASE("parts in any order come out in place, each once") {
  auto random = MakeSeededRandom(11);
  for (int run = 0; run < 200; ++run) {
    std::vector<AnswerPart> parts;
    int64_t end = 0;
    while (end < 60) {
      const auto n = static_cast<int64_t>(1 + random->Below(5));
      parts.push_back(Part(end, n));
      end += n;
    }
    const std::size_t repeats = random->Below(5);
    for (std::size_t i = 0; i < repeats; ++i) {
      parts.push_back(parts[random->Below(parts.size())]);
    }
    for (std::size_t i = parts.size(); i > 1; --i) {
      std::swap(parts[i - 1], parts[random->Below(i)]);
    }
    AnswerAssembler assembler;
    std::vector<AnswerPart> released;
    for (const AnswerPart& it : parts) {
      CHECK(assembler.Add(it, &released) == AnswerAssembler::Verdict::kOk);
    }
    int64_t next = 0;
    for (const AnswerPart& it : released) {
      CHECK(it.offset == Tokens(next));
      next += it.tokens.value();
    }
    CHECK(assembler.IsWhole(Tokens(end)));
    CHECK_FALSE(assembler.IsWhole(Tokens(end + 1)));
  }
}

TEST_CASE("a part that overlaps what was released is inconsistent") {
  AnswerAssembler assembler;
  std::vector<AnswerPart> released;
  assembler.Add(Part(0, 4), &released);
  CHECK(assembler.Add(Part(2, 4), &released) ==
        AnswerAssembler::Verdict::kInconsistent);
  CHECK(assembler.Add(Part(4, 0), &released) ==
        AnswerAssembler::Verdict::kInconsistent);
  CHECK(assembler.delivered() == Tokens(4));
}

TEST_CASE("an answer with a missing part is not whole") {
  AnswerAssembler assembler;
  std::vector<AnswerPart> released;
  assembler.Add(Part(0, 4), &released);
  assembler.Add(Part(8, 4), &released);
  CHECK_FALSE(assembler.IsWhole(Tokens(4)));
  CHECK_FALSE(assembler.IsWhole(Tokens(12)));
  assembler.DropWaiting();
  CHECK(assembler.delivered() == Tokens(4));
}

}  // namespace
}  // namespace umbertrail::core
