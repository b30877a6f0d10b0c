#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "absl/time/clock.h"
#include "front/running_front.h"
#include "front/stand_in_store.h"

// Starts of an instance while its addresses are still in use.

namespace umbertrail::front {
namespace {

// A store with a configuration and a target, so that instances become ready.
class ReadyStore : public testing::StandInStore {
 public:
  ReadyStore() {
    Put("op/config", testing::SampleConfig(1));
    Put("servers/t0",
        testing::ServerEntry(testing::RefusingAddress(), "ready"));
  }
};

// The instance ended at once, "address already in use", when it was started
// before its predecessor had ended.
TEST_CASE("an instance waits for the addresses of a stopping predecessor") {
  ReadyStore store;
  const adapter::InstanceSettings settings = testing::LoopbackSettings(store);
  auto predecessor = std::make_unique<testing::RunningFront>(settings);
  predecessor->AwaitReady();
  testing::RunningFront successor(settings);
  predecessor->RequestStop();
  predecessor->AwaitExit();
  predecessor.reset();  // Closes its sockets, as the end of a process does.
  while (!successor.exited() && !successor.IsReady()) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK_FALSE(successor.exited());
  CHECK(successor.IsReady());
}

TEST_CASE("an address that stays in use is named, after a bounded wait") {
  ReadyStore store;
  adapter::InstanceSettings settings = testing::LoopbackSettings(store);
  testing::RunningFront other(settings);
  other.AwaitReady();
  settings.grace = absl::Milliseconds(100);
  for (const bool only_peer_port : {false, true}) {
    CAPTURE(only_peer_port);
    if (only_peer_port) {
      settings.callers_address = testing::RefusingAddress();
      settings.readiness_address = testing::RefusingAddress();
    }
    testing::RunningFront second(settings);
    second.AwaitExit();
    CHECK_THAT(second.error(),
               Catch::Contains("already in use") &&
                   Catch::StartsWith(
                       only_peer_port
                           ? "127.0.0.1:" + std::to_string(settings.peer_port)
                           : settings.callers_address));
  }
}

TEST_CASE("a stop ends an instance that waits for its addresses") {
  ReadyStore store;
  const adapter::InstanceSettings settings = testing::LoopbackSettings(store);
  testing::RunningFront other(settings);
  other.AwaitReady();
  testing::RunningFront second(settings);
  absl::SleepFor(absl::Milliseconds(300));
  CHECK_FALSE(second.exited());
  second.RequestStop();
  second.AwaitExit();
  CHECK(second.error().empty());
}

TEST_CASE("an address that can't be bound ends the start at once") {
  ReadyStore store;
  adapter::InstanceSettings settings = testing::LoopbackSettings(store);
  settings.callers_address = "192.0.2.1:80";
  testing::RunningFront front(settings);
  front.AwaitExit();
  CHECK_THAT(front.error(), Catch::StartsWith("192.0.2.1:80: "));
}

}  // namespace
}  // namespace umbertrail::front
