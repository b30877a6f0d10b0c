#ifndef UMBERTRAIL_NET_ALARM_H_
#define UMBERTRAIL_NET_ALARM_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>

#include "absl/time/time.h"
#include "umbertrail/net/socket.h"

namespace umbertrail::net {

// Restartable one-shot timer, a member of an object held by shared pointers.
// Setting it again discards the earlier expiry, even when that is queued.
class Timer {
 public:
  explicit Timer(Loop& loop) : timer_(loop) {}

  // Calls `then` after `wait` unless `owner` has been destroyed. The timer
  // must be a member of `owner`.
  template <typename Owner>
  void Set(absl::Duration wait,
           const std::shared_ptr<Owner>& owner,
           void (Owner::*then)()) {
    const uint64_t round = ++round_;
    timer_.expires_after(ToChrono(wait));
    timer_.async_wait([this, weak = std::weak_ptr<Owner>(owner), round,
                       then](const boost::system::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && round == round_) {
        (self.get()->*then)();
      }
    });
  }

  void Cancel() {
    ++round_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  uint64_t round_ = 0;
};

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_ALARM_H_
