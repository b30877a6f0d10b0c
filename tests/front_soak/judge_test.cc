#include "judge.h"

#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"

namespace umbertrail::soak {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

Asked Ask(Kind kind, const std::string& answer) {
  Asked asked;
  asked.id = "r1";
  asked.kind = kind;
  asked.sent_at = kStart;
  asked.ended_at = kStart + absl::Milliseconds(20);
  asked.limit = absl::Seconds(6);
  asked.answer = answer;
  return asked;
}

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\n\r\n" + body;
}

std::string Stream(int from, int to, bool ends) {
  std::string answer = Ok("");
  for (int i = from; i <= to; ++i) {
    const std::string event = EventFor("r1", i);
    absl::StrAppend(&answer, absl::Hex(event.size()), "\r\n", event, "\r\n");
  }
  return answer + (ends ? "0\r\n\r\n" : "");
}

size_t FaultsOf(const Asked& asked, int runs = 1) {
  Judge judge;
  for (int i = 0; i < runs; ++i) {
    judge.Ran(kStart, asked.id, "club");
  }
  judge.Ended(asked);
  return judge.faults().size();
}

TEST_CASE("whole answers are good") {
  CHECK(FaultsOf(Ask(Kind::kSafe, Ok(BodyFor("r1")))) == 0);
  CHECK(FaultsOf(Ask(Kind::kStream, Stream(1, kEvents, true))) == 0);
}

TEST_CASE("an answer that is another's, short, doubled or mixed is a fault") {
  CHECK(FaultsOf(Ask(Kind::kSafe, Ok(BodyFor("r2")))) > 0);
  CHECK(FaultsOf(Ask(Kind::kStream, Stream(1, kEvents - 1, true))) > 0);
  CHECK(FaultsOf(Ask(Kind::kStream, Stream(2, kEvents, true))) > 0);
}

TEST_CASE("a cut is a fault unless something broke") {
  const Asked cut = Ask(Kind::kStream, Stream(1, 3, false));
  CHECK(FaultsOf(cut) == 1);
  CHECK(FaultsOf(Ask(Kind::kSafe, "")) == 1);
  Judge judge;
  judge.NoteBreak(kStart + absl::Seconds(1));
  judge.Ended(cut);
  CHECK(judge.faults().empty());
  CHECK(judge.counts()["cut"] == 1);
}

TEST_CASE("a refusal that says not run must be true and say when to return") {
  const std::string refusal =
      "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
  CHECK(FaultsOf(Ask(Kind::kUnsafe, refusal), 0) == 0);
  CHECK(FaultsOf(Ask(Kind::kUnsafe, refusal), 1) == 1);
  CHECK(FaultsOf(Ask(Kind::kSafe, "HTTP/1.1 503 X\r\n\r\n"), 0) == 1);
  CHECK(FaultsOf(Ask(Kind::kSafe, "HTTP/1.1 401 X\r\n\r\n"), 0) == 0);
}

TEST_CASE("what may not be repeated runs once, whatever broke") {
  Judge judge;
  judge.NoteBreak(kStart + absl::Seconds(9));
  judge.Ran(kStart, "r1", "club");
  judge.Ran(kStart, "r1", "club");
  judge.Ended(Ask(Kind::kUnsafe, "HTTP/1.1 502 X\r\n\r\n"));
  CHECK(judge.faults().size() == 1);
}

TEST_CASE("nothing runs with a key that is out of force") {
  Judge judge;
  judge.NoteRevoked("crew", kStart);
  judge.Ran(kStart - absl::Seconds(1), "r1", "crew");
  judge.Ran(kStart + absl::Seconds(1), "r2", "club");
  CHECK(judge.faults().empty());
  judge.Ran(kStart + absl::Seconds(1), "r3", "crew");
  CHECK(judge.faults().size() == 1);
  judge.NoteGranted("crew");
  judge.Ran(kStart + absl::Seconds(2), "r4", "crew");
  CHECK(judge.faults().size() == 1);
}

TEST_CASE("an answer long after its time is a fault") {
  Asked late = Ask(Kind::kSafe, Ok(BodyFor("r1")));
  late.ended_at = late.sent_at + late.limit + absl::Seconds(6);
  CHECK(FaultsOf(late) == 1);
}

}  // namespace
}  // namespace umbertrail::soak
