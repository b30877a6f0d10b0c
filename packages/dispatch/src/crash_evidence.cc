#include "umbertrail/dispatch/crash_evidence.h"

#include <algorithm>
#include <bitset>
#include <iterator>
#include <tuple>

namespace umbertrail::dispatch {
namespace {

// Crashes kept as the evidence of one block, and told to others.
constexpr size_t kMaxSupports = 16;
constexpr size_t kMaxToldSupports = 4;
// Contents kept of one crash, wholes and parts each.
constexpr size_t kMaxContents = 512;
// Contents whose answers are remembered.
constexpr size_t kMaxAnswered = 16384;
// Crashes that block nothing are told to others for this long, which reaches
// everyone.
constexpr absl::Duration kToldFor = absl::Seconds(5);
// Crashes that no other block explains, before content is blocked.
constexpr int kMinUnexplained = 2;
// With this many crashes, contents that occur in all but one of them count as
// occurring in all: the report of one may be lost.
constexpr int kMinCrashesWithSlack = 4;

bool HoldsAll(const RequestContents& request,
              const std::set<Fingerprint>& contents) {
  return std::all_of(contents.begin(), contents.end(), [&](Fingerprint it) {
    return it == request.whole ||
           std::find(request.parts.begin(), request.parts.end(), it) !=
               request.parts.end();
  });
}

// Adds what is missing, up to the limit; true if anything was.
bool Unite(const std::set<Fingerprint>& from, std::set<Fingerprint>* to) {
  const size_t before = to->size();
  for (const Fingerprint content : from) {
    if (to->size() < kMaxContents) {
      to->insert(content);
    }
  }
  return to->size() > before;
}

}  // namespace

// In which crashes a content occurs.
struct CrashEvidence::Occurrences {
  CrashSet crashes;
  bool is_whole = false;

  // Number among `remaining` crashes, those that no other block explains; 0 if
  // too few to block the content.
  int Count(const CrashSet& remaining) const {
    const int count = static_cast<int>((crashes & remaining).count());
    const int total = static_cast<int>(crashes.count());
    return count >= kMinUnexplained && total >= (is_whole ? kMinCrashesOfRequest
                                                          : kMinCrashesOfPart)
               ? count
               : 0;
  }
};

bool CrashEvidence::Merge(const TargetCrash& crash, absl::Time now) {
  const CrashKey key(crash.target, crash.born_ms);
  if (explained_.count(key) > 0 || now - crash.at >= kBlockRetention) {
    return false;
  }
  const bool is_supported = supports_.count(key) > 0;
  if (!is_supported && IsExplained(crash)) {
    explained_[key] = now;
    crashes_.erase(key);
    for (Block& block : blocks_) {
      block.last_crash = std::max(block.last_crash, crash.at);
    }
    is_evaluated_ = false;
    return false;
  }
  const auto [it, is_new] = crashes_.try_emplace(key, crash);
  TargetCrash& known = it->second;
  if (is_new) {
    known.wholes.clear();
    known.parts.clear();
  }
  known.at = std::min(known.at, crash.at);
  const bool more_wholes = Unite(crash.wholes, &known.wholes);
  const bool more_parts = Unite(crash.parts, &known.parts);
  if (!more_wholes && !more_parts) {
    return false;
  }
  LimitCrashes();
  is_evaluated_ = false;
  return true;
}

void CrashEvidence::LimitCrashes() {
  // Least important first: crashes that block nothing, then the older ones.
  const auto rank = [&](const auto& entry) {
    const auto support = supports_.find(entry.first);
    return std::make_pair(
        support == supports_.end() ? Support::kNone : support->second,
        entry.second.at);
  };
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(std::min_element(
        crashes_.begin(), crashes_.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
  }
}

void CrashEvidence::RecordAnswer(const RequestContents& contents,
                                 absl::Time now) {
  MergeAnswer({contents.whole, now});
  for (const Fingerprint part : contents.parts) {
    MergeAnswer({part, now});
  }
}

void CrashEvidence::MergeAnswer(const AnsweredContent& answer) {
  if (answered_.size() >= kMaxAnswered &&
      answered_.count(answer.content) == 0) {
    return;
  }
  absl::Time& at =
      answered_.try_emplace(answer.content, absl::InfinitePast()).first->second;
  at = std::max(at, answer.at);
  if (suspected_.count(answer.content) > 0) {
    is_evaluated_ = false;
  }
}

void CrashEvidence::RemoveExpired(absl::Time now) {
  Evaluate();
  const size_t crashes_before = crashes_.size();
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    const absl::Duration retention =
        supports_.count(it->first) > 0 ? kBlockRetention : kCrashRetention;
    it = now - it->second.at >= retention ? crashes_.erase(it) : std::next(it);
  }
  for (auto it = explained_.begin(); it != explained_.end();) {
    it = now - it->second >= kCrashRetention ? explained_.erase(it)
                                             : std::next(it);
  }
  std::set<Fingerprint> known;
  for (const auto& [key, crash] : crashes_) {
    known.insert(crash.wholes.begin(), crash.wholes.end());
    known.insert(crash.parts.begin(), crash.parts.end());
  }
  absl::erase_if(answered_, [&](const auto& answer) {
    return now - answer.second >= kAnswerValidity &&
           known.count(answer.first) == 0;
  });
  is_evaluated_ = crashes_.size() == crashes_before;
}

bool CrashEvidence::IsCleared(Fingerprint content, absl::Time crash_at) const {
  const auto found = answered_.find(content);
  return found != answered_.end() &&
         found->second >= crash_at - kAnswerValidity;
}

bool CrashEvidence::IsExplained(const TargetCrash& crash) const {
  return std::any_of(blocks_.begin(), blocks_.end(), [&](const Block& block) {
    return std::all_of(block.contents.begin(), block.contents.end(),
                       [&](Fingerprint content) {
                         return crash.parts.count(content) > 0 ||
                                crash.wholes.count(content) > 0;
                       });
  });
}

CrashEvidence::OccurrencesByContent CrashEvidence::CountOccurrences(
    const std::vector<const TargetCrash*>& crashes) const {
  OccurrencesByContent occurrences;
  for (size_t i = 0; i < crashes.size(); ++i) {
    for (const auto* contents : {&crashes[i]->wholes, &crashes[i]->parts}) {
      for (const Fingerprint content : *contents) {
        if (!IsCleared(content, crashes[i]->at)) {
          Occurrences& seen = occurrences[content];
          seen.crashes.set(i);
          seen.is_whole = contents == &crashes[i]->wholes;
        }
      }
    }
  }
  return occurrences;
}

void CrashEvidence::Evaluate() {
  if (is_evaluated_) {
    return;
  }
  is_evaluated_ = true;
  std::vector<const TargetCrash*> crashes;
  for (const auto& [key, crash] : crashes_) {
    crashes.push_back(&crash);
  }
  OccurrencesByContent occurrences = CountOccurrences(crashes);
  suspected_.clear();
  for (const auto& [content, seen] : occurrences) {
    suspected_.insert(content);
  }
  // Most contents occur in one crash and matter no further.
  absl::erase_if(occurrences, [](const auto& entry) {
    return entry.second.crashes.count() < 2;
  });
  const std::vector<Block> former = std::move(blocks_);
  blocks_.clear();
  supports_.clear();
  told_supports_.clear();
  Evaluation evaluation{
      std::move(crashes), std::move(occurrences), former, CrashSet().set(), {}};
  for (const Block& block : former) {
    KeepBlock(block, &evaluation);
  }
  for (auto top = MostFrequent(evaluation); top != evaluation.occurrences.end();
       top = MostFrequent(evaluation)) {
    const CrashSet explained = top->second.crashes & evaluation.remaining;
    AddBlock(OccurringWith(*top, evaluation.occurrences, explained), explained,
             top->second.is_whole ? Support::kRequest : Support::kPart,
             &evaluation);
  }
  for (const CrashKey& key : evaluation.surplus) {
    explained_[key] = crashes_[key].at;
    crashes_.erase(key);
  }
}

// A block of parts stays, unless answers clear its contents. As requests with
// these are sent no more, no crash adds to its evidence, while other contents
// gather crashes by chance. Parts that occur in crashes without the others of
// the block are blocked by themselves.
void CrashEvidence::KeepBlock(const Block& block, Evaluation* evaluation) {
  std::set<Fingerprint> contents;
  CrashSet together = evaluation->remaining;
  for (const Fingerprint content : block.contents) {
    const auto found = evaluation->occurrences.find(content);
    if (found != evaluation->occurrences.end() && !found->second.is_whole) {
      contents.insert(content);
      together &= found->second.crashes;
    }
  }
  if (contents.empty() ||
      static_cast<int>(together.count()) < kMinCrashesOfPart) {
    return;
  }
  bool is_split = false;
  for (const Fingerprint content : contents) {
    const CrashSet with_content =
        evaluation->occurrences.at(content).crashes & evaluation->remaining;
    if (static_cast<int>((with_content & ~together).count()) >=
        kMinUnexplained) {
      is_split = true;
      AddBlock({content}, with_content, Support::kPart, evaluation);
    }
  }
  if (!is_split) {
    AddBlock(std::move(contents), together, Support::kPart, evaluation);
  }
}

void CrashEvidence::AddBlock(std::set<Fingerprint> contents,
                             const CrashSet& explained,
                             Support support,
                             Evaluation* evaluation) {
  std::vector<const TargetCrash*> supports;
  for (size_t i = 0; i < evaluation->crashes.size(); ++i) {
    if (explained.test(i)) {
      supports.push_back(evaluation->crashes[i]);
    }
  }
  Block block;
  block.contents = std::move(contents);
  block.last_crash = LastCrashOf(block.contents, evaluation->former, supports);
  blocks_.push_back(std::move(block));
  for (CrashKey& key : KeepSupports(std::move(supports), support)) {
    evaluation->surplus.push_back(std::move(key));
  }
  evaluation->remaining &= ~explained;
}

// The content that explains most of the remaining crashes, if enough to block
// it. Of equals, a request as a whole comes first: its parts may be harmless
// elsewhere.
CrashEvidence::OccurrencesByContent::const_iterator CrashEvidence::MostFrequent(
    const Evaluation& evaluation) {
  const OccurrencesByContent& occurrences = evaluation.occurrences;
  const CrashSet& remaining = evaluation.remaining;
  const auto rank = [&](const auto& entry) {
    return std::make_tuple(entry.second.Count(remaining), entry.second.is_whole,
                           entry.first);
  };
  const auto top = std::max_element(
      occurrences.begin(), occurrences.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return top == occurrences.end() || top->second.Count(remaining) == 0
             ? occurrences.end()
             : top;
}

// The content with the parts that can't be told apart from it.
std::set<Fingerprint> CrashEvidence::OccurringWith(
    const OccurrencesByContent::value_type& top,
    const OccurrencesByContent& occurrences,
    const CrashSet& explained) {
  std::set<Fingerprint> contents = {top.first};
  if (top.second.is_whole) {
    return contents;
  }
  const size_t count = explained.count();
  const size_t slack = count >= kMinCrashesWithSlack ? 1 : 0;
  for (const auto& [content, seen] : occurrences) {
    if (!seen.is_whole && (seen.crashes & explained).count() + slack >= count) {
      contents.insert(content);
    }
  }
  return contents;
}

// Includes crashes that were dropped since these contents were blocked.
absl::Time CrashEvidence::LastCrashOf(
    const std::set<Fingerprint>& contents,
    const std::vector<Block>& former,
    const std::vector<const TargetCrash*>& supports) {
  absl::Time last = absl::InfinitePast();
  for (const TargetCrash* crash : supports) {
    last = std::max(last, crash->at);
  }
  for (const Block& before : former) {
    if (before.contents == contents) {
      last = std::max(last, before.last_crash);
    }
  }
  return last;
}

// Keeps the earliest crashes as evidence of a block and returns the others.
std::vector<CrashEvidence::CrashKey> CrashEvidence::KeepSupports(
    std::vector<const TargetCrash*> supports,
    Support support) {
  std::sort(supports.begin(), supports.end(),
            [](const TargetCrash* a, const TargetCrash* b) {
              return std::tie(a->at, a->target) < std::tie(b->at, b->target);
            });
  std::vector<CrashKey> surplus;
  for (size_t i = 0; i < supports.size(); ++i) {
    const CrashKey key(supports[i]->target, supports[i]->born_ms);
    if (i < kMaxToldSupports) {
      told_supports_.insert(key);
    }
    if (i < kMaxSupports) {
      supports_[key] = support;
    } else {
      surplus.push_back(key);
    }
  }
  return surplus;
}

const CrashEvidence::Block* CrashEvidence::FindBlock(
    const RequestContents& contents) {
  Evaluate();
  const auto found = std::find_if(
      blocks_.begin(), blocks_.end(),
      [&](const Block& block) { return HoldsAll(contents, block.contents); });
  return found == blocks_.end() ? nullptr : &*found;
}

const std::vector<CrashEvidence::Block>& CrashEvidence::blocks() {
  Evaluate();
  return blocks_;
}

std::vector<const TargetCrash*> CrashEvidence::CrashesToTell(
    absl::Time now) const {
  std::vector<const TargetCrash*> told;
  for (const auto& [key, crash] : crashes_) {
    if (now - crash.at < kToldFor || told_supports_.count(key) > 0) {
      told.push_back(&crash);
    }
  }
  // Evidence of blocks, then the latest.
  const auto rank = [&](const TargetCrash* crash) {
    const bool supports =
        told_supports_.count({crash->target, crash->born_ms}) > 0;
    return std::make_tuple(!supports, now - crash->at);
  };
  std::stable_sort(told.begin(), told.end(),
                   [&](const TargetCrash* a, const TargetCrash* b) {
                     return rank(a) < rank(b);
                   });
  return told;
}

TargetCrash CrashEvidence::Condense(const TargetCrash& crash,
                                    absl::Time now,
                                    std::set<Fingerprint>* cleared) const {
  const auto support = supports_.find({crash.target, crash.born_ms});
  // Parts of a crash that shows no part yet may come up again.
  const bool only_blocked = now - crash.at >= kToldFor &&
                            support != supports_.end() &&
                            support->second == Support::kPart;
  const auto is_blocked = [&](Fingerprint content) {
    return std::any_of(blocks_.begin(), blocks_.end(), [&](const Block& block) {
      return block.contents.count(content) > 0;
    });
  };
  TargetCrash told = crash;
  for (auto* contents : {&told.wholes, &told.parts}) {
    for (auto it = contents->begin(); it != contents->end();) {
      const bool is_cleared = IsCleared(*it, crash.at);
      if (is_cleared) {
        cleared->insert(*it);
      }
      it = is_cleared || (only_blocked && !is_blocked(*it))
               ? contents->erase(it)
               : std::next(it);
    }
  }
  return told;
}

CrashEvidence::Report CrashEvidence::ToTell(absl::Time now) {
  Evaluate();
  Report report;
  std::set<Fingerprint> cleared;
  size_t told_contents = 0;
  for (const TargetCrash* crash : CrashesToTell(now)) {
    TargetCrash told = Condense(*crash, now, &cleared);
    const size_t contents = told.wholes.size() + told.parts.size();
    if (contents > 0 && told_contents + contents <= kMaxToldContents) {
      told_contents += contents;
      report.crashes.push_back(std::move(told));
    }
  }
  for (const Fingerprint content : cleared) {
    if (report.answers.size() < kMaxToldContents) {
      report.answers.push_back({content, answered_.find(content)->second});
    }
  }
  return report;
}

}  // namespace umbertrail::dispatch
