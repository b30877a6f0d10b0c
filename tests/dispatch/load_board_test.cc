#include "umbertrail/dispatch/load_board.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace umbertrail::dispatch {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const TargetId kTarget("t");

WorkItem Prefilling() {
  WorkItem item;
  item.sent_at = kStart;
  item.prefilling = true;
  return item;
}

TEST_CASE("a target's load includes own and peers' requests") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Prefilling());
  board.SetPeerLoad(InstanceId("p"), kTarget, {Prefilling(), Prefilling()});
  CHECK(board.LoadAt(kTarget, kStart).size() == 3);
  CHECK(board.OwnLoadAt(kTarget).size() == 1);
  board.End(id);
  CHECK(board.LoadAt(kTarget, kStart).size() == 2);
  board.SetPeerLoad(InstanceId("p"), kTarget, {});
  CHECK(board.LoadAt(kTarget, kStart).empty());
}

TEST_CASE("a finished prefill is reported once") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Prefilling());
  CHECK(board.MarkPrefilled(id, kStart));
  CHECK_FALSE(board.MarkPrefilled(id, kStart));
  CHECK_FALSE(board.LoadAt(kTarget, kStart).front().prefilling);
}

TEST_CASE("changed targets are reported once") {
  LoadBoard board;
  int told = 0;
  board.SetOnChange([&] { ++told; });
  const WorkId id = board.Begin(kTarget, Prefilling());
  CHECK(board.TakeChangedTargets() == std::vector<TargetId>{kTarget});
  CHECK(board.TakeChangedTargets().empty());
  board.End(id);
  CHECK(board.TakeChangedTargets() == std::vector<TargetId>{kTarget});
  CHECK(told == 2);
}

TEST_CASE("the load of a timed-out peer is removed") {
  LoadBoard board;
  board.RecordHeartbeat(InstanceId("p"), kStart);
  board.SetPeerLoad(InstanceId("p"), kTarget, {Prefilling()});
  board.RemoveTimedOutPeers(kStart + LoadBoard::kPeerTimeout);
  CHECK(board.LoadAt(kTarget, kStart).size() == 1);
  board.RemoveTimedOutPeers(kStart + LoadBoard::kPeerTimeout +
                            absl::Milliseconds(1));
  CHECK(board.LoadAt(kTarget, kStart).empty());
}

TEST_CASE("a reservation counts until it is reported or expires") {
  LoadBoard board;
  const InstanceId asker("p");
  constexpr absl::Duration kReservationTime = absl::Milliseconds(60);
  const absl::Time until = kStart + kReservationTime;
  board.Reserve(asker, kTarget, Prefilling(), kStart, kReservationTime);
  CHECK(board.LoadAt(kTarget, kStart).size() == 1);
  CHECK(board.LoadAt(kTarget, until).empty());
  // Another peer's report doesn't release this reservation.
  board.SetPeerLoad(InstanceId("q"), kTarget, {Prefilling()});
  CHECK(board.LoadAt(kTarget, kStart).size() == 2);
  board.SetPeerLoad(asker, kTarget, {Prefilling()});
  CHECK(board.LoadAt(kTarget, kStart).size() == 2);
  CHECK(board.LoadAt(kTarget, until).size() == 2);
}

TEST_CASE("expired reservations are dropped") {
  LoadBoard board;
  constexpr absl::Duration kReservationTime = absl::Milliseconds(60);
  for (int i = 0; i < 1000; ++i) {
    board.Reserve(InstanceId("p"), kTarget, Prefilling(),
                  kStart + kReservationTime * i, kReservationTime);
  }
  CHECK(board.CountReservations(kTarget) == 1);
}

TEST_CASE("a restarted peer has no load") {
  LoadBoard board;
  const TargetId other("u");
  board.SetPeerLoad(InstanceId("p"), kTarget, {Prefilling()});
  board.SetPeerLoad(InstanceId("p"), other, {Prefilling()});
  board.SetPeerLoad(InstanceId("q"), other, {Prefilling()});
  board.RemovePeer(InstanceId("p"));
  CHECK(board.LoadAt(kTarget, kStart).empty());
  CHECK(board.LoadAt(other, kStart).size() == 1);
}

TEST_CASE("ending work twice changes nothing") {
  LoadBoard board;
  const WorkId id = board.Begin(kTarget, Prefilling());
  board.End(id);
  board.End(id);
  CHECK(board.OwnTargets().empty());
}

// Datagrams with ever new targets filled the memory.
TEST_CASE("the load that peers report is bounded") {
  constexpr size_t kMost = 131072;
  constexpr size_t kItems = 1000;
  constexpr size_t kReports = 2 * kMost / kItems;
  LoadBoard board;
  const InstanceId peer("p");
  const std::vector<WorkItem> items(kItems, Prefilling());
  const auto name = [](size_t i) { return TargetId("t" + std::to_string(i)); };
  for (size_t i = 0; i < kReports; ++i) {
    board.SetPeerLoad(peer, name(i), items);
    // Replacing a report takes no more.
    board.SetPeerLoad(peer, name(0), items);
  }
  size_t held = 0;
  for (size_t i = 0; i < kReports; ++i) {
    held += board.LoadAt(name(i), kStart).size();
  }
  CHECK(held <= kMost);
  CHECK(held > kMost - kItems);
  // What the peer no longer reports makes room.
  board.RemovePeer(peer);
  board.SetPeerLoad(InstanceId("q"), kTarget, items);
  CHECK(board.LoadAt(kTarget, kStart).size() == kItems);
}

}  // namespace
}  // namespace umbertrail::dispatch
