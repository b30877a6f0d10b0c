#include "umbertrail/daemon/core_loop.h"

#include <catch2/catch.hpp>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

namespace umbertrail::daemon {
namespace {

constexpr absl::Duration kPatience = absl::Seconds(30);

// A clock set by hand.
class ManualClock : public Clock {
 public:
  absl::Time Now() const override {
    absl::MutexLock lock(&mutex_);
    return now_;
  }
  void Advance(absl::Duration by) {
    absl::MutexLock lock(&mutex_);
    now_ += by;
  }

 private:
  mutable absl::Mutex mutex_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
};

// Records what it is told and answers with the actions set for an event.
class FakeNode : public NodeDriver {
 public:
  struct Record {
    absl::Mutex mutex;
    std::vector<std::pair<absl::Time, core::Event>> handled;
    absl::Time wakeup = absl::InfiniteFuture();
    bool ready = true;
    absl::Notification* hold = nullptr;  // Handle() waits for it
    core::Actions actions;
  };
  explicit FakeNode(std::shared_ptr<Record> record)
      : record_(std::move(record)) {}

  core::Actions Handle(absl::Time now, core::Event event) override {
    absl::Notification* hold = nullptr;
    core::Actions actions;
    {
      absl::MutexLock lock(&record_->mutex);
      if (std::holds_alternative<core::Tick>(event)) {
        record_->wakeup = absl::InfiniteFuture();
      }
      record_->handled.emplace_back(now, std::move(event));
      hold = record_->hold;
      actions.swap(record_->actions);
    }
    if (hold != nullptr) {
      hold->WaitForNotification();
    }
    return actions;
  }
  absl::Time NextWakeup() const override {
    absl::MutexLock lock(&record_->mutex);
    return record_->wakeup;
  }
  bool Ready(absl::Time) const override {
    absl::MutexLock lock(&record_->mutex);
    return record_->ready;
  }
  core::PeerEnvelope Wrap(core::PeerPayload payload) const override {
    core::PeerEnvelope envelope;
    envelope.revision = manifest_.revision;
    envelope.payload = std::move(payload);
    return envelope;
  }
  const manifest::Manifest* manifest() const override { return &manifest_; }
  core::NodeStatus Status(absl::Time) const override {
    core::NodeStatus status;
    status.revision = manifest_.revision;
    return status;
  }

 private:
  std::shared_ptr<Record> record_;
  manifest::Manifest manifest_ = [] {
    manifest::Manifest manifest;
    manifest.revision = ManifestRevision(7);
    return manifest;
  }();
};

class FakePorts : public TargetPort,
                  public PlatformPort,
                  public PeerPort,
                  public CallerPort {
 public:
  void Start(const core::StartAttempt&) override { Note("start"); }
  void Cancel(const core::CancelAttempt&) override { Note("cancel"); }
  void Poll(const core::PollTarget&) override { Note("poll"); }
  void Order(const core::SendOrder&) override { Note("order"); }
  void Free(const core::FreeAllocations&) override { Note("free"); }
  void ReadPart(const core::ReadPart&) override { Note("part"); }
  void Send(const InstanceId&, const core::PeerEnvelope& envelope) override {
    Note("peer");
    revision = envelope.revision;
  }
  void Relay(const core::RelayChunk&) override { Note("relay"); }
  void Finish(const core::FinishRequest&) override { Note("finish"); }
  void Issue(const core::TicketIssued&) override { Note("issue"); }

  std::vector<std::string> notes;
  ManifestRevision revision;

 private:
  void Note(const char* note) { notes.emplace_back(note); }
};

class CoreLoopTest {
 protected:
  explicit CoreLoopTest(QueueLimits limits = {})
      : queue_(limits),
        loop_(&queue_,
              std::make_unique<FakeNode>(record_),
              LoopPorts{&ports_, &ports_, &ports_, &ports_},
              &clock_,
              nullptr,
              [this](const manifest::Manifest& it) { seen_ = it.revision; }) {}

  // Everything put in so far has been handled.
  void Settle() { REQUIRE(loop_.Status(kPatience).has_value()); }

  bool AwaitHandled(size_t n) {
    for (int i = 0; i < 30000; ++i) {
      {
        absl::MutexLock lock(&record_->mutex);
        if (record_->handled.size() >= n) {
          return true;
        }
      }
      absl::SleepFor(absl::Milliseconds(1));
    }
    return false;
  }

  std::shared_ptr<FakeNode::Record> record_ =
      std::make_shared<FakeNode::Record>();
  ManualClock clock_;
  FakePorts ports_;
  ManifestRevision seen_;
  EventQueue queue_;
  CoreLoop loop_;
};

TEST_CASE_METHOD(CoreLoopTest, "actions go to their ports in order") {
  record_->actions = {core::SendPeer{InstanceId("p"), core::HeadQuery{}},
                      core::StartAttempt{},
                      core::CancelAttempt{},
                      core::PollTarget{},
                      core::SendOrder{},
                      core::FreeAllocations{},
                      core::ReadPart{},
                      core::RelayChunk{},
                      core::FinishRequest{},
                      core::TicketIssued{}};
  loop_.Start();
  queue_.Post(core::ConfigUnreachable{});
  Settle();
  CHECK(ports_.notes ==
        std::vector<std::string>{"peer", "start", "cancel", "poll", "order",
                                 "free", "part", "relay", "finish", "issue"});
  CHECK(ports_.revision == ManifestRevision(7));
  CHECK(seen_ == ManifestRevision(7));
}

TEST_CASE_METHOD(CoreLoopTest,
                 "events carry the time at which they are taken") {
  queue_.Post(core::ConfigUnreachable{});
  clock_.Advance(absl::Hours(1));  // a pause while it waited
  loop_.Start();
  Settle();
  CHECK(record_->handled[0].first ==
        absl::FromUnixSeconds(1000) + absl::Hours(1));
}

TEST_CASE_METHOD(CoreLoopTest, "a tick comes at the wake-up time") {
  record_->wakeup = clock_.Now() + absl::Seconds(5);
  loop_.Start();
  Settle();
  CHECK(record_->handled.empty());
  clock_.Advance(absl::Seconds(5));
  REQUIRE(AwaitHandled(1));
  CHECK(std::holds_alternative<core::Tick>(record_->handled[0].second));
}

TEST_CASE_METHOD(CoreLoopTest, "readiness is the node's and ends with a stop") {
  CHECK_FALSE(loop_.ready());
  loop_.Start();
  Settle();
  Settle();
  CHECK(loop_.ready());
  clock_.Advance(absl::Seconds(10));  // the loop has said nothing since
  loop_.RequestStop();
  CHECK_FALSE(loop_.ready());
  Settle();
  CHECK_FALSE(loop_.ready());
  CHECK_FALSE(loop_.AwaitStopComplete(absl::Milliseconds(1)));
  {
    absl::MutexLock lock(&record_->mutex);
    record_->actions = {core::StopComplete{}};
  }
  queue_.Post(core::ConfigUnreachable{});
  CHECK(loop_.AwaitStopComplete(kPatience));
}

class SmallLoopTest : public CoreLoopTest {
 protected:
  SmallLoopTest() : CoreLoopTest(QueueLimits{2, 4}) {}
};

TEST_CASE_METHOD(SmallLoopTest,
                 "requests beyond the bound are refused at once") {
  CHECK(queue_.Offer(core::RequestArrived{}));
  CHECK(queue_.Offer(core::RequestArrived{}));
  CHECK_FALSE(queue_.Offer(core::RequestArrived{}));
  loop_.Start();
  Settle();
  CHECK(queue_.Offer(core::RequestArrived{}));
}

TEST_CASE_METHOD(SmallLoopTest, "other events wait for room and none is lost") {
  absl::Notification hold;
  record_->hold = &hold;
  loop_.Start();
  std::thread producer([this] {
    for (int i = 0; i < 100; ++i) {
      queue_.Post(core::ConfigUnreachable{});
    }
  });
  REQUIRE(AwaitHandled(1));
  hold.Notify();
  producer.join();
  Settle();
  CHECK(record_->handled.size() == 100);
}

TEST_CASE_METHOD(SmallLoopTest, "a stopped loop holds nobody up") {
  loop_.Start();
  loop_.Stop();
  for (int i = 0; i < 100; ++i) {
    queue_.Post(core::ConfigUnreachable{});
  }
  CHECK_FALSE(queue_.Offer(core::RequestArrived{}));
  CHECK_FALSE(loop_.Status(kPatience).has_value());
}

}  // namespace
}  // namespace umbertrail::daemon
