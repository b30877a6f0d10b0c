#ifndef UMBERTRAIL_PEER_PEER_LINKS_H_
#define UMBERTRAIL_PEER_PEER_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/messages.h"
#include "umbertrail/peer/codec.h"
#include "umbertrail/peer/keys.h"

namespace umbertrail::peer {

// A bound TCP listener, ready to accept. Movable; closes its socket when
// destroyed.
class Listener {
 public:
  // Binds "IP:port" ("[IP]:port" for IPv6). With port 0 the kernel chooses one.
  // Fails with kInvalidArgument for a malformed address and with kUnavailable
  // when it can't be bound.
  static Result<Listener> Bind(const std::string& address);

  Listener(Listener&& other) noexcept;
  Listener& operator=(Listener&& other) noexcept;
  ~Listener();

  // The bound address, with the real port.
  const std::string& address() const { return address_; }
  int fd() const { return fd_; }

 private:
  Listener(int fd, std::string address);

  int fd_ = -1;
  std::string address_;
};

// Bounds and times of all links of an instance.
struct LinkLimits {
  // Largest frame accepted, without its length prefix. A malformed, forged or
  // larger frame closes its link.
  size_t frame_bytes = kMaxEnvelopeBytes + 64;
  // Messages waiting for one peer. What exceeds it is refused.
  size_t queue_bytes = size_t{4} * 1024 * 1024;
  // Links accepted at once, and those among them that are not yet
  // authenticated: the oldest of these gives way to a new one.
  size_t accepted_links = 1024;
  size_t half_open_links = 64;
  // From dialling to an authenticated link.
  absl::Duration open_timeout = absl::Seconds(2);
  // A link that carried something since the last answered ping is pinged at
  // this interval; a ping unanswered for silence_limit closes it.
  absl::Duration probe_interval = absl::Seconds(1);
  absl::Duration silence_limit = absl::Seconds(2);
  // A link that carried nothing for this long is closed by the side that opened
  // it, and after accepted_idle_close by the other.
  absl::Duration idle_close = absl::Seconds(15);
  absl::Duration accepted_idle_close = absl::Seconds(60);
  // After a failure the peer isn't dialled for a random part of a span that
  // doubles from the first to the second.
  absl::Duration backoff_first = absl::Milliseconds(50);
  absl::Duration backoff_last = absl::Seconds(2);
};

// What happened to a link.
enum class LinkChange {
  kOpened,           // dialled and authenticated
  kAccepted,         // the other side dialled and authenticated
  kConnectFailed,    // refused, reset or timed out before authentication
  kVersionMismatch,  // the other side speaks another version
  kWrongKey,         // no shared key, or a wrong proof of one
  kWrongIdentity,    // answered as another instance than the one dialled
  kForgedFrame,      // wrong MAC: altered, replayed or out of sequence
  kMalformedFrame,   // oversize, or not a message of that sender
  kSilent,           // a ping was not answered
  kIdle,             // closed for want of traffic
  kClosed,           // closed by the other side
  kFlooded,          // closed to make room, or refused for want of it
  kQueueFull,        // a message was refused
  kTooLarge,         // a message was over the codec's limits
};

// Told of links' changes on the links' thread; must not block. `peer` is empty
// while it is not authenticated.
class LinkObserver {
 public:
  virtual ~LinkObserver() = default;
  virtual void OnLinkChange(LinkChange change, const InstanceId& peer) = 0;
};

// Bytes and frames carried since the start, handshakes and pings included.
struct LinkTotals {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  size_t links = 0;
};

// Carries messages between this instance and its peers over TCP.
//
// Contract. A link is opened by the first message to a peer and carries
// messages one way; answers come over the peer's own link. Both ends prove that
// they hold a shared key, and every frame is authenticated and numbered, so an
// altered, injected or replayed one closes the link. Contents are not
// encrypted.
//
// Delivery is at most once. Messages of one link arrive in order; across a
// reconnection they may overtake each other or be lost. A message that could
// not be handed over, or that was on a link that went silent or broke, is
// reported by one core::PeerUnreachable for its link: it may or may not have
// arrived. While a peer is backed off, messages to it are refused at once.
//
// One thread does all socket work. `sink` is called on that thread; while it
// blocks nothing is received, which is the back-pressure.
class PeerLinks {
 public:
  struct Config {
    InstanceRef self;
    // At least one.
    std::vector<PeerKey> keys;
    LinkLimits limits;
  };
  using EventSink = std::function<void(core::Event)>;

  // Starts accepting. `clock`, `random` and `observer` must outlive the links;
  // `observer` may be null.
  PeerLinks(Config config,
            Listener listener,
            const Clock* clock,
            RandomSource* random,
            EventSink sink,
            LinkObserver* observer);
  // Closes all links; what is still queued is lost.
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Queues a message for `to`. Never blocks. Thread-safe.
  void Send(const InstanceId& to, const core::PeerEnvelope& envelope);

  // Replaces the keys for links opened from now on. Thread-safe.
  void SetKeys(std::vector<PeerKey> keys);

  // Waits until every queued message was sent and a later ping was answered, or
  // was given up; at most `limit`. True when nothing is left. Thread-safe.
  bool Drain(absl::Duration limit);

  // Thread-safe.
  LinkTotals Totals() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umbertrail::peer

#endif  // UMBERTRAIL_PEER_PEER_LINKS_H_
