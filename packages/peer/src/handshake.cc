#include "handshake.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <msgpack.hpp>

#include "absl/strings/str_cat.h"

namespace umbertrail::peer::detail {
namespace {

constexpr size_t kNonceBytes = 32;
constexpr size_t kKeyIdBytes = 8;
constexpr size_t kHelloFields = 5;
constexpr size_t kWelcomeFields = 6;
constexpr int kBitsPerByte = 8;

std::string Hmac(std::string_view key, std::string_view data) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), out,
       &n);
  return std::string(reinterpret_cast<const char*>(out), n);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string KeyIdOf(const PeerKey& key) {
  return Hmac(key.secret, "umbertrail key id").substr(0, kKeyIdBytes);
}

std::string DrawNonce(RandomSource* random) {
  std::string nonce;
  while (nonce.size() < kNonceBytes) {
    const uint64_t n = random->Next();
    nonce.append(reinterpret_cast<const char*>(&n), sizeof(n));
  }
  return nonce;
}

struct HelloFrame {
  uint32_t version = 0;
  InstanceRef self;
  std::string nonce;
  std::vector<std::string> key_ids;
};

struct WelcomeFrame {
  uint32_t version = 0;
  InstanceRef self;
  std::string nonce;
  std::string key_id;
  std::string proof;
};

std::string Encode(const HelloFrame& hello) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(&buf);
  packer.pack_array(kHelloFields);
  packer.pack(hello.version);
  packer.pack(hello.self.id.text());
  packer.pack(hello.self.incarnation.value());
  packer.pack(hello.nonce);
  packer.pack(hello.key_ids);
  return std::string(buf.data(), buf.size());
}

std::string Encode(const WelcomeFrame& welcome) {
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(&buf);
  packer.pack_array(kWelcomeFields);
  packer.pack(welcome.version);
  packer.pack(welcome.self.id.text());
  packer.pack(welcome.self.incarnation.value());
  packer.pack(welcome.nonce);
  packer.pack(welcome.key_id);
  packer.pack(welcome.proof);
  return std::string(buf.data(), buf.size());
}

// The fields of a handshake frame whose version is ours. The version comes
// first in every version, so that a mismatch can be named.
HandshakeResult<std::vector<msgpack::object>> FieldsOf(
    const msgpack::object& frame,
    size_t count) {
  if (frame.type != msgpack::type::ARRAY || frame.via.array.size == 0) {
    return HandshakeFault::kMalformed;
  }
  const msgpack::object* begin = frame.via.array.ptr;
  const size_t n = frame.via.array.size;
  if (begin->as<uint32_t>() != kLinkVersion) {
    return HandshakeFault::kVersion;
  }
  if (n != count) {
    return HandshakeFault::kMalformed;
  }
  return std::vector<msgpack::object>(begin, begin + n);
}

HelloFrame ReadHello(const std::vector<msgpack::object>& fields) {
  HelloFrame hello;
  hello.version = fields[0].as<uint32_t>();
  hello.self.id = InstanceId(fields[1].as<std::string>());
  hello.self.incarnation = Incarnation(fields[2].as<uint64_t>());
  hello.nonce = fields[3].as<std::string>();
  hello.key_ids = fields[4].as<std::vector<std::string>>();
  return hello;
}

WelcomeFrame ReadWelcome(const std::vector<msgpack::object>& fields) {
  WelcomeFrame welcome;
  welcome.version = fields[0].as<uint32_t>();
  welcome.self.id = InstanceId(fields[1].as<std::string>());
  welcome.self.incarnation = Incarnation(fields[2].as<uint64_t>());
  welcome.nonce = fields[3].as<std::string>();
  welcome.key_id = fields[4].as<std::string>();
  welcome.proof = fields[5].as<std::string>();
  return welcome;
}

// Decodes a frame with `read`; the msgpack library reports faults by
// exceptions.
template <typename T>
HandshakeResult<T> Decode(std::string_view frame,
                          size_t count,
                          T (*read)(const std::vector<msgpack::object>&)) {
  constexpr size_t max_depth = 3;
  try {
    size_t off = 0;
    const size_t n = frame.size();
    const msgpack::object_handle handle =
        msgpack::unpack(frame.data(), n, off, nullptr, nullptr,
                        msgpack::unpack_limit(n, 0, n, n, 0, max_depth));
    if (off != n) {
      return HandshakeFault::kMalformed;
    }
    const auto fields = FieldsOf(handle.get(), count);
    if (const auto* fault = std::get_if<HandshakeFault>(&fields)) {
      return *fault;
    }
    T value = read(std::get<0>(fields));
    if (value.nonce.size() != kNonceBytes) {
      return HandshakeFault::kMalformed;
    }
    return value;
  } catch (const std::exception&) {
    return HandshakeFault::kMalformed;
  }
}

std::string DescribeSide(const InstanceRef& ref, const std::string& nonce) {
  // The length keeps two different sides from having the same text.
  return absl::StrCat(ref.id.text().size(), ":", ref.id.text(), ":",
                      ref.incarnation.value(), ":", nonce);
}

// Everything both sides said, and what is derived from it.
class Transcript {
 public:
  Transcript(const PeerKey& key,
             const InstanceRef& opener,
             const std::string& opener_nonce,
             const InstanceRef& acceptor,
             const std::string& acceptor_nonce)
      : key_(key.secret),
        text_(absl::StrCat(DescribeSide(opener, opener_nonce),
                           DescribeSide(acceptor, acceptor_nonce))) {}

  std::string OpenerProof() const { return Derive("opener proof"); }
  std::string AcceptorProof() const { return Derive("acceptor proof"); }
  std::string OpenerFrameKey() const { return Derive("opener frames"); }
  std::string AcceptorFrameKey() const { return Derive("acceptor frames"); }

 private:
  std::string Derive(const char* label) const {
    return Hmac(key_, absl::StrCat(label, "\n", text_));
  }

  std::string key_;
  std::string text_;
};

const PeerKey* FindKey(const std::vector<PeerKey>& keys,
                       const std::string& key_id) {
  const auto it =
      std::find_if(keys.begin(), keys.end(),
                   [&](const PeerKey& key) { return KeyIdOf(key) == key_id; });
  return it == keys.end() ? nullptr : &*it;
}

// The first of our keys that the other side has too.
const PeerKey* FindSharedKey(const std::vector<PeerKey>& keys,
                             const std::vector<std::string>& key_ids) {
  const auto it =
      std::find_if(keys.begin(), keys.end(), [&](const PeerKey& key) {
        return std::find(key_ids.begin(), key_ids.end(), KeyIdOf(key)) !=
               key_ids.end();
      });
  return it == keys.end() ? nullptr : &*it;
}

std::string MacOf(const std::string& key,
                  uint64_t number,
                  std::string_view content) {
  std::string text;
  for (size_t i = sizeof(number); i > 0; --i) {
    text.push_back(static_cast<char>(number >> (kBitsPerByte * (i - 1))));
  }
  text.append(content);
  return Hmac(key, text).substr(0, kMacBytes);
}

}  // namespace

OpenerHandshake::OpenerHandshake(InstanceRef self,
                                 std::vector<PeerKey> keys,
                                 RandomSource* random)
    : self_(std::move(self)),
      keys_(std::move(keys)),
      nonce_(DrawNonce(random)) {}

std::string OpenerHandshake::Hello() {
  HelloFrame hello;
  hello.version = kLinkVersion;
  hello.self = self_;
  hello.nonce = nonce_;
  for (const PeerKey& key : keys_) {
    hello.key_ids.push_back(KeyIdOf(key));
  }
  return Encode(hello);
}

HandshakeResult<OpenerHandshake::Opened> OpenerHandshake::OnWelcome(
    std::string_view frame) {
  const auto decoded = Decode(frame, kWelcomeFields, ReadWelcome);
  if (const auto* fault = std::get_if<HandshakeFault>(&decoded)) {
    return *fault;
  }
  const auto& welcome = std::get<WelcomeFrame>(decoded);
  const PeerKey* key = FindKey(keys_, welcome.key_id);
  if (key == nullptr) {
    return HandshakeFault::kKey;
  }
  const Transcript transcript(*key, self_, nonce_, welcome.self, welcome.nonce);
  if (!EqualInConstantTime(welcome.proof, transcript.AcceptorProof())) {
    return HandshakeFault::kKey;
  }
  Opened opened;
  opened.session.peer = welcome.self;
  opened.session.send_key = transcript.OpenerFrameKey();
  opened.session.receive_key = transcript.AcceptorFrameKey();
  opened.proof = transcript.OpenerProof();
  return opened;
}

AcceptorHandshake::AcceptorHandshake(InstanceRef self,
                                     std::vector<PeerKey> keys,
                                     RandomSource* random)
    : self_(std::move(self)),
      keys_(std::move(keys)),
      nonce_(DrawNonce(random)) {}

HandshakeResult<std::string> AcceptorHandshake::OnHello(
    std::string_view frame) {
  const auto decoded = Decode(frame, kHelloFields, ReadHello);
  if (const auto* fault = std::get_if<HandshakeFault>(&decoded)) {
    return *fault;
  }
  const auto& hello = std::get<HelloFrame>(decoded);
  const PeerKey* key = FindSharedKey(keys_, hello.key_ids);
  if (key == nullptr) {
    return HandshakeFault::kKey;
  }
  const Transcript transcript(*key, hello.self, hello.nonce, self_, nonce_);
  expected_proof_ = transcript.OpenerProof();
  session_.peer = hello.self;
  session_.send_key = transcript.AcceptorFrameKey();
  session_.receive_key = transcript.OpenerFrameKey();
  WelcomeFrame welcome;
  welcome.version = kLinkVersion;
  welcome.self = self_;
  welcome.nonce = nonce_;
  welcome.key_id = KeyIdOf(*key);
  welcome.proof = transcript.AcceptorProof();
  return Encode(welcome);
}

HandshakeResult<Session> AcceptorHandshake::OnProof(
    std::string_view frame) const {
  if (!EqualInConstantTime(frame, expected_proof_)) {
    return HandshakeFault::kKey;
  }
  return session_;
}

std::string FrameSealer::Seal(std::string_view content) {
  std::string frame(content);
  frame += MacOf(key_, next_++, content);
  return frame;
}

std::optional<std::string_view> FrameOpener::Open(std::string_view frame) {
  if (frame.size() < kMacBytes) {
    return std::nullopt;
  }
  const std::string_view content = frame.substr(0, frame.size() - kMacBytes);
  const std::string_view mac = frame.substr(content.size());
  if (!EqualInConstantTime(mac, MacOf(key_, next_, content))) {
    return std::nullopt;
  }
  ++next_;
  return content;
}

}  // namespace umbertrail::peer::detail
