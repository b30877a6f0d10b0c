#ifndef UMBERTRAIL_BASE_IDS_H_
#define UMBERTRAIL_BASE_IDS_H_

#include <cstdint>
#include <string>
#include <utility>

namespace umbertrail {

// A text id that cannot be mixed up with another kind of id. Equality, order
// and hashing are those of the text. An empty id means "none".
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

// A counted quantity or number that cannot be mixed up with another kind.
// Arithmetic stays within the kind; overflow is the caller's to avoid.
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

// Ids. An instance is one entry process's place in the platform's list; a
// target is a model engine or a plain service runner.
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

// Random number of one life of an instance process.
using Incarnation = Quantity<struct IncarnationTag, uint64_t>;
// Monotone number of a published manifest; 0 means none.
using ManifestRevision = Quantity<struct ManifestRevisionTag, uint64_t>;
// Number of one try of a request, from 1.
using AttemptNumber = Quantity<struct AttemptNumberTag, uint32_t>;
// Identifies a prompt's content and account, for quarantine.
using Fingerprint = Quantity<struct FingerprintTag, uint64_t>;
// Hash of a prompt prefix up to a block boundary.
using PrefixHash = Quantity<struct PrefixHashTag, uint64_t>;
// Prompt or output length; offsets into an answer count in tokens too.
using Tokens = Quantity<struct TokensTag, int64_t>;

// One life of one instance. Two lives of the same address are different peers.
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
