#ifndef UMBERTRAIL_FRONT_TARGET_POOL_H_
#define UMBERTRAIL_FRONT_TARGET_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "umbertrail/base.h"
#include "umbertrail/net/client.h"

namespace umbertrail::front {

// Pool of idle connections to targets.
class TargetPool {
 public:
  // A live machine accepts a connection within this, even across data centres.
  static constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
  // A live target acknowledges sent bytes within this.
  static constexpr absl::Duration kAckTimeout = absl::Seconds(3);

  // Connections are charged to `memory`, if that is given.
  explicit TargetPool(net::Loop& loop,
                      std::shared_ptr<net::MemoryBudget> memory = nullptr)
      : loop_(loop), memory_(std::move(memory)) {}

  // Returns an idle connection for one call to the target, or a new one that is
  // not connected yet.
  std::shared_ptr<net::ClientConnection> Acquire(const TargetId& target,
                                                 const net::Endpoint& endpoint);
  // Returns a connection to the pool; dropped if it is not reusable.
  void Release(const TargetId& target,
               std::shared_ptr<net::ClientConnection> connection);
  void CloseIdle(const TargetId& target);
  void CloseAllIdle() { idle_.clear(); }

 private:
  net::Loop& loop_;
  std::shared_ptr<net::MemoryBudget> memory_;
  std::map<TargetId, std::vector<std::shared_ptr<net::ClientConnection>>> idle_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_TARGET_POOL_H_
