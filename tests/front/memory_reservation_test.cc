#include "umbertrail/front/memory_reservation.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "front/running_front.h"
#include "http/fake_server.h"

namespace umbertrail::front {
namespace {

using testing::FakeConnection;
using testing::FakeServer;

// A target that answers reserve orders with a status; 0 means no response.
class FakeTarget {
 public:
  explicit FakeTarget(int reserve_status)
      : reserve_status_(reserve_status),
        server_([this](FakeConnection& connection) { Serve(connection); }) {}

  // Releases that are answered with an error before one succeeds.
  void FailReleases(int count) {
    absl::MutexLock lock(&mutex_);
    failed_releases_ = count;
  }
  // Tokens of the last reserve order.
  int64_t reserved() const {
    absl::MutexLock lock(&mutex_);
    return reserved_;
  }
  std::string address() const { return server_.address(); }
  int Count(const std::string& operation) const {
    absl::MutexLock lock(&mutex_);
    return static_cast<int>(
        std::count(operations_.begin(), operations_.end(), operation));
  }
  void AwaitCount(const std::string& operation, int count) const {
    while (Count(operation) < count) {
      absl::SleepFor(absl::Milliseconds(2));
    }
  }

 private:
  void Serve(FakeConnection& connection) {
    testing::ServeRequests(connection, [&](const std::string& request) {
      const auto body =
          nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
      const auto operation = body["operation"].get<std::string>();
      int status = reserve_status_;
      {
        absl::MutexLock lock(&mutex_);
        operations_.push_back(operation);
        if (operation == "reserve") {
          reserved_ = body["tokens"].get<int64_t>();
        } else {
          status = failed_releases_-- > 0 ? 500 : 200;
        }
      }
      if (status == 0) {
        connection.AwaitClose();
        return false;
      }
      connection.Write(testing::HttpAnswer(status, "{}"));
      return true;
    });
  }

  const int reserve_status_;
  mutable absl::Mutex mutex_;
  std::vector<std::string> operations_;
  int failed_releases_ = 0;
  int64_t reserved_ = 0;
  FakeServer server_;
};

// An instance's state with two targets, and its event loop.
class StateFixture {
 public:
  StateFixture(const FakeTarget& one, const FakeTarget& two)
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, adapter::InstanceSettings(), log_fd_) {
    Add("one", one);
    Add("two", two);
  }
  ~StateFixture() { close(log_fd_); }

  State& state() { return state_; }
  // Runs the event loop until `done()` is true.
  template <typename Condition>
  void RunUntil(const Condition& done) {
    while (!done()) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(2));
    }
  }
  void RunFor(absl::Duration duration) {
    loop_.restart();
    loop_.run_for(absl::ToChronoMilliseconds(duration));
  }

 private:
  void Add(const std::string& id, const FakeTarget& target) {
    dispatch::TargetEntry entry;
    entry.id = TargetId(id);
    entry.address = target.address();
    state_.view.Apply({++revision_, dispatch::TargetChange{entry}}, BootNow());
  }

  int log_fd_;
  net::Loop loop_;
  State state_;
  uint64_t revision_ = 0;
};

struct Outcome {
  bool finished = false;
  std::optional<TargetId> failed_target;
};

// A reservation at two targets, the second answering with `second_status`.
struct ReservationFixture {
  explicit ReservationFixture(int second_status) : two(second_status) {
    memory->Reserve(
        {{TargetId("one"), Tokens(100000)}, {TargetId("two"), Tokens(60000)}},
        [this](const TargetId* failed_target) {
          outcome.finished = true;
          if (failed_target != nullptr) {
            outcome.failed_target = *failed_target;
          }
        });
  }

  FakeTarget one{200};
  FakeTarget two;
  StateFixture state{one, two};
  Outcome outcome;
  const std::shared_ptr<MemoryReservation> memory =
      std::make_shared<MemoryReservation>(state.state(), "name");
};

TEST_CASE("memory is reserved at all targets and released") {
  ReservationFixture fixture(200);
  fixture.state.RunUntil([&] { return fixture.outcome.finished; });
  CHECK_FALSE(fixture.outcome.failed_target);
  fixture.memory->Release();
  fixture.memory->Release();
  fixture.state.RunUntil([&] {
    return fixture.one.Count("release") == 1 &&
           fixture.two.Count("release") == 1;
  });
  CHECK(fixture.one.Count("reserve") == 1);
  CHECK(fixture.one.reserved() == 100000);
  CHECK(fixture.two.reserved() == 60000);
}

// Otherwise the memory would stay reserved until its lease expires.
TEST_CASE("a failed release is sent again, once") {
  ReservationFixture fixture(200);
  fixture.two.FailReleases(100);
  fixture.state.RunUntil([&] { return fixture.outcome.finished; });
  fixture.memory->Release();
  fixture.state.RunUntil([&] {
    return fixture.one.Count("release") >= 1 &&
           fixture.two.Count("release") >= 2;
  });
  fixture.state.RunFor(absl::Milliseconds(50));
  CHECK(fixture.one.Count("release") == 1);
  CHECK(fixture.two.Count("release") == 2);
}

TEST_CASE("if one target has no memory, none stays reserved") {
  ReservationFixture fixture(409);
  fixture.state.RunUntil([&] { return fixture.outcome.finished; });
  REQUIRE(fixture.outcome.failed_target);
  CHECK(fixture.outcome.failed_target->text() == "two");
  fixture.state.RunUntil([&] { return fixture.one.Count("release") >= 1; });
  CHECK(fixture.one.Count("release") == 1);
}

TEST_CASE("an unanswered reservation counts as refused and is released") {
  ReservationFixture fixture(0);
  fixture.state.RunUntil([&] { return fixture.outcome.finished; });
  REQUIRE(fixture.outcome.failed_target);
  CHECK(fixture.outcome.failed_target->text() == "two");
  fixture.state.RunUntil([&] { return fixture.two.Count("release") >= 1; });
  SUCCEED();
}

TEST_CASE("a reservation in flight when its request ends is released") {
  ReservationFixture fixture(200);
  fixture.memory->Release();
  fixture.state.RunUntil([&] {
    return fixture.one.Count("release") == 1 &&
           fixture.two.Count("release") == 1;
  });
  CHECK_FALSE(fixture.outcome.finished);
}

TEST_CASE("a reservation in use is renewed") {
  ReservationFixture fixture(200);
  fixture.state.RunUntil([&] { return fixture.one.Count("reserve") >= 2; });
  fixture.memory->Release();
  fixture.state.RunUntil([&] { return fixture.one.Count("release") >= 1; });
  SUCCEED();
}

}  // namespace
}  // namespace umbertrail::front
