#ifndef UMBERTRAIL_FRONT_TARGET_POOL_H_
#define UMBERTRAIL_FRONT_TARGET_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "umbertrail/base.h"
#include "umbertrail/net/client.h"

namespace umbertrail::front {

// Connections to targets that are kept for the next call.
class TargetPool {
 public:
  explicit TargetPool(net::Loop& loop) : loop_(loop) {}

  // A connection for one call to that target: a kept one, or a new one that is
  // not connected yet.
  std::shared_ptr<net::ClientConnection> Acquire(const TargetId& target,
                                                 const net::Endpoint& endpoint);
  // Gives a connection back after its call; one that can't be used is dropped.
  void Release(const TargetId& target,
               std::shared_ptr<net::ClientConnection> connection);
  // Closes what is kept to a target.
  void CloseIdle(const TargetId& target);
  void CloseAllIdle() { kept_.clear(); }

 private:
  net::Loop& loop_;
  std::map<TargetId, std::vector<std::shared_ptr<net::ClientConnection>>> kept_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_TARGET_POOL_H_
