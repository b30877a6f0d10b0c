#include "umbertrail/peer/codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <exception>
#include <limits>
#include <memory>
#include <optional>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "absl/strings/str_cat.h"
#include "message_fields.h"

namespace umbertrail::peer {
namespace {

using detail::kFieldCount;
using detail::kFields;
using detail::kHasFields;
using detail::kHasMembers;
using detail::kLast;

// Elements of one array. Bounds what an array header can make the reader
// allocate before its elements have come.
constexpr size_t kMaxArrayLength = 65536;
// Envelope, payload, vector, struct, optional struct, reference: with room.
constexpr size_t kMaxDepth = 12;
// version, from, revision, leaving, tag, payload
constexpr size_t kEnvelopeFields = 6;

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

// -- Writing ------------------------------------------------------------------

class Writer {
 public:
  explicit Writer(msgpack::sbuffer* buf) : packer_(buf) {}

  // Whether every array is short enough for a reader.
  bool readable() const { return readable_; }

  void ArrayHeader(size_t n) {
    readable_ = readable_ && n <= kMaxArrayLength;
    packer_.pack_array(static_cast<uint32_t>(n));
  }

  void Value(const std::string& text) {
    packer_.pack_str(static_cast<uint32_t>(text.size()));
    packer_.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
  }
  template <typename Tag>
  void Value(const TextId<Tag>& id) {
    Value(id.text());
  }
  template <typename Tag, typename Rep>
  void Value(Quantity<Tag, Rep> quantity) {
    packer_.pack(quantity.value());
  }
  void Value(absl::Duration duration) {
    packer_.pack_int64(absl::ToInt64Nanoseconds(duration));
  }
  void Value(const core::Body& body) {
    if (body == nullptr) {
      packer_.pack_nil();
      return;
    }
    packer_.pack_bin(static_cast<uint32_t>(body->size()));
    packer_.pack_bin_body(body->data(), static_cast<uint32_t>(body->size()));
  }
  template <typename T>
  void Value(const std::optional<T>& optional) {
    if (!optional.has_value()) {
      packer_.pack_nil();
      return;
    }
    Value(*optional);
  }
  template <typename T>
  void Value(const std::vector<T>& items) {
    ArrayHeader(items.size());
    for (const T& item : items) {
      Value(item);
    }
  }
  template <typename T>
  void Value(const T& value) {
    if constexpr (kHasFields<T>) {
      static_assert(kHasMembers<T, kFieldCount<T>>,
                    "a member is missing in message_fields.h");
      ArrayHeader(kFieldCount<T>);
      std::apply([&](auto... member) { (Value(value.*member), ...); },
                 kFields<T>);
    } else if constexpr (std::is_enum_v<T>) {
      packer_.pack(static_cast<uint32_t>(value));
    } else {
      static_assert(std::is_arithmetic_v<T>);
      packer_.pack(value);
    }
  }

 private:
  msgpack::packer<msgpack::sbuffer> packer_;
  bool readable_ = true;
};

// -- Reading ------------------------------------------------------------------

// Each overload fills its argument and returns whether the object had the
// expected shape.
class Reader {
 public:
  static bool Value(const msgpack::object& in, bool* out) {
    if (in.type != msgpack::type::BOOLEAN) {
      return false;
    }
    *out = in.via.boolean;
    return true;
  }
  static bool Value(const msgpack::object& in, double* out) {
    // The library writes a whole number, such as 1.0, as an integer.
    if (in.type == msgpack::type::POSITIVE_INTEGER) {
      *out = static_cast<double>(in.via.u64);
      return true;
    }
    if (in.type == msgpack::type::NEGATIVE_INTEGER) {
      *out = static_cast<double>(in.via.i64);
      return true;
    }
    if (in.type != msgpack::type::FLOAT64 || !std::isfinite(in.via.f64)) {
      return false;
    }
    *out = in.via.f64;
    return true;
  }
  static bool Value(const msgpack::object& in, std::string* out) {
    if (in.type != msgpack::type::STR) {
      return false;
    }
    out->assign(in.via.str.ptr, in.via.str.size);
    return true;
  }
  template <typename Tag>
  static bool Value(const msgpack::object& in, TextId<Tag>* out) {
    std::string text;
    if (!Value(in, &text)) {
      return false;
    }
    *out = TextId<Tag>(std::move(text));
    return true;
  }
  template <typename Tag, typename Rep>
  static bool Value(const msgpack::object& in, Quantity<Tag, Rep>* out) {
    Rep value = 0;
    if (!Value(in, &value)) {
      return false;
    }
    *out = Quantity<Tag, Rep>(value);
    return true;
  }
  static bool Value(const msgpack::object& in, absl::Duration* out) {
    int64_t n = 0;
    if (!Value(in, &n)) {
      return false;
    }
    // The limits stand for infinity, as absl::ToInt64Nanoseconds() gives them.
    if (n == std::numeric_limits<int64_t>::max()) {
      *out = absl::InfiniteDuration();
    } else if (n == std::numeric_limits<int64_t>::min()) {
      *out = -absl::InfiniteDuration();
    } else {
      *out = absl::Nanoseconds(n);
    }
    return true;
  }
  static bool Value(const msgpack::object& in, core::Body* out) {
    if (in.type == msgpack::type::NIL) {
      *out = nullptr;
      return true;
    }
    if (in.type != msgpack::type::BIN) {
      return false;
    }
    *out = std::make_shared<const std::string>(in.via.bin.ptr, in.via.bin.size);
    return true;
  }
  template <typename T>
  static bool Value(const msgpack::object& in, std::optional<T>* out) {
    if (in.type == msgpack::type::NIL) {
      out->reset();
      return true;
    }
    return Value(in, &out->emplace());
  }
  template <typename T>
  static bool Value(const msgpack::object& in, std::vector<T>* out) {
    if (in.type != msgpack::type::ARRAY) {
      return false;
    }
    out->resize(in.via.array.size);
    for (size_t i = 0; i < out->size(); ++i) {
      if (!Value(in.via.array.ptr[i], &(*out)[i])) {
        return false;
      }
    }
    return true;
  }
  template <typename T>
  static bool Value(const msgpack::object& in, T* out) {
    if constexpr (kHasFields<T>) {
      return Struct(in, out);
    } else if constexpr (std::is_enum_v<T>) {
      return Enumerator(in, out);
    } else {
      return Integer(in, out);
    }
  }

 private:
  template <typename T>
  static bool Struct(const msgpack::object& in, T* out) {
    if (in.type != msgpack::type::ARRAY ||
        in.via.array.size != kFieldCount<T>) {
      return false;
    }
    const msgpack::object* it = in.via.array.ptr;
    return std::apply(
        [&](auto... member) { return (Value(*it++, &(out->*member)) && ...); },
        kFields<T>);
  }
  template <typename T>
  static bool Enumerator(const msgpack::object& in, T* out) {
    uint32_t n = 0;
    if (!Integer(in, &n) || n > static_cast<uint32_t>(kLast<T>)) {
      return false;
    }
    *out = static_cast<T>(n);
    return true;
  }
  template <typename T>
  static bool Integer(const msgpack::object& in, T* out) {
    static_assert(std::is_integral_v<T>);
    if (in.type == msgpack::type::POSITIVE_INTEGER) {
      constexpr auto max = static_cast<uint64_t>(std::numeric_limits<T>::max());
      *out = static_cast<T>(in.via.u64);
      return in.via.u64 <= max;
    }
    if constexpr (std::is_signed_v<T>) {
      *out = static_cast<T>(in.via.i64);
      return in.type == msgpack::type::NEGATIVE_INTEGER &&
             in.via.i64 >= std::numeric_limits<T>::min();
    }
    return false;
  }
};

// -- Payload tags -------------------------------------------------------------

constexpr size_t kPayloadKinds = std::variant_size_v<core::PeerPayload>;

template <size_t Tag>
bool ReadPayload(const msgpack::object& in, core::PeerPayload* out) {
  return Reader::Value(in, &out->emplace<Tag>());
}

using PayloadReader = bool (*)(const msgpack::object&, core::PeerPayload*);

template <size_t... Tags>
constexpr std::array<PayloadReader, kPayloadKinds> MakePayloadReaders(
    std::index_sequence<Tags...>) {
  return {ReadPayload<Tags>...};
}

// Indexed by tag, which is the payload's place in core::PeerPayload.
constexpr auto kPayloadReaders =
    MakePayloadReaders(std::make_index_sequence<kPayloadKinds>{});

// -- Envelope -----------------------------------------------------------------

Error Corrupt(std::string message) {
  return Error{ErrorCode::kCorrupt, std::move(message)};
}

Result<core::PeerEnvelope> ReadEnvelope(const msgpack::object& in) {
  if (in.type != msgpack::type::ARRAY || in.via.array.size != kEnvelopeFields) {
    return Corrupt("not an envelope");
  }
  const msgpack::object* fields = in.via.array.ptr;
  uint32_t version = 0;
  if (!Reader::Value(fields[0], &version) || version != kCodecVersion) {
    return Corrupt(absl::StrCat("codec version ", version, " is not ours"));
  }
  core::PeerEnvelope envelope;
  if (!Reader::Value(fields[1], &envelope.from) ||
      !Reader::Value(fields[2], &envelope.revision) ||
      !Reader::Value(fields[3], &envelope.leaving)) {
    return Corrupt("malformed envelope header");
  }
  uint32_t tag = 0;
  if (!Reader::Value(fields[4], &tag) || tag >= kPayloadKinds) {
    return Corrupt("unknown payload tag");
  }
  if (!kPayloadReaders[tag](fields[5], &envelope.payload)) {
    return Corrupt(absl::StrCat("malformed payload of tag ", tag));
  }
  return envelope;
}

// An array of `bytes.size()` elements needs at least that many bytes.
msgpack::unpack_limit LimitsFor(std::string_view bytes) {
  const size_t n = bytes.size();
  const size_t array = std::min(n, kMaxArrayLength);
  return msgpack::unpack_limit(array, /*map=*/0, n, n, /*ext=*/0, kMaxDepth);
}

}  // namespace

Result<std::string> EncodeEnvelope(const core::PeerEnvelope& envelope) {
  msgpack::sbuffer buf;
  Writer writer(&buf);
  writer.ArrayHeader(kEnvelopeFields);
  writer.Value(kCodecVersion);
  writer.Value(envelope.from);
  writer.Value(envelope.revision);
  writer.Value(envelope.leaving);
  writer.Value(static_cast<uint32_t>(envelope.payload.index()));
  std::visit([&](const auto& payload) { writer.Value(payload); },
             envelope.payload);
  if (buf.size() > kMaxEnvelopeBytes || !writer.readable()) {
    return Error{ErrorCode::kInvalidArgument,
                 absl::StrCat("envelope of ", buf.size(),
                              " bytes is over the codec's limits")};
  }
  return std::string(buf.data(), buf.size());
}

Result<core::PeerEnvelope> DecodeEnvelope(std::string_view bytes) {
  if (bytes.size() > kMaxEnvelopeBytes) {
    return Corrupt("oversize envelope");
  }
  // The msgpack library reports malformed bytes by exceptions only.
  try {
    size_t off = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), off, nullptr, nullptr, LimitsFor(bytes));
    if (off != bytes.size()) {
      return Corrupt("trailing bytes");
    }
    return ReadEnvelope(handle.get());
  } catch (const std::exception& ex) {
    return Corrupt(absl::StrCat("not msgpack: ", ex.what()));
  }
}

bool FuzzPeerCodec(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const Result<core::PeerEnvelope> decoded = DecodeEnvelope(bytes);
  if (!IsOk(decoded)) {
    return true;
  }
  const Result<std::string> encoded = EncodeEnvelope(ValueOf(decoded));
  if (!IsOk(encoded)) {
    return true;  // a longer spelling of the same numbers may exceed the limit
  }
  const Result<core::PeerEnvelope> again = DecodeEnvelope(ValueOf(encoded));
  if (!IsOk(again)) {
    return false;
  }
  const Result<std::string> twice = EncodeEnvelope(ValueOf(again));
  return IsOk(twice) && ValueOf(twice) == ValueOf(encoded);
}

}  // namespace umbertrail::peer
