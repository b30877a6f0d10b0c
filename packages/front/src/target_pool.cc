#include "umbertrail/front/target_pool.h"

#include <utility>

namespace umbertrail::front {
namespace {

// Further idle connections to one target are closed.
constexpr size_t kMaxIdlePerTarget = 16;

}  // namespace

std::shared_ptr<net::ClientConnection> TargetPool::Acquire(
    const TargetId& target,
    const net::Endpoint& endpoint) {
  auto& idle = idle_[target];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Reusable() && connection->endpoint() == endpoint) {
      return connection;
    }
    connection->Close();
  }
  return std::make_shared<net::ClientConnection>(loop_, memory_);
}

void TargetPool::Release(const TargetId& target,
                         std::shared_ptr<net::ClientConnection> connection) {
  if (!connection->Reusable()) {
    return;
  }
  auto& idle = idle_[target];
  if (idle.size() >= kMaxIdlePerTarget) {
    connection->Close();
    return;
  }
  idle.push_back(std::move(connection));
}

void TargetPool::CloseIdle(const TargetId& target) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) {
    return;
  }
  for (const auto& connection : found->second) {
    connection->Close();
  }
  idle_.erase(found);
}

}  // namespace umbertrail::front
