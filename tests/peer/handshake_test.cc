#include "handshake.h"

#include <catch2/catch.hpp>

namespace umbertrail::peer::detail {
namespace {

constexpr size_t kKeyBytes = 32;
const InstanceRef kOpener{InstanceId("127.0.0.1:1"), Incarnation(11)};
const InstanceRef kAcceptor{InstanceId("127.0.0.1:2"), Incarnation(22)};

std::vector<PeerKey> Keys(std::initializer_list<char> fills) {
  std::vector<PeerKey> keys;
  for (const char fill : fills) {
    keys.push_back(PeerKey{std::string(kKeyBytes, fill)});
  }
  return keys;
}

bool Links(const std::vector<PeerKey>& ours,
           const std::vector<PeerKey>& theirs) {
  const auto random = MakeSeededRandom(3);
  OpenerHandshake opener(kOpener, ours, random.get());
  AcceptorHandshake acceptor(kAcceptor, theirs, random.get());
  const auto welcome = acceptor.OnHello(opener.Hello());
  if (!std::holds_alternative<std::string>(welcome)) {
    return false;
  }
  const auto opened = opener.OnWelcome(std::get<std::string>(welcome));
  REQUIRE(std::holds_alternative<OpenerHandshake::Opened>(opened));
  const auto& ready = std::get<OpenerHandshake::Opened>(opened);
  const auto session = acceptor.OnProof(ready.proof);
  REQUIRE(std::holds_alternative<Session>(session));
  CHECK(std::get<Session>(session).peer == kOpener);
  CHECK(ready.session.peer == kAcceptor);
  CHECK(std::get<Session>(session).receive_key == ready.session.send_key);
  CHECK(ready.session.send_key != ready.session.receive_key);
  return true;
}

TEST_CASE("two sides link when they share any key") {
  CHECK(Links(Keys({'a'}), Keys({'a'})));
  CHECK(Links(Keys({'a', 'b'}), Keys({'b'})));
  CHECK(Links(Keys({'a'}), Keys({'b', 'a'})));
  CHECK_FALSE(Links(Keys({'a'}), Keys({'b'})));
}

TEST_CASE("a proof of another link is refused") {
  const auto random = MakeSeededRandom(3);
  OpenerHandshake opener(kOpener, Keys({'a'}), random.get());
  AcceptorHandshake first(kAcceptor, Keys({'a'}), random.get());
  AcceptorHandshake second(kAcceptor, Keys({'a'}), random.get());
  const auto welcome = first.OnHello(opener.Hello());
  second.OnHello(opener.Hello());
  const auto opened = opener.OnWelcome(std::get<std::string>(welcome));
  const auto& proof = std::get<OpenerHandshake::Opened>(opened).proof;
  const auto result = second.OnProof(proof);
  REQUIRE(std::holds_alternative<HandshakeFault>(result));
  CHECK(std::get<HandshakeFault>(result) == HandshakeFault::kKey);
}

TEST_CASE("the acceptor's own proof can't be reflected") {
  const auto random = MakeSeededRandom(3);
  OpenerHandshake opener(kOpener, Keys({'a'}), random.get());
  AcceptorHandshake acceptor(kAcceptor, Keys({'a'}), random.get());
  const auto welcome = std::get<std::string>(acceptor.OnHello(opener.Hello()));
  // The proof is the welcome's last field of 32 bytes.
  const std::string proof = welcome.substr(welcome.size() - 32);
  CHECK(std::holds_alternative<HandshakeFault>(acceptor.OnProof(proof)));
}

TEST_CASE("another version is named as such") {
  const auto random = MakeSeededRandom(3);
  OpenerHandshake opener(kOpener, Keys({'a'}), random.get());
  AcceptorHandshake acceptor(kAcceptor, Keys({'a'}), random.get());
  std::string hello = opener.Hello();
  hello[1] = static_cast<char>(kLinkVersion + 1);
  const auto result = acceptor.OnHello(hello);
  REQUIRE(std::holds_alternative<HandshakeFault>(result));
  CHECK(std::get<HandshakeFault>(result) == HandshakeFault::kVersion);
}

TEST_CASE("sealed frames open once and in order") {
  FrameSealer sealer("key");
  const std::string first = sealer.Seal("one");
  const std::string second = sealer.Seal("two");

  FrameOpener opener("key");
  CHECK(opener.Open(first) == "one");
  CHECK(opener.Open(first) == std::nullopt);
  CHECK(opener.Open(second) == "two");

  CHECK(FrameOpener("key").Open(second) == std::nullopt);
  CHECK(FrameOpener("other").Open(first) == std::nullopt);
  CHECK(FrameOpener("key").Open("short") == std::nullopt);
}

}  // namespace
}  // namespace umbertrail::peer::detail
