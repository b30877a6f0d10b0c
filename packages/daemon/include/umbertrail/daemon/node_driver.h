#ifndef UMBERTRAIL_DAEMON_NODE_DRIVER_H_
#define UMBERTRAIL_DAEMON_NODE_DRIVER_H_

#include <memory>

#include "absl/time/time.h"
#include "umbertrail/core/node.h"

namespace umbertrail::daemon {

// What the core loop drives: the node, or a fake in tests. Used from the loop's
// thread alone.
class NodeDriver {
 public:
  virtual ~NodeDriver() = default;
  virtual core::Actions Handle(absl::Time now, core::Event event) = 0;
  virtual absl::Time NextWakeup() const = 0;
  virtual bool Ready(absl::Time now) const = 0;
  virtual core::PeerEnvelope Wrap(core::PeerPayload payload) const = 0;
  virtual const manifest::Manifest* manifest() const = 0;
  virtual core::NodeStatus Status(absl::Time now) const = 0;
};

// A driver of a core::Node. `random` and `signer` must outlive it.
std::unique_ptr<NodeDriver> MakeNodeDriver(core::NodeConfig config,
                                           RandomSource* random,
                                           const core::TicketSigner* signer);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_NODE_DRIVER_H_
