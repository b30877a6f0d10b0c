#ifndef UMBERTRAIL_CORE_ONCE_KEY_HOME_H_
#define UMBERTRAIL_CORE_ONCE_KEY_HOME_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/core/once/outcome_log.h"

namespace umbertrail::core {

// How many instances must agree before a call under a caller's key may run. A
// second run needs all of them replaced between two submissions.
inline constexpr std::size_t kKeyHomes = 3;

// The homes of `token` in the list that `fleet` holds.
std::vector<InstanceId> KeyHomesOf(const std::string& token,
                                   const FleetView& fleet);

// One home of callers' keys: agrees once to each key and remembers it. It
// agrees to nothing while it is younger than kSettle, since a former holder of
// its place may have agreed to a key that is still being sent again.
class KeyHome {
 public:
  // Callers send a call again within its time limit, which is shorter.
  static constexpr absl::Duration kSettle = absl::Seconds(60);

  KeyHome(InstanceRef self, const FleetView* fleet, const Mutations* mutations);

  KeyGrantReply OnRequest(absl::Time now,
                          const InstanceRef& from,
                          const KeyGrantRequest& request);
  void OnEnded(const InstanceRef& from, const KeyEnded& ended);
  void OnTick(absl::Time now);

  std::size_t size() const { return log_.size(); }

 private:
  bool IsHome(const std::string& token) const;
  bool IsYoung(absl::Time now);

  InstanceRef self_;
  const FleetView* fleet_;
  const Mutations* mutations_;
  // When this incarnation first saw itself listed.
  absl::Time listed_since_ = absl::InfiniteFuture();
  OutcomeLog log_;
};

// The id under which a home remembers who asked.
RequestId KeyHolder(const InstanceRef& from, const RequestId& request);

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ONCE_KEY_HOME_H_
