#include <catch2/catch.hpp>

#include "umbertrail/core/owner/target_queue.h"

namespace umbertrail::core {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

QueuedWork Work(const std::string& id,
                int64_t prompt,
                const std::string& account = "club",
                absl::Duration time = absl::Seconds(100)) {
  QueuedWork work;
  work.holder = {InstanceId("r1"), Incarnation(1)};
  work.request.request = RequestId(id);
  work.request.attempt = AttemptNumber(1);
  work.request.account = ClientAccountId(account);
  work.length = ClassOf(Tokens(prompt));
  work.charge = Tokens(prompt);
  work.prefill = Tokens(prompt);
  work.arrived = kStart;
  work.deadline = kStart + time;
  work.latest_start = work.deadline;
  return work;
}

TargetRoom Room(int64_t allowed, absl::Duration after = absl::ZeroDuration()) {
  TargetRoom room;
  room.now = kStart + after;
  room.allowed = Tokens(allowed);
  return room;
}

std::string NextId(const TargetQueue& queue, const TargetRoom& room) {
  const QueuedWork* next = queue.Next(room);
  return next == nullptr ? "" : next->request.request.text();
}

TEST_CASE("short prompts go first, then by deadline inside an account") {
  OwnerConfig config;
  TargetQueue queue(&config);
  queue.Push(Work("long", 200000));
  queue.Push(Work("late", 1000, "club", absl::Seconds(60)));
  queue.Push(Work("soon", 1000, "club", absl::Seconds(30)));
  const TargetRoom room = Room(1000000);
  CHECK(NextId(queue, room) == "soon");
  queue.Take(queue.Next(room)->key());
  CHECK(NextId(queue, room) == "late");
  queue.Take(queue.Next(room)->key());
  CHECK(NextId(queue, room) == "long");
}

TEST_CASE("accounts share by weight") {
  OwnerConfig config;
  TargetQueue queue(&config);
  for (int i = 0; i < 40; ++i) {
    QueuedWork big = Work("big" + std::to_string(i), 1000, "big");
    big.request.weight = 3.0;
    queue.Push(big);
    queue.Push(Work("small" + std::to_string(i), 1000, "small"));
  }
  int big = 0;
  for (int i = 0; i < 40; ++i) {
    const QueuedWork work = queue.Take(queue.Next(Room(100000))->key());
    big += work.request.account == ClientAccountId("big") ? 1 : 0;
  }
  CHECK(big == 30);
}

TEST_CASE("an account that was away gets no arrears") {
  OwnerConfig config;
  TargetQueue queue(&config);
  for (int i = 0; i < 20; ++i) {
    queue.Push(Work("a" + std::to_string(i), 1000, "a"));
  }
  for (int i = 0; i < 10; ++i) {
    queue.Take(queue.Next(Room(100000))->key());
  }
  for (int i = 0; i < 10; ++i) {
    queue.Push(Work("b" + std::to_string(i), 1000, "b"));
  }
  int b = 0;
  for (int i = 0; i < 10; ++i) {
    const QueuedWork work = queue.Take(queue.Next(Room(100000))->key());
    b += work.request.account == ClientAccountId("b") ? 1 : 0;
  }
  CHECK(b <= 6);
}

TEST_CASE("long prefills are bounded and a part is kept for short ones") {
  OwnerConfig config;
  TargetQueue queue(&config);
  queue.Push(Work("long", 200000));
  TargetRoom room = Room(1000000);
  room.prefilling[2] = config.max_long_prefills;
  CHECK(NextId(queue, room).empty());
  room.prefilling[2] = 0;
  room.charged = Tokens(700000);
  room.charged_by_class[2] = Tokens(700000);
  CHECK(NextId(queue, room).empty());
  queue.Push(Work("short", 1000));
  CHECK(NextId(queue, room) == "short");
}

TEST_CASE("an aged long prompt gathers memory instead of starving") {
  OwnerConfig config;
  TargetQueue queue(&config);
  queue.Push(Work("long", 900000));
  queue.Push(Work("short", 1000));
  TargetRoom room = Room(1000000, absl::Seconds(30));
  room.charged = Tokens(150000);
  room.charged_by_class[0] = Tokens(150000);
  CHECK(NextId(queue, room).empty());
  room.charged = room.charged_by_class[0] = Tokens(90000);
  CHECK(NextId(queue, room) == "long");
  // Before it has aged, the short one goes.
  room.now = kStart;
  CHECK(NextId(queue, room) == "short");
}

TEST_CASE("a prompt over a cold budget does not hold others up") {
  OwnerConfig config;
  TargetQueue queue(&config);
  queue.Push(Work("long", 900000));
  queue.Push(Work("short", 1000));
  CHECK(NextId(queue, Room(10000, absl::Seconds(90))) == "short");
}

TEST_CASE("what can't finish is taken out at its latest start") {
  OwnerConfig config;
  TargetQueue queue(&config);
  queue.Push(Work("a", 1000, "club", absl::Seconds(5)));
  queue.Push(Work("b", 1000, "club", absl::Seconds(50)));
  CHECK(queue.NextExpiry() == kStart + absl::Seconds(5));
  CHECK(queue.RemoveExpired(kStart + absl::Seconds(6)).size() == 1);
  CHECK(queue.size() == 1);
  CHECK(queue.WaitingCharge(LengthClass::kLong) == Tokens(1000));
}

}  // namespace
}  // namespace umbertrail::core
