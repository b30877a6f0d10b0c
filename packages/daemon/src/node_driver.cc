#include "umbertrail/daemon/node_driver.h"

#include <utility>

namespace umbertrail::daemon {
namespace {

class CoreNodeDriver : public NodeDriver {
 public:
  CoreNodeDriver(core::NodeConfig config,
                 RandomSource* random,
                 const core::TicketSigner* signer)
      : node_(std::move(config), random, signer) {}

  core::Actions Handle(absl::Time now, core::Event event) override {
    return node_.Handle(now, std::move(event));
  }
  absl::Time NextWakeup() const override { return node_.NextWakeup(); }
  bool Ready(absl::Time now) const override { return node_.Ready(now); }
  core::PeerEnvelope Wrap(core::PeerPayload payload) const override {
    return node_.Wrap(std::move(payload));
  }
  const manifest::Manifest* manifest() const override {
    return node_.manifest();
  }
  core::NodeStatus Status(absl::Time now) const override {
    return node_.Status(now);
  }

 private:
  core::Node node_;
};

}  // namespace

std::unique_ptr<NodeDriver> MakeNodeDriver(core::NodeConfig config,
                                           RandomSource* random,
                                           const core::TicketSigner* signer) {
  return std::make_unique<CoreNodeDriver>(std::move(config), random, signer);
}

}  // namespace umbertrail::daemon
