#ifndef UMBERTRAIL_CORE_REQUEST_ANSWER_ASSEMBLER_H_
#define UMBERTRAIL_CORE_REQUEST_ANSWER_ASSEMBLER_H_

#include <map>
#include <string>
#include <vector>

#include "umbertrail/base.h"

namespace umbertrail::core {

// One part of an answer at its place.
struct AnswerPart {
  Tokens offset;
  Tokens tokens;
  std::string text;
};

// Puts an answer's parts in place by offset and releases them in order, each
// token once. Parts that came before are dropped; parts ahead of their turn
// wait, up to kMaxWaiting.
class AnswerAssembler {
 public:
  // A stream that runs further ahead has lost a part for good.
  static constexpr std::size_t kMaxWaiting = 64;

  enum class Verdict {
    kOk,
    // The part overlaps what was released, has no tokens, or too many wait.
    kInconsistent,
  };

  // Takes a part and appends to `released` what is now in order.
  Verdict Add(AnswerPart part, std::vector<AnswerPart>* released);

  // Drops parts that wait; what was released stays. For a new attempt.
  void DropWaiting() { waiting_.clear(); }

  // Tokens released so far: where a resumed attempt goes on.
  Tokens delivered() const { return delivered_; }

  // Whether an answer of `total` tokens was released whole.
  bool IsWhole(Tokens total) const {
    return total == delivered_ && waiting_.empty();
  }

 private:
  Tokens delivered_;
  std::map<Tokens, AnswerPart> waiting_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_ANSWER_ASSEMBLER_H_
