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

// A target that answers orders with a status; 0 answers nothing.
class OrderTaker {
 public:
  explicit OrderTaker(int reserve_status)
      : reserve_status_(reserve_status),
        server_([this](FakeConnection& connection) { Serve(connection); }) {}

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
      {
        absl::MutexLock lock(&mutex_);
        operations_.push_back(operation);
      }
      const int status = operation == "reserve" ? reserve_status_ : 200;
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
  FakeServer server_;
};

// An instance's state with two targets, and its loop.
class Holder {
 public:
  Holder(const OrderTaker& one, const OrderTaker& two)
      : log_fd_(open("/dev/null", O_WRONLY)),
        loop_(1),
        state_(loop_, adapter::InstanceSettings(), log_fd_) {
    Add("one", one);
    Add("two", two);
  }
  ~Holder() { close(log_fd_); }

  State& state() { return state_; }
  // Runs the loop until `done` says so.
  template <typename Condition>
  void RunUntil(const Condition& done) {
    while (!done()) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(2));
    }
  }

 private:
  void Add(const std::string& id, const OrderTaker& target) {
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
  bool told = false;
  std::optional<TargetId> without;
};

// Memory asked for at two targets, of which the second answers with a status.
struct Reserving {
  explicit Reserving(int second_status) : two(second_status) {
    memory->Reserve({TargetId("one"), TargetId("two")},
                    [this](const TargetId* without) {
                      outcome.told = true;
                      if (without != nullptr) {
                        outcome.without = *without;
                      }
                    });
  }

  OrderTaker one{200};
  OrderTaker two;
  Holder holder{one, two};
  Outcome outcome;
  const std::shared_ptr<JointMemory> memory =
      std::make_shared<JointMemory>(holder.state(), "name", Tokens(100000));
};

TEST_CASE("memory is set aside at all targets and given back") {
  Reserving it(200);
  it.holder.RunUntil([&] { return it.outcome.told; });
  CHECK_FALSE(it.outcome.without);
  it.memory->Release();
  it.memory->Release();
  it.holder.RunUntil([&] {
    return it.one.Count("release") == 1 && it.two.Count("release") == 1;
  });
  CHECK(it.one.Count("reserve") == 1);
}

TEST_CASE("where one target has no memory none is held") {
  Reserving it(409);
  it.holder.RunUntil([&] { return it.outcome.told; });
  REQUIRE(it.outcome.without);
  CHECK(it.outcome.without->text() == "two");
  it.holder.RunUntil([&] { return it.one.Count("release") >= 1; });
  CHECK(it.one.Count("release") == 1);
}

TEST_CASE("an order without an answer counts as refused and is given back") {
  Reserving it(0);
  it.holder.RunUntil([&] { return it.outcome.told; });
  REQUIRE(it.outcome.without);
  CHECK(it.outcome.without->text() == "two");
  it.holder.RunUntil([&] { return it.two.Count("release") >= 1; });
  SUCCEED();
}

TEST_CASE("what is still asked for when its request ends is given back") {
  Reserving it(200);
  it.memory->Release();
  it.holder.RunUntil([&] {
    return it.one.Count("release") == 1 && it.two.Count("release") == 1;
  });
  CHECK_FALSE(it.outcome.told);
}

TEST_CASE("memory that is needed for long is prolonged") {
  Reserving it(200);
  it.holder.RunUntil([&] { return it.one.Count("reserve") >= 2; });
  it.memory->Release();
  it.holder.RunUntil([&] { return it.one.Count("release") >= 1; });
  SUCCEED();
}

}  // namespace
}  // namespace umbertrail::front
