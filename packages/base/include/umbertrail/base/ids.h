#ifndef UMBERTRAIL_BASE_IDS_H_
#define UMBERTRAIL_BASE_IDS_H_

#include <cstdint>
#include <string>
#include <utility>

namespace umbertrail {

// Strongly typed string id. Comparison and hashing use the text. An empty id
// means "none".
template <typename Tag>
class TextId {
 public:
  TextId() = default;
  explicit TextId(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend bool operator==(const TextId& a, const TextId& b) {
    return a.text_ == b.text_;
  }
  friend bool operator!=(const TextId& a, const TextId& b) { return !(a == b); }
  friend bool operator<(const TextId& a, const TextId& b) {
    return a.text_ < b.text_;
  }
  template <typename H>
  friend H AbslHashValue(H h, const TextId& id) {
    return H::combine(std::move(h), id.text_);
  }

 private:
  std::string text_;
};

// Strongly typed number. Arithmetic needs operands of one kind and does not
// check for overflow.
template <typename Tag, typename Rep>
class Quantity {
 public:
  using rep = Rep;

  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }

  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr bool operator==(Quantity a, Quantity b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(Quantity a, Quantity b) { return !(a == b); }
  friend constexpr bool operator<(Quantity a, Quantity b) {
    return a.value_ < b.value_;
  }
  friend constexpr bool operator>(Quantity a, Quantity b) { return b < a; }
  friend constexpr bool operator<=(Quantity a, Quantity b) { return !(b < a); }
  friend constexpr bool operator>=(Quantity a, Quantity b) { return !(a < b); }
  template <typename H>
  friend H AbslHashValue(H h, Quantity q) {
    return H::combine(std::move(h), q.value_);
  }

 private:
  Rep value_ = 0;
};

// An instance is an entry process as the platform lists it; a target is a model
// engine or a plain service.
using InstanceId = TextId<struct InstanceIdTag>;
using DataCentreId = TextId<struct DataCentreIdTag>;
using RegionId = TextId<struct RegionIdTag>;
using ClientAccountId = TextId<struct ClientAccountIdTag>;
using TargetId = TextId<struct TargetIdTag>;
using ModelId = TextId<struct ModelIdTag>;
using AdapterId = TextId<struct AdapterIdTag>;
using ServiceId = TextId<struct ServiceIdTag>;
using RequestId = TextId<struct RequestIdTag>;
using BootId = TextId<struct BootIdTag>;

// Random number drawn at each start of an instance.
using Incarnation = Quantity<struct IncarnationTag, uint64_t>;
// Increasing revision of published manifests; 0 means none.
using ManifestRevision = Quantity<struct ManifestRevisionTag, uint64_t>;
// Attempt of a request, counted from 1.
using AttemptNumber = Quantity<struct AttemptNumberTag, uint32_t>;
// Identifies a prompt's content and account, for quarantine.
using Fingerprint = Quantity<struct FingerprintTag, uint64_t>;

// Hash of a client account's name.
using AccountHash = Quantity<struct AccountHashTag, uint64_t>;
// Hash of a prompt prefix up to a block boundary.
using PrefixHash = Quantity<struct PrefixHashTag, uint64_t>;
// Length of a prompt or output, or offset in an output, in tokens.
using Tokens = Quantity<struct TokensTag, int64_t>;

// One incarnation of an instance. A restarted instance is a different peer.
struct InstanceRef {
  InstanceId id;
  Incarnation incarnation;

  friend bool operator==(const InstanceRef& a, const InstanceRef& b) {
    return a.id == b.id && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const InstanceRef& a, const InstanceRef& b) {
    return !(a == b);
  }
  friend bool operator<(const InstanceRef& a, const InstanceRef& b) {
    return a.id == b.id ? a.incarnation < b.incarnation : a.id < b.id;
  }
  template <typename H>
  friend H AbslHashValue(H h, const InstanceRef& ref) {
    return H::combine(std::move(h), ref.id, ref.incarnation);
  }
};

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_IDS_H_
