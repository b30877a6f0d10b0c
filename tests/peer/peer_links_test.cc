#include "umbertrail/peer/peer_links.h"

#include <sys/socket.h>

#include <map>
#include <thread>

#include <catch2/catch.hpp>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "frame_buffer.h"
#include "link_protocol.h"
#include "socket.h"

namespace umbertrail::peer {
namespace {

constexpr size_t kKeyBytes = 32;
constexpr size_t kMebibyte = size_t{1} << 20;
// Long enough never to matter; a test that waits this long fails.
constexpr absl::Duration kPatience = absl::Seconds(30);

class RealClock : public Clock {
 public:
  absl::Time Now() const override { return absl::Now(); }
};

// What happened at one end, from any thread.
class Recorder : public LinkObserver {
 public:
  void OnLinkChange(LinkChange change, const InstanceId&) override {
    absl::MutexLock lock(&mutex_);
    ++changes_[change];
  }
  void OnEvent(core::Event event) {
    absl::MutexLock lock(&mutex_);
    if (const auto* received = std::get_if<core::PeerReceived>(&event)) {
      received_.push_back(received->envelope);
    } else {
      ++unreachable_;
    }
  }

  bool AwaitChange(LinkChange change, int n = 1) {
    return Await([this, change, n] { return changes_[change] >= n; });
  }
  bool AwaitReceived(size_t n) {
    return Await([this, n] { return received_.size() >= n; });
  }
  bool AwaitUnreachable(int n) {
    return Await([this, n] { return unreachable_ >= n; });
  }
  int unreachable() {
    absl::MutexLock lock(&mutex_);
    return unreachable_;
  }
  std::vector<core::PeerEnvelope> received() {
    absl::MutexLock lock(&mutex_);
    return received_;
  }

 private:
  template <typename F>
  bool Await(F reached) {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(
                                       +[](F* f) { return (*f)(); }, &reached),
                                   kPatience);
  }

  absl::Mutex mutex_;
  std::map<LinkChange, int> changes_;
  std::vector<core::PeerEnvelope> received_;
  int unreachable_ = 0;
};

std::vector<PeerKey> KeyOf(char fill) {
  return {PeerKey{std::string(kKeyBytes, fill)}};
}

Listener Bound(const std::string& address = "127.0.0.1:0") {
  Result<Listener> listener = Listener::Bind(address);
  REQUIRE(IsOk(listener));
  return std::move(std::get<Listener>(listener));
}

LinkLimits QuickLimits() {
  LinkLimits limits;
  limits.probe_interval = absl::Milliseconds(20);
  limits.silence_limit = absl::Milliseconds(200);
  limits.open_timeout = absl::Seconds(5);
  limits.backoff_first = absl::Microseconds(1);
  limits.backoff_last = absl::Microseconds(10);
  return limits;
}

// One instance's links.
struct Instance {
  explicit Instance(char key = 'k',
                    const LinkLimits& limits = QuickLimits(),
                    Listener listener = Bound())
      : self{InstanceId(listener.address()), Incarnation(1)},
        links(std::make_unique<PeerLinks>(
            PeerLinks::Config{self, KeyOf(key), limits},
            std::move(listener),
            &clock,
            random.get(),
            [this](core::Event event) { recorder.OnEvent(std::move(event)); },
            &recorder)) {}

  core::PeerEnvelope Query(uint64_t nonce) const {
    return core::PeerEnvelope{self, ManifestRevision(3), false,
                              core::HeadQuery{nonce}};
  }
  void SendQuery(const InstanceId& to, uint64_t nonce) {
    links->Send(to, Query(nonce));
  }

  RealClock clock;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(1);
  Recorder recorder;
  InstanceRef self;
  std::unique_ptr<PeerLinks> links;
};

uint64_t NonceOf(const core::PeerEnvelope& envelope) {
  return std::get<core::HeadQuery>(envelope.payload).nonce;
}

TEST_CASE("messages arrive in order, both ways") {
  Instance a;
  Instance b;
  for (uint64_t n = 0; n < 200; ++n) {
    a.SendQuery(b.self.id, n);
  }
  b.SendQuery(a.self.id, 7);
  REQUIRE(b.recorder.AwaitReceived(200));
  REQUIRE(a.recorder.AwaitReceived(1));
  const auto received = b.recorder.received();
  for (uint64_t n = 0; n < 200; ++n) {
    CHECK(NonceOf(received[n]) == n);
  }
  CHECK(received[0].from == a.self);
  CHECK(a.links->Drain(kPatience));
  CHECK(a.links->Totals().messages_sent == 200);
}

TEST_CASE("a message of a megabyte arrives whole") {
  Instance a;
  Instance b;
  core::PeerEnvelope envelope = a.Query(0);
  envelope.payload = core::PartReply{"h", std::string(kMebibyte, 'x')};
  a.links->Send(b.self.id, envelope);
  REQUIRE(b.recorder.AwaitReceived(1));
  const auto received = b.recorder.received();
  CHECK(std::get<core::PartReply>(received[0].payload).bytes.size() ==
        kMebibyte);
}

TEST_CASE("a wrong key never links") {
  Instance a('a');
  Instance b('b');
  a.SendQuery(b.self.id, 1);
  CHECK(b.recorder.AwaitChange(LinkChange::kWrongKey));
  CHECK(a.recorder.AwaitUnreachable(1));
  CHECK(b.recorder.received().empty());
}

TEST_CASE("keys can be replaced while running") {
  Instance a('a');
  Instance b('b');
  b.links->SetKeys(KeyOf('a'));
  a.SendQuery(b.self.id, 1);
  CHECK(b.recorder.AwaitReceived(1));
}

TEST_CASE("a peer that refuses connections is unreachable") {
  Instance a;
  const std::string closed = Bound().address();
  a.SendQuery(InstanceId(closed), 1);
  CHECK(a.recorder.AwaitUnreachable(1));
  CHECK(a.recorder.AwaitChange(LinkChange::kConnectFailed));
}

TEST_CASE("an address that is none is unreachable") {
  Instance a;
  a.SendQuery(InstanceId("not an address"), 1);
  CHECK(a.recorder.AwaitUnreachable(1));
}

TEST_CASE("a peer that accepts and says nothing is given up") {
  LinkLimits limits = QuickLimits();
  limits.open_timeout = absl::Milliseconds(100);
  Instance a('k', limits);
  const Listener mute = Bound();
  a.SendQuery(InstanceId(mute.address()), 1);
  CHECK(a.recorder.AwaitUnreachable(1));
}

// A peer by hand, which can be made to do wrong.
class ManualPeer {
 public:
  explicit ManualPeer(const InstanceId& to)
      : protocol_(detail::LinkProtocol::Opener(
            InstanceRef{InstanceId("127.0.0.1:9"), Incarnation(9)},
            to,
            KeyOf('k'),
            LinkLimits(),
            random_.get())),
        fd_(detail::BeginConnect(*detail::ParseAddress(to.text()))) {}

  // Accepts one connection as the acceptor instead.
  ManualPeer(const Listener& listener, const InstanceRef& self)
      : protocol_(detail::LinkProtocol::Acceptor(self,
                                                 KeyOf('k'),
                                                 LinkLimits(),
                                                 random_.get())),
        fd_(AcceptOne(listener)) {}

  void Exchange() {
    while (!protocol_.ready()) {
      Step();
    }
    Flush();
  }
  void Step() {
    Flush();
    char buf[4096];
    const ssize_t n = recv(fd_.get(), buf, sizeof(buf), 0);
    if (n > 0) {
      protocol_.Receive(std::string_view(buf, static_cast<size_t>(n)),
                        [](std::string_view) {});
    } else {
      absl::SleepFor(absl::Milliseconds(1));
    }
  }
  void Flush() {
    std::string& output = protocol_.output();
    const ssize_t n =
        send(fd_.get(), output.data(), output.size(), MSG_NOSIGNAL);
    if (n > 0) {
      output.erase(0, static_cast<size_t>(n));
    }
  }
  void SendMessage(std::string_view message) {
    protocol_.SendMessage(message);
    Flush();
  }
  void SendRaw(std::string_view bytes) {
    send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

 private:
  static detail::ScopedFd AcceptOne(const Listener& listener) {
    int fd = -1;
    while (fd < 0) {
      fd = accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK);
      absl::SleepFor(absl::Milliseconds(1));
    }
    return detail::ScopedFd(fd);
  }

  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(4);
  detail::LinkProtocol protocol_;
  detail::ScopedFd fd_;
};

TEST_CASE("a link that goes silent is found and replaced") {
  Instance a;
  Listener listener = Bound();
  const InstanceRef b{InstanceId(listener.address()), Incarnation(2)};
  a.SendQuery(b.id, 1);
  {
    ManualPeer peer(listener, b);
    peer.Exchange();
    // From here on the peer reads nothing and answers no ping.
    CHECK(a.recorder.AwaitChange(LinkChange::kSilent));
    CHECK(a.recorder.AwaitUnreachable(1));
  }
  Instance replacement('k', QuickLimits(), std::move(listener));
  // A refusal while backed off is reported; the sender tries again.
  for (uint64_t n = 2; replacement.recorder.received().empty(); ++n) {
    a.SendQuery(b.id, n);
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(a.recorder.AwaitChange(LinkChange::kOpened, 2));
}

TEST_CASE("a link reopens after its peer restarted") {
  Instance a;
  auto b = std::make_unique<Instance>();
  const InstanceId id = b->self.id;
  a.SendQuery(id, 1);
  REQUIRE(b->recorder.AwaitReceived(1));
  b.reset();
  REQUIRE(a.recorder.AwaitChange(LinkChange::kClosed));
  Instance reborn('k', QuickLimits(), Bound(id.text()));
  for (uint64_t n = 2; reborn.recorder.received().empty(); ++n) {
    a.SendQuery(id, n);
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(reborn.recorder.received()[0].from == a.self);
}

TEST_CASE("a malformed message closes that link alone") {
  Instance a;
  Instance b;
  a.SendQuery(b.self.id, 1);
  REQUIRE(b.recorder.AwaitReceived(1));

  ManualPeer peer(b.self.id);
  peer.Exchange();
  SECTION("not an envelope") {
    peer.SendMessage("rubbish");
  }
  SECTION("another sender's envelope") {
    peer.SendMessage(ValueOf(EncodeEnvelope(a.Query(1))));
  }
  CHECK(b.recorder.AwaitChange(LinkChange::kMalformedFrame));

  a.SendQuery(b.self.id, 2);
  CHECK(b.recorder.AwaitReceived(2));
}

TEST_CASE("another version is turned away") {
  Instance b;
  ManualPeer peer(b.self.id);
  std::string frame;
  detail::AppendFrame("\x91\x63", &frame);  // [99]
  peer.SendRaw(frame);
  CHECK(b.recorder.AwaitChange(LinkChange::kVersionMismatch));
}

TEST_CASE("a flood of unauthenticated links doesn't keep a peer out") {
  LinkLimits limits = QuickLimits();
  limits.half_open_links = 4;
  Instance b('k', limits);
  std::vector<std::unique_ptr<ManualPeer>> flood;
  for (int i = 0; i < 20; ++i) {
    flood.push_back(std::make_unique<ManualPeer>(b.self.id));
  }
  CHECK(b.recorder.AwaitChange(LinkChange::kFlooded, 16));
  Instance a;
  a.SendQuery(b.self.id, 1);
  CHECK(b.recorder.AwaitReceived(1));
}

TEST_CASE("what exceeds a peer's queue is refused and reported") {
  LinkLimits limits = QuickLimits();
  limits.queue_bytes = 3000;
  limits.open_timeout = absl::Hours(1);
  Instance a('k', limits);
  const Listener mute = Bound();
  core::PeerEnvelope envelope = a.Query(0);
  envelope.payload = core::PartReply{"h", std::string(1000, 'x')};
  for (int i = 0; i < 5; ++i) {
    a.links->Send(InstanceId(mute.address()), envelope);
  }
  CHECK(a.recorder.AwaitChange(LinkChange::kQueueFull, 3));
  CHECK(a.recorder.AwaitUnreachable(3));
  CHECK_FALSE(a.links->Drain(absl::Milliseconds(20)));
}

TEST_CASE("an unused link is closed without a report") {
  LinkLimits limits = QuickLimits();
  limits.idle_close = absl::Milliseconds(50);
  Instance a('k', limits);
  Instance b;
  a.SendQuery(b.self.id, 1);
  CHECK(a.recorder.AwaitChange(LinkChange::kIdle));
  CHECK(a.recorder.unreachable() == 0);
  a.SendQuery(b.self.id, 2);
  CHECK(b.recorder.AwaitReceived(2));
}

}  // namespace
}  // namespace umbertrail::peer
