#ifndef UMBERTRAIL_DISPATCH_CRASH_EVIDENCE_H_
#define UMBERTRAIL_DISPATCH_CRASH_EVIDENCE_H_

#include <bitset>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"

// Finds out which content of requests crashes targets, from what crashed
// targets had in hand and from requests that were answered.

namespace umbertrail::dispatch {

// What a request holds that may crash a target: the request as a whole, and the
// parts of its prompt that other requests may hold too.
struct RequestContents {
  Fingerprint whole;
  std::vector<Fingerprint> parts;
};

// A target's incarnation that crashed, and the contents of requests that it
// broke off. Reports of different instances about one crash are united.
struct TargetCrash {
  TargetId target;
  int64_t born_ms = 0;
  absl::Time at;
  std::set<Fingerprint> wholes;
  std::set<Fingerprint> parts;
};

// A request that held this content was last answered completely at `at`.
struct AnsweredContent {
  Fingerprint content;
  absl::Time at;
};

// The crashes and answers of the whole fleet, as far as known here. Content is
// blocked when enough crashed targets had it in hand and none answered a
// request that holds it. A crash that blocked content explains doesn't count
// against other content: the other requests in hand were bystanders. Contents
// that occur in the same crashes can't be told apart; then requests are blocked
// that hold all of them.
class CrashEvidence {
 public:
  // Crashes before a request with the same whole content is blocked.
  static constexpr int kMinCrashesOfRequest = 2;
  // Crashes before a part of prompts is blocked. Bystanders share parts, so
  // that fewer are no sufficient evidence.
  static constexpr int kMinCrashesOfPart = 3;
  // Retention of crashes that block nothing.
  static constexpr absl::Duration kCrashRetention = absl::Seconds(60);
  // Content stays blocked for this long after the crashes that show it.
  static constexpr absl::Duration kBlockRetention = absl::Hours(1);
  // An answer speaks for its content in crashes until this long after it.
  static constexpr absl::Duration kAnswerValidity = absl::Seconds(10);

  // Contents that are blocked where a request holds all of them.
  struct Block {
    std::set<Fingerprint> contents;
    absl::Time last_crash;
  };

  // Adds what is known of a crash; true if any of it is new and the crash isn't
  // explained by blocked content.
  bool Merge(const TargetCrash& crash, absl::Time now);
  // A target answered a request completely.
  void RecordAnswer(const RequestContents& contents, absl::Time now);
  void MergeAnswer(const AnsweredContent& answer);
  void RemoveExpired(absl::Time now);

  // The block that applies to a request; null if none does.
  const Block* FindBlock(const RequestContents& contents);
  const std::vector<Block>& blocks();
  // What other instances need to come to the same conclusions, as far as it
  // fits into one message: crashes that block content, before others that are
  // recent, and the answers that clear further contents of these crashes.
  struct Report {
    std::vector<TargetCrash> crashes;
    std::vector<AnsweredContent> answers;
  };
  Report ToTell(absl::Time now);

 private:
  // Known crashes, without those that are explained.
  static constexpr size_t kMaxCrashes = 256;
  // Contents of crashes, and likewise answers, in one report.
  static constexpr size_t kMaxToldContents = 2048;
  using CrashSet = std::bitset<kMaxCrashes>;
  using CrashKey = std::pair<TargetId, int64_t>;
  struct Occurrences;
  using OccurrencesByContent = absl::flat_hash_map<Fingerprint, Occurrences>;
  // What a crash is evidence for.
  enum class Support { kNone, kRequest, kPart };
  // The state of one evaluation.
  struct Evaluation {
    std::vector<const TargetCrash*> crashes;
    OccurrencesByContent occurrences;
    std::vector<Block> former;
    // Crashes that no block explains yet.
    CrashSet remaining;
    // Crashes beyond those needed as evidence.
    std::vector<CrashKey> surplus;
  };

  // True if an answer speaks for the content in a crash at that time.
  bool IsCleared(Fingerprint content, absl::Time crash_at) const;
  bool IsExplained(const TargetCrash& crash) const;
  // Finds out what to block: what was blocked before, then the most frequent
  // content.
  void Evaluate();
  void KeepBlock(const Block& block, Evaluation* evaluation);
  void AddBlock(std::set<Fingerprint> contents,
                const CrashSet& explained,
                Support support,
                Evaluation* evaluation);
  static OccurrencesByContent::const_iterator MostFrequent(
      const Evaluation& evaluation);
  static std::set<Fingerprint> OccurringWith(
      const OccurrencesByContent::value_type& top,
      const OccurrencesByContent& occurrences,
      const CrashSet& explained);
  static absl::Time LastCrashOf(
      const std::set<Fingerprint>& contents,
      const std::vector<Block>& former,
      const std::vector<const TargetCrash*>& supports);
  OccurrencesByContent CountOccurrences(
      const std::vector<const TargetCrash*>& crashes) const;
  std::vector<CrashKey> KeepSupports(std::vector<const TargetCrash*> supports,
                                     Support support);
  void LimitCrashes();
  // The crashes to tell, the most important first.
  std::vector<const TargetCrash*> CrashesToTell(absl::Time now) const;
  // Without contents that are cleared, which are added to `cleared`, or that
  // don't matter for a crash that is old.
  TargetCrash Condense(const TargetCrash& crash,
                       absl::Time now,
                       std::set<Fingerprint>* cleared) const;

  std::map<CrashKey, TargetCrash> crashes_;
  // Crashes that blocked content explains and that aren't needed to block it.
  std::map<CrashKey, absl::Time> explained_;
  // Crashes that support a block, and some of each block's that are told.
  std::map<CrashKey, Support> supports_;
  std::set<CrashKey> told_supports_;
  absl::flat_hash_map<Fingerprint, absl::Time> answered_;
  // Contents of known crashes that are not cleared.
  std::set<Fingerprint> suspected_;
  std::vector<Block> blocks_;
  bool is_evaluated_ = true;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_CRASH_EVIDENCE_H_
