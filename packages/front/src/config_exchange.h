#ifndef UMBERTRAIL_FRONT_SRC_CONFIG_EXCHANGE_H_
#define UMBERTRAIL_FRONT_SRC_CONFIG_EXCHANGE_H_

#include <vector>

#include "peer_message.h"
#include "umbertrail/dispatch/config_agreement.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

// Tells other instances which configuration is in force here, compares theirs
// with it, and fetches the entries of a later one that the store has lost.
class ConfigExchange {
 public:
  explicit ConfigExchange(State& state) : state_(state) {}

  // Adds the latest claim to a gossip message.
  void AddClaim(PeerMessage* message, absl::Time now) const;
  // Handles the claim and the entries in another instance's message. True if
  // others should hear soon of what it has told: a version that contradicts the
  // store, or all that a settled instance knows.
  bool HandleMessage(const PeerMessage& message,
                     const InstanceId& from,
                     absl::Time now);
  // Adds the entries that `message` asks for, if any, to the reply.
  void AddEntries(const PeerMessage& message, PeerMessage* reply);
  // Ends states whose time is over, and logs changes.
  void Update(absl::Time now);

 private:
  void LogStanding(dispatch::ConfigAgreement::Standing standing,
                   absl::Time now);
  const std::vector<dispatch::ConfigEntry>& OwnEntries();

  State& state_;
  dispatch::ConfigAgreement::Standing logged_ =
      dispatch::ConfigAgreement::Standing::kCurrent;
  // The later version that was last logged; 0: none.
  uint64_t logged_later_version_ = 0;
  // Latest version that was passed on.
  uint64_t forwarded_version_ = 0;
  // Entries of the configuration in force, and their version.
  std::vector<dispatch::ConfigEntry> own_entries_;
  uint64_t own_entries_version_ = 0;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_CONFIG_EXCHANGE_H_
