#include "umbertrail/dispatch/load_board.h"

#include <catch2/catch.hpp>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const TargetId kTarget("t");

WorkItem Reading() {
  WorkItem item;
  item.since = kStart;
  item.reading = true;
  return item;
}

TEST_CASE("a target's work is its own and that of all peers") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Reading());
  board.SetPeer(InstanceId("p"), kTarget, {Reading(), Reading()});
  CHECK(board.At(kTarget, kStart).size() == 3);
  CHECK(board.OwnAt(kTarget).size() == 1);
  board.End(id);
  CHECK(board.At(kTarget, kStart).size() == 2);
  board.SetPeer(InstanceId("p"), kTarget, {});
  CHECK(board.At(kTarget, kStart).empty());
}

TEST_CASE("a read prompt is told once") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Reading());
  CHECK(board.NoteRead(id));
  CHECK_FALSE(board.NoteRead(id));
  CHECK_FALSE(board.At(kTarget, kStart).front().reading);
}

TEST_CASE("changes are named once") {
  LoadBoard board;
  int told = 0;
  board.SetOnChange([&] { ++told; });
  const WorkId id = board.Begin(kTarget, Reading());
  CHECK(board.TakeChanged() == std::vector<TargetId>{kTarget});
  CHECK(board.TakeChanged().empty());
  board.End(id);
  CHECK(board.TakeChanged() == std::vector<TargetId>{kTarget});
  CHECK(told == 2);
}

TEST_CASE("a peer that falls silent takes its work with it") {
  LoadBoard board;
  board.NotePeer(InstanceId("p"), kStart);
  board.SetPeer(InstanceId("p"), kTarget, {Reading()});
  board.ForgetSilent(kStart + LoadBoard::kPeerTimeout);
  CHECK(board.At(kTarget, kStart).size() == 1);
  board.ForgetSilent(kStart + LoadBoard::kPeerTimeout + absl::Milliseconds(1));
  CHECK(board.At(kTarget, kStart).empty());
}

TEST_CASE("a held place counts until its work is told or its time is up") {
  LoadBoard board;
  const InstanceId asker("p");
  constexpr absl::Duration kHeld = absl::Milliseconds(60);
  const absl::Time until = kStart + kHeld;
  board.Hold(asker, kTarget, Reading(), kStart, kHeld);
  CHECK(board.At(kTarget, kStart).size() == 1);
  CHECK(board.At(kTarget, until).empty());
  // Another peer's report doesn't release this reservation.
  board.SetPeer(InstanceId("q"), kTarget, {Reading()});
  CHECK(board.At(kTarget, kStart).size() == 2);
  board.SetPeer(asker, kTarget, {Reading()});
  CHECK(board.At(kTarget, kStart).size() == 2);
  CHECK(board.At(kTarget, until).size() == 2);
}

TEST_CASE("places that nobody took aren't kept") {
  LoadBoard board;
  constexpr absl::Duration kHeld = absl::Milliseconds(60);
  for (int i = 0; i < 1000; ++i) {
    board.Hold(InstanceId("p"), kTarget, Reading(), kStart + kHeld * i, kHeld);
  }
  CHECK(board.CountReservations(kTarget) == 1);
}

TEST_CASE("a peer that starts anew has nothing anywhere") {
  LoadBoard board;
  const TargetId other("u");
  board.SetPeer(InstanceId("p"), kTarget, {Reading()});
  board.SetPeer(InstanceId("p"), other, {Reading()});
  board.SetPeer(InstanceId("q"), other, {Reading()});
  board.ForgetPeer(InstanceId("p"));
  CHECK(board.At(kTarget, kStart).empty());
  CHECK(board.At(other, kStart).size() == 1);
}

TEST_CASE("ending work twice changes nothing") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Reading());
  board.End(id);
  board.End(id);
  CHECK(board.OwnTargets().empty());
}

}  // namespace
}  // namespace umbertrail::dispatch
