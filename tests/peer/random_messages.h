#ifndef UMBERTRAIL_TESTS_PEER_RANDOM_MESSAGES_H_
#define UMBERTRAIL_TESTS_PEER_RANDOM_MESSAGES_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "message_fields.h"
#include "umbertrail/base.h"
#include "umbertrail/core/messages.h"

// Random messages of every kind, and their comparison field by field.

namespace umbertrail::peer {

// Fills values of every type that travels.
class MessageFiller {
 public:
  explicit MessageFiller(uint64_t seed) : random_(MakeSeededRandom(seed)) {}

  core::PeerEnvelope Envelope(size_t tag) {
    core::PeerEnvelope envelope;
    Fill(&envelope.from);
    Fill(&envelope.revision);
    Fill(&envelope.leaving);
    envelope.payload = Payload(
        tag,
        std::make_index_sequence<std::variant_size_v<core::PeerPayload>>{});
    return envelope;
  }

 private:
  template <size_t... Tags>
  core::PeerPayload Payload(size_t tag, std::index_sequence<Tags...>) {
    core::PeerPayload payload;
    ((tag == Tags ? Fill(&payload.emplace<Tags>()) : void()), ...);
    return payload;
  }

  void Fill(bool* out) { *out = random_->Below(2) == 0; }
  void Fill(double* out) { *out = random_->Fraction() * 1e6; }
  void Fill(std::string* out) {
    out->resize(random_->Below(40));
    for (char& c : *out) {
      c = static_cast<char>(random_->Next());
    }
  }
  template <typename Tag>
  void Fill(TextId<Tag>* out) {
    std::string text;
    Fill(&text);
    *out = TextId<Tag>(text);
  }
  template <typename Tag, typename Rep>
  void Fill(Quantity<Tag, Rep>* out) {
    *out = Quantity<Tag, Rep>(Number<Rep>());
  }
  void Fill(absl::Duration* out) {
    *out = random_->Below(16) == 0 ? absl::InfiniteDuration()
                                   : absl::Nanoseconds(Number<int32_t>());
  }
  void Fill(core::Body* out) {
    std::string text;
    Fill(&text);
    *out = random_->Below(3) == 0
               ? nullptr
               : std::make_shared<const std::string>(std::move(text));
  }
  template <typename T>
  void Fill(std::optional<T>* out) {
    if (random_->Below(2) == 0) {
      Fill(&out->emplace());
    }
  }
  template <typename T>
  void Fill(std::vector<T>* out) {
    out->resize(random_->Below(5));
    for (T& item : *out) {
      Fill(&item);
    }
  }
  template <typename T>
  void Fill(T* out) {
    if constexpr (detail::kHasFields<T>) {
      std::apply([&](auto... member) { (Fill(&(out->*member)), ...); },
                 detail::kFields<T>);
    } else if constexpr (std::is_enum_v<T>) {
      const auto last = static_cast<uint64_t>(detail::kLast<T>);
      *out = static_cast<T>(random_->Below(last + 1));
    } else {
      *out = Number<T>();
    }
  }

  // Of every magnitude, the extremes included.
  template <typename T>
  T Number() {
    return static_cast<T>(random_->Next() >> random_->Below(64));
  }

  std::unique_ptr<RandomSource> random_;
};

template <typename T>
bool SameValue(const T& a, const T& b);

template <typename T>
bool SameValue(const std::vector<T>& a, const std::vector<T>& b) {
  bool same = a.size() == b.size();
  for (size_t i = 0; same && i < a.size(); ++i) {
    same = SameValue(a[i], b[i]);
  }
  return same;
}

template <typename T>
bool SameValue(const std::optional<T>& a, const std::optional<T>& b) {
  return a.has_value() == b.has_value() && (!a || SameValue(*a, *b));
}

inline bool SameValue(const core::Body& a, const core::Body& b) {
  return (a == nullptr) == (b == nullptr) && (a == nullptr || *a == *b);
}

template <typename T>
bool SameValue(const T& a, const T& b) {
  if constexpr (detail::kHasFields<T>) {
    return std::apply(
        [&](auto... member) {
          return (SameValue(a.*member, b.*member) && ...);
        },
        detail::kFields<T>);
  } else {
    return a == b;
  }
}

inline bool SameEnvelope(const core::PeerEnvelope& a,
                         const core::PeerEnvelope& b) {
  if (a.from != b.from || a.revision != b.revision || a.leaving != b.leaving ||
      a.payload.index() != b.payload.index()) {
    return false;
  }
  return std::visit(
      [&](const auto& payload) {
        using Payload = std::decay_t<decltype(payload)>;
        return SameValue(payload, std::get<Payload>(b.payload));
      },
      a.payload);
}

}  // namespace umbertrail::peer

#endif  // UMBERTRAIL_TESTS_PEER_RANDOM_MESSAGES_H_
