#include "umbertrail/core/request/answer_assembler.h"

#include <utility>

namespace umbertrail::core {

AnswerAssembler::Verdict AnswerAssembler::Add(
    AnswerPart part,
    std::vector<AnswerPart>* released) {
  if (part.tokens <= Tokens(0)) {
    return Verdict::kInconsistent;
  }
  if (part.offset + part.tokens <= delivered_) {
    return Verdict::kOk;
  }
  if (part.offset < delivered_ || waiting_.size() >= kMaxWaiting) {
    return Verdict::kInconsistent;
  }
  waiting_.emplace(part.offset, std::move(part));
  auto it = waiting_.find(delivered_);
  while (it != waiting_.end()) {
    delivered_ += it->second.tokens;
    released->push_back(std::move(it->second));
    waiting_.erase(it);
    it = waiting_.find(delivered_);
  }
  return Verdict::kOk;
}

}  // namespace umbertrail::core
