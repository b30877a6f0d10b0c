#include "umbertrail/front/target_pool.h"

#include <utility>

namespace umbertrail::front {
namespace {

// More kept connections to one target bring nothing.
constexpr size_t kMaxKept = 16;

}  // namespace

std::shared_ptr<net::ClientConnection> TargetPool::Acquire(
    const TargetId& target,
    const net::Endpoint& endpoint) {
  auto& kept = kept_[target];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->Reusable() && connection->endpoint() == endpoint) {
      return connection;
    }
    connection->Close();
  }
  return std::make_shared<net::ClientConnection>(loop_);
}

void TargetPool::Release(const TargetId& target,
                         std::shared_ptr<net::ClientConnection> connection) {
  if (!connection->Reusable()) {
    return;
  }
  auto& kept = kept_[target];
  if (kept.size() >= kMaxKept) {
    connection->Close();
    return;
  }
  kept.push_back(std::move(connection));
}

void TargetPool::CloseIdle(const TargetId& target) {
  const auto found = kept_.find(target);
  if (found == kept_.end()) {
    return;
  }
  for (const auto& connection : found->second) {
    connection->Close();
  }
  kept_.erase(found);
}

}  // namespace umbertrail::front
