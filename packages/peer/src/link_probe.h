#ifndef UMBERTRAIL_PEER_LINK_PROBE_H_
#define UMBERTRAIL_PEER_LINK_PROBE_H_

#include <cstdint>

#include "absl/time/time.h"

namespace umbertrail::peer::detail {

// Finds a link that has gone silent: while anything sent is unconfirmed, pings
// are due; one that stays unanswered marks the link as silent. An idle link
// costs nothing.
class LinkProbe {
 public:
  LinkProbe(absl::Duration interval, absl::Duration silence_limit)
      : interval_(interval), silence_limit_(silence_limit) {}

  // Something was sent.
  void OnSent(absl::Time now) {
    if (confirmed_) {
      unconfirmed_since_ = now;
    }
    confirmed_ = false;
    sent_since_ping_ = true;
  }

  bool PingDue(absl::Time now) const {
    return !confirmed_ && !waiting_ && now - unconfirmed_since_ >= interval_;
  }

  // Whether a ping sent at once would confirm something.
  bool PingUseful() const { return !confirmed_ && !waiting_; }

  // The number of the ping to send now.
  uint64_t StartPing(absl::Time now) {
    waiting_ = true;
    sent_since_ping_ = false;
    ping_sent_ = now;
    return ++ping_;
  }

  // The ping of this number was answered.
  void OnAnswered(uint64_t number, absl::Time now) {
    if (!waiting_ || number != ping_) {
      return;
    }
    waiting_ = false;
    confirmed_ = !sent_since_ping_;
    unconfirmed_since_ = now;
  }

  bool Silent(absl::Time now) const {
    return waiting_ && now - ping_sent_ > silence_limit_;
  }

  // Whether all that was sent is known to have arrived.
  bool confirmed() const { return confirmed_; }

 private:
  absl::Duration interval_;
  absl::Duration silence_limit_;
  uint64_t ping_ = 0;
  bool waiting_ = false;
  bool confirmed_ = true;
  bool sent_since_ping_ = false;
  absl::Time ping_sent_;
  absl::Time unconfirmed_since_;
};

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_LINK_PROBE_H_
