#include "umbertrail/daemon/request_table.h"

#include <utility>

namespace umbertrail::daemon {
namespace {

size_t BytesOf(const CallerItem& item) {
  const auto* chunk = std::get_if<core::RelayChunk>(&item);
  return chunk == nullptr ? 0 : chunk->text.size();
}

}  // namespace

void CallerChannel::Put(CallerItem item) {
  const size_t n = BytesOf(item);
  absl::MutexLock lock(&mutex_);
  if (overflowed_) {
    return;
  }
  if (bytes_ + n > limit_) {
    overflowed_ = true;
    items_.clear();
    items_.emplace_back(RelayOverflow{});
    return;
  }
  bytes_ += n;
  items_.push_back(std::move(item));
}

bool CallerChannel::HasItem() const {
  return !items_.empty();
}

CallerItem CallerChannel::Take(absl::Duration limit) {
  absl::MutexLock lock(&mutex_);
  if (!mutex_.AwaitWithTimeout(absl::Condition(this, &CallerChannel::HasItem),
                               limit)) {
    return NothingYet{};
  }
  CallerItem item = std::move(items_.front());
  items_.pop_front();
  bytes_ -= BytesOf(item);
  return item;
}

std::shared_ptr<CallerChannel> RequestTable::Open(
    const RequestId& id,
    const ClientAccountId& account,
    const std::string& caller_id,
    size_t relay_bytes) {
  auto channel = std::make_shared<CallerChannel>(relay_bytes);
  const CallerKey key{account, caller_id};
  absl::MutexLock lock(&mutex_);
  if (!keys_.insert(key).second) {
    return nullptr;
  }
  entries_.emplace(id, Entry{key, channel});
  return channel;
}

void RequestTable::Close(const RequestId& id) {
  absl::MutexLock lock(&mutex_);
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  keys_.erase(it->second.key);
  entries_.erase(it);
}

size_t RequestTable::size() const {
  absl::MutexLock lock(&mutex_);
  return entries_.size();
}

void RequestTable::Relay(const core::RelayChunk& action) {
  Put(action.request, action);
}

void RequestTable::Finish(const core::FinishRequest& action) {
  Put(action.request, action.outcome);
}

void RequestTable::Issue(const core::TicketIssued& action) {
  Put(action.request, action);
}

void RequestTable::Put(const RequestId& id, CallerItem item) {
  std::shared_ptr<CallerChannel> channel;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
      return;
    }
    channel = it->second.channel;
  }
  channel->Put(std::move(item));
}

}  // namespace umbertrail::daemon
