#ifndef UMBERTRAIL_NET_MEMORY_BUDGET_H_
#define UMBERTRAIL_NET_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/strings/string_view.h"

// The memory that clients, targets and other instances can make a process use.

namespace umbertrail::net {

// What memory is charged for. Each use has a part of the budget of its own, so
// that none can take the others' memory.
enum class MemoryUse {
  // Connections, and the heads and pipelined bytes read from them.
  kConnections,
  // Request bodies, for as long as a further attempt may need them.
  kBodies,
  // Responses that are buffered or not sent yet.
  kResponses
};
inline constexpr size_t kMemoryUses = 3;

// What was refused or closed for want of memory or connections.
enum class ShedReason {
  // A request was refused, as no memory was left for it.
  kNoMemory,
  // A request was refused that had been arriving too slowly.
  kStalledRequest,
  // A connection was closed, as its client did not read the response.
  kUnreadResponse,
  // An idle connection was closed.
  kIdleConnection,
  // A new connection was closed at once.
  kNewConnection
};
inline constexpr size_t kShedReasons = 5;

absl::string_view NameOf(MemoryUse use);
absl::string_view NameOf(ShedReason reason);

// IPv4 address of a client.
using ClientAddress = uint32_t;

// Memory that is asked for.
struct MemoryDemand {
  MemoryUse use = MemoryUse::kConnections;
  size_t bytes = 0;
  // The client that asks.
  ClientAddress address = 0;
};

// Releases memory of others on demand.
class MemoryReclaimer {
 public:
  virtual ~MemoryReclaimer() = default;
  // Closes connections that make no progress, or whose address holds more than
  // its part, until about the demanded memory is free.
  virtual void Reclaim(const MemoryDemand& demand) = 0;
};

// Counts the bytes of all buffers that peers can make grow, and bounds them.
// Charging is an addition. Event loop thread only.
class MemoryBudget {
 public:
  // Unlimited until SetSize.
  MemoryBudget();

  // Divides `bytes` among the uses. What is charged beyond stays charged.
  void SetSize(size_t bytes);
  size_t part(MemoryUse use) const { return parts_[Index(use)]; }
  size_t used(MemoryUse use) const { return used_[Index(use)]; }

  // Whether `bytes` more fit into the part.
  bool HasRoom(MemoryUse use, size_t bytes) const {
    return used(use) + bytes <= part(use);
  }
  // As HasRoom; if they don't fit, the reclaimers are asked first.
  bool MakeRoom(const MemoryDemand& demand);
  // True when over half of the part is used. Buffers that only save time are
  // then kept small.
  bool IsUnderPressure(MemoryUse use) const {
    return used(use) > part(use) / 2;
  }

  // `reclaimer` is asked in the order of registration, until it is removed.
  void Add(MemoryReclaimer* reclaimer);
  void Remove(MemoryReclaimer* reclaimer);

  // `on_shed` runs for each refused request and closed connection.
  void SetOnShed(std::function<void(ShedReason reason)> on_shed) {
    on_shed_ = std::move(on_shed);
  }
  void NoteShed(ShedReason reason) const;
  // `on_drained` runs when less than half is used of what was used at most
  // since the last time, if that was over a quarter of the budget. It must not
  // charge.
  void SetOnDrained(std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
  }

 private:
  friend class MemoryCharge;
  static size_t Index(MemoryUse use) { return static_cast<size_t>(use); }
  // Replaces a charge of `before` bytes by one of `after`.
  void Change(MemoryUse use, size_t before, size_t after);

  std::array<size_t, kMemoryUses> parts_;
  std::array<size_t, kMemoryUses> used_ = {};
  std::vector<MemoryReclaimer*> reclaimers_;
  std::function<void(ShedReason)> on_shed_;
  std::function<void()> on_drained_;
  size_t size_;
  size_t total_ = 0;
  size_t peak_ = 0;
};

// Bytes charged to a budget until this is destroyed.
class MemoryCharge {
 public:
  // Without a budget nothing is charged.
  MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
      : budget_(std::move(budget)), use_(use) {}
  ~MemoryCharge() { Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Charges `bytes` instead of the current amount.
  void Set(size_t bytes) {
    if (bytes != bytes_ && budget_ != nullptr) {
      budget_->Change(use_, bytes_, bytes);
    }
    bytes_ = bytes;
  }
  size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryUse use_;
  size_t bytes_ = 0;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_MEMORY_BUDGET_H_
