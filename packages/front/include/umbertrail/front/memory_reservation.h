#ifndef UMBERTRAIL_FRONT_JOINT_MEMORY_H_
#define UMBERTRAIL_FRONT_JOINT_MEMORY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "umbertrail/front/state.h"

namespace umbertrail::front {

// Memory to reserve at a target.
struct MemoryTicket {
  TargetId target;
  Tokens tokens;
};

// An all-or-nothing reservation of KV cache memory at several targets for one
// prompt. It is leased for seconds and renewed while in use, so that memory
// reserved by a failed instance or a lost order expires by itself.
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  // Runs once: with null when all memory is reserved, otherwise with a target
  // that did not grant it; then nothing stays reserved.
  using Callback = std::function<void(const TargetId* failed_target)>;

  // `name` must be unique among the reservations of all instances.
  MemoryReservation(State& state, std::string name);

  // The tickets' targets must be known to the instance's view.
  void Reserve(const std::vector<MemoryTicket>& tickets, Callback done);
  // Releases all memory, including that of reservations still in flight. A
  // release that fails is sent once more.
  void Release();
  // The same at all targets.
  const std::string& name() const { return name_; }

 private:
  class Order;
  struct Share {
    TargetId target;
    std::string address;
    Tokens tokens;
    bool held = false;
    bool release_repeated = false;
  };

  void Send(size_t share, bool release);
  void OnOrderFinished(size_t share, bool release, bool done);
  void OnReleaseFailed(size_t share);
  void Renew();

  State& state_;
  std::string name_;
  std::vector<Share> shares_;
  std::vector<std::shared_ptr<Order>> orders_;
  Callback callback_;
  net::Timer alarm_;
  bool released_ = false;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_JOINT_MEMORY_H_
