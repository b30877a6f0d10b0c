#ifndef UMBERTRAIL_FRONT_JOINT_MEMORY_H_
#define UMBERTRAIL_FRONT_JOINT_MEMORY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "umbertrail/front/state.h"

namespace umbertrail::front {

// Memory set aside at several targets for one prompt: all of it or none. It is
// held for seconds only and prolonged while the prompt needs it, so that what
// a lost instance or a lost order leaves behind lapses by itself.
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  // Runs once: with no target when all memory is set aside, and otherwise with
  // the target that had none; then nothing is held.
  using Done = std::function<void(const TargetId* without)>;

  // `name` is unique among all reservations of all instances.
  MemoryReservation(State& state, std::string name, Tokens each);

  void Reserve(const std::vector<TargetId>& targets, Done done);
  // Gives everything back; also what is still being asked for.
  void Release();
  // The reservation's name, the same at all targets.
  const std::string& name() const { return name_; }

 private:
  class Order;
  struct Share {
    TargetId target;
    std::string address;
    bool held = false;
  };

  void Send(size_t share, bool release);
  void OnOrderEnd(size_t share, bool release, bool done);
  void Prolong();

  State& state_;
  std::string name_;
  Tokens each_;
  std::vector<Share> shares_;
  std::vector<std::shared_ptr<Order>> orders_;
  Done done_;
  net::Timer alarm_;
  bool released_ = false;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_JOINT_MEMORY_H_
