#include "link_protocol.h"

#include <catch2/catch.hpp>

namespace umbertrail::peer::detail {
namespace {

constexpr size_t kKeyBytes = 32;
const InstanceRef kOpener{InstanceId("127.0.0.1:1"), Incarnation(11)};
const InstanceRef kAcceptor{InstanceId("127.0.0.1:2"), Incarnation(22)};

// Two ends joined in memory.
struct Pair {
  explicit Pair(const InstanceId& dialled = kAcceptor.id)
      : opener(
            LinkProtocol::Opener(kOpener, dialled, keys, limits, random.get())),
        acceptor(
            LinkProtocol::Acceptor(kAcceptor, keys, limits, random.get())) {}

  // Carries what `from` has to say to `to`.
  std::optional<LinkChange> Carry(LinkProtocol* from, LinkProtocol* to) {
    const std::string bytes = std::exchange(from->output(), "");
    return Feed(to, bytes);
  }
  std::optional<LinkChange> Feed(LinkProtocol* to, std::string_view bytes) {
    return to->Receive(bytes, [this](std::string_view message) {
      received.emplace_back(message);
    });
  }
  void Open() {
    REQUIRE(Carry(&opener, &acceptor) == std::nullopt);
    REQUIRE(Carry(&acceptor, &opener) == std::nullopt);
    REQUIRE(Carry(&opener, &acceptor) == std::nullopt);
    REQUIRE(opener.ready());
    REQUIRE(acceptor.ready());
  }

  std::unique_ptr<RandomSource> random = MakeSeededRandom(5);
  std::vector<PeerKey> keys{PeerKey{std::string(kKeyBytes, 'k')}};
  LinkLimits limits;
  LinkProtocol opener;
  LinkProtocol acceptor;
  std::vector<std::string> received;
};

TEST_CASE("messages and pings cross an opened link") {
  Pair pair;
  pair.Open();
  pair.opener.SendMessage("hello");
  pair.opener.SendPing(7);
  CHECK(pair.Carry(&pair.opener, &pair.acceptor) == std::nullopt);
  CHECK(pair.received == std::vector<std::string>{"hello"});
  CHECK(pair.Carry(&pair.acceptor, &pair.opener) == std::nullopt);
  CHECK(pair.opener.answered_ping() == 7);
}

TEST_CASE("bytes may come one at a time") {
  Pair pair;
  pair.Open();
  pair.opener.SendMessage("hello");
  for (const char c : std::exchange(pair.opener.output(), "")) {
    CHECK(pair.Feed(&pair.acceptor, std::string_view(&c, 1)) == std::nullopt);
  }
  CHECK(pair.received == std::vector<std::string>{"hello"});
}

TEST_CASE("a replayed frame closes the link") {
  Pair pair;
  pair.Open();
  pair.opener.SendMessage("hello");
  const std::string bytes = std::exchange(pair.opener.output(), "");
  CHECK(pair.Feed(&pair.acceptor, bytes) == std::nullopt);
  CHECK(pair.Feed(&pair.acceptor, bytes) == LinkChange::kForgedFrame);
  CHECK(pair.received.size() == 1);
}

TEST_CASE("an altered frame closes the link before it is read") {
  Pair pair;
  pair.Open();
  pair.opener.SendMessage("hello");
  std::string bytes = std::exchange(pair.opener.output(), "");
  bytes[kLengthBytes + 2] ^= 1;
  CHECK(pair.Feed(&pair.acceptor, bytes) == LinkChange::kForgedFrame);
  CHECK(pair.received.empty());
}

TEST_CASE("a frame cut short is never taken for whole") {
  Pair pair;
  pair.Open();
  pair.opener.SendMessage("hello");
  const std::string bytes = std::exchange(pair.opener.output(), "");
  CHECK(pair.Feed(&pair.acceptor, bytes.substr(0, bytes.size() - 1)) ==
        std::nullopt);
  CHECK(pair.received.empty());
  // Another link's bytes in its place don't complete it.
  CHECK(pair.Feed(&pair.acceptor, "x") == LinkChange::kForgedFrame);
}

TEST_CASE("an oversize frame closes the link at its header") {
  Pair pair;
  SECTION("before authentication") {
    CHECK(pair.Feed(&pair.acceptor, std::string("\x00\x00\x10\x00", 4)) ==
          LinkChange::kMalformedFrame);
  }
  SECTION("after it") {
    pair.Open();
    CHECK(pair.Feed(&pair.acceptor, "\x7f\xff\xff\xff") ==
          LinkChange::kMalformedFrame);
  }
}

TEST_CASE("an instance that answers as another is not linked") {
  Pair pair(InstanceId("127.0.0.1:3"));
  REQUIRE(pair.Carry(&pair.opener, &pair.acceptor) == std::nullopt);
  CHECK(pair.Carry(&pair.acceptor, &pair.opener) == LinkChange::kWrongIdentity);
}

TEST_CASE("random bytes close a link or wait for more") {
  const auto random = MakeSeededRandom(9);
  for (int round = 0; round < 2000; ++round) {
    Pair pair;
    std::string bytes(random->Below(200), '\0');
    for (char& c : bytes) {
      c = static_cast<char>(random->Next());
    }
    // A small length, so that most rounds reach the handshake's decoder.
    bytes.insert(0, std::string("\x00\x00\x00\x20", kLengthBytes));
    pair.Feed(&pair.acceptor, bytes);
    CHECK_FALSE(pair.acceptor.ready());
    pair.Feed(&pair.opener, bytes);
    CHECK_FALSE(pair.opener.ready());
  }
}

}  // namespace
}  // namespace umbertrail::peer::detail
