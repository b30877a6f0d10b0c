#include "umbertrail/dispatch/crash_evidence.h"

#include <catch2/catch.hpp>
#include <string>

namespace umbertrail::dispatch {
namespace {

using Parts = std::set<Fingerprint>;

const absl::Time kStart = absl::FromUnixSeconds(1000);
const Fingerprint kSystem(1);
const Fingerprint kBad(2);
const Fingerprint kDocument(3);
const Fingerprint kRequest(7);

TargetCrash CrashOf(int target, const Parts& wholes, const Parts& parts) {
  return {TargetId("t" + std::to_string(target)), 1, kStart, wholes, parts};
}

// A request that is unlike any other.
RequestContents Ask(const std::vector<Fingerprint>& parts) {
  static uint64_t next = 1000;
  return {Fingerprint(next++), parts};
}

TEST_CASE("content that crashed two targets is refused") {
  CrashEvidence evidence;
  CHECK(evidence.Merge(CrashOf(1, {kRequest}, {}), kStart));
  CHECK(evidence.FindBlock({kRequest, {}}) == nullptr);
  CHECK(evidence.Merge(CrashOf(2, {kRequest}, {}), kStart));
  CHECK(evidence.FindBlock({kRequest, {}}) != nullptr);
  CHECK(evidence.FindBlock({Fingerprint(8), {}}) == nullptr);
}

TEST_CASE("repeated reports of a crash count once") {
  CrashEvidence evidence;
  CHECK(evidence.Merge(CrashOf(1, {kRequest}, {}), kStart));
  CHECK_FALSE(evidence.Merge(CrashOf(1, {kRequest}, {}), kStart));
  CHECK(evidence.FindBlock({kRequest, {}}) == nullptr);
}

TEST_CASE("crashes that block nothing expire, and blocked content stays") {
  CrashEvidence evidence;
  evidence.Merge(CrashOf(1, {kRequest}, {}), kStart);
  evidence.RemoveExpired(kStart + CrashEvidence::kCrashRetention);
  evidence.Merge(CrashOf(2, {kRequest}, {}), kStart);
  CHECK(evidence.FindBlock({kRequest, {}}) == nullptr);
  evidence.Merge(CrashOf(3, {kRequest}, {}), kStart);
  evidence.RemoveExpired(kStart + CrashEvidence::kCrashRetention);
  CHECK(evidence.FindBlock({kRequest, {}}) != nullptr);
  evidence.RemoveExpired(kStart + CrashEvidence::kBlockRetention);
  CHECK(evidence.FindBlock({kRequest, {}}) == nullptr);
}

TEST_CASE("a part that three crashed targets had in hand is blocked") {
  CrashEvidence evidence;
  evidence.RecordAnswer(Ask({kSystem}), kStart);
  for (int i = 0; i < 3; ++i) {
    CHECK(evidence.FindBlock(Ask({kSystem, kBad})) == nullptr);
    evidence.Merge(CrashOf(i, {Ask({}).whole}, {kSystem, kBad}), kStart);
  }
  CHECK(evidence.FindBlock(Ask({kSystem, kBad})) != nullptr);
  CHECK(evidence.FindBlock(Ask({kBad, kDocument})) != nullptr);
  CHECK(evidence.FindBlock(Ask({kSystem, kDocument})) == nullptr);
}

TEST_CASE("parts that can't be told apart are blocked together only") {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    evidence.Merge(CrashOf(i, {}, {kSystem, kBad}), kStart);
  }
  CHECK(evidence.FindBlock(Ask({kSystem, kBad})) != nullptr);
  CHECK(evidence.FindBlock(Ask({kSystem})) == nullptr);
  CHECK(evidence.FindBlock(Ask({kBad})) == nullptr);
  // A later answer tells them apart.
  evidence.RecordAnswer(Ask({kSystem}), kStart + absl::Seconds(1));
  CHECK(evidence.FindBlock(Ask({kBad})) != nullptr);
}

TEST_CASE("an answer clears its contents, also of an earlier block") {
  CrashEvidence evidence;
  for (int i = 0; i < 3; ++i) {
    evidence.Merge(CrashOf(i, {}, {kDocument}), kStart);
  }
  REQUIRE(evidence.FindBlock(Ask({kDocument})) != nullptr);
  evidence.MergeAnswer({kDocument, kStart + absl::Seconds(5)});
  CHECK(evidence.FindBlock(Ask({kDocument})) == nullptr);
}

TEST_CASE("an answer doesn't clear contents of much later crashes") {
  CrashEvidence evidence;
  evidence.MergeAnswer(
      {kBad, kStart - CrashEvidence::kAnswerValidity - absl::Milliseconds(1)});
  for (int i = 0; i < 3; ++i) {
    evidence.Merge(CrashOf(i, {}, {kBad}), kStart);
  }
  CHECK(evidence.FindBlock(Ask({kBad})) != nullptr);
}

TEST_CASE("bystanders of crashes that a blocked part explains stay allowed") {
  CrashEvidence evidence;
  const RequestContents bystander{kRequest, {kDocument}};
  for (int i = 0; i < 5; ++i) {
    const bool present = i < 3;
    evidence.Merge(CrashOf(i, present ? Parts{kRequest} : Parts{},
                           present ? Parts{kBad, kDocument} : Parts{kBad}),
                   kStart);
  }
  CHECK(evidence.FindBlock(Ask({kBad})) != nullptr);
  CHECK(evidence.FindBlock(bystander) == nullptr);
  // Further crashes by the blocked part change nothing.
  for (int i = 5; i < 200; ++i) {
    CHECK_FALSE(evidence.Merge(
        CrashOf(i, {kRequest}, {kBad, kDocument, Fingerprint(9)}), kStart));
  }
  CHECK(evidence.FindBlock(bystander) == nullptr);
}

TEST_CASE("a part is found among hundreds that crashed targets had in hand") {
  CrashEvidence evidence;
  uint64_t next = 5000;
  for (int crash = 0; crash < 3; ++crash) {
    // Each report is that of one instance.
    for (int report = 0; report < 8; ++report) {
      Parts parts;
      for (int i = 0; i < 30; ++i) {
        parts.insert(Fingerprint(next++));
      }
      if (report == 7) {
        parts.insert(kBad);
      }
      evidence.Merge(CrashOf(crash, {}, parts), kStart);
    }
  }
  CHECK(evidence.FindBlock(Ask({kBad})) != nullptr);
}

TEST_CASE("a crash is told beside the evidence of several blocked parts") {
  CrashEvidence evidence;
  uint64_t next = 5000;
  int target = 0;
  const auto crash_with = [&](Fingerprint part, absl::Time at) {
    TargetCrash crash = CrashOf(target++, {}, {part});
    crash.at = at;
    for (int i = 0; i < 30; ++i) {
      crash.wholes.insert(Fingerprint(next++));
    }
    evidence.Merge(crash, at);
  };
  for (uint64_t part = 2; part < 5; ++part) {
    for (int i = 0; i < 16; ++i) {
      crash_with(Fingerprint(part), kStart);
    }
    REQUIRE(evidence.FindBlock(Ask({Fingerprint(part)})) != nullptr);
  }
  const absl::Time later = kStart + absl::Minutes(1);
  crash_with(Fingerprint(9), later);
  CrashEvidence told;
  for (const TargetCrash& crash : evidence.ToTell(later).crashes) {
    told.Merge(crash, later);
  }
  for (uint64_t part = 2; part < 5; ++part) {
    CHECK(told.FindBlock(Ask({Fingerprint(part)})) != nullptr);
  }
  // Two more are enough where the first was told.
  for (int i = 0; i < 2; ++i) {
    told.Merge(CrashOf(target++, {}, {Fingerprint(9)}), later);
  }
  CHECK(told.FindBlock(Ask({Fingerprint(9)})) != nullptr);
}

TEST_CASE("two parts that crash targets are both blocked") {
  CrashEvidence evidence;
  const Fingerprint other(4);
  for (int i = 0; i < 4; ++i) {
    evidence.Merge(CrashOf(i, {}, {kBad}), kStart);
    evidence.Merge(CrashOf(10 + i, {}, {other}), kStart);
  }
  CHECK(evidence.FindBlock(Ask({kBad})) != nullptr);
  CHECK(evidence.FindBlock(Ask({other})) != nullptr);
}

TEST_CASE("an instance is told all that it needs for the same blocks") {
  CrashEvidence evidence;
  evidence.RecordAnswer(Ask({kSystem}), kStart);
  for (int i = 0; i < 40; ++i) {
    evidence.Merge(CrashOf(i, {}, {kSystem, kBad, Fingerprint(100 + i)}),
                   kStart);
  }
  const CrashEvidence::Report report =
      evidence.ToTell(kStart + absl::Minutes(1));
  CHECK(report.crashes.size() <= 16);
  CrashEvidence told;
  for (const TargetCrash& crash : report.crashes) {
    CHECK(told.Merge(crash, kStart));
  }
  for (const AnsweredContent& answer : report.answers) {
    told.MergeAnswer(answer);
  }
  CHECK(told.FindBlock(Ask({kBad})) != nullptr);
  CHECK(told.FindBlock(Ask({kSystem})) == nullptr);
}

}  // namespace
}  // namespace umbertrail::dispatch
