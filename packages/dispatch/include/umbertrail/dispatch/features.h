#ifndef UMBERTRAIL_DISPATCH_FEATURES_H_
#define UMBERTRAIL_DISPATCH_FEATURES_H_

#include <optional>

#include "absl/strings/string_view.h"

// Placement features that can be switched off one by one, to measure what each
// is worth.

namespace umbertrail::dispatch {

struct Features {
  // Expected output by OutputEstimator; else the engine's configured mean. Off,
  // as load plays in which that mean is right show no gain over remaining_work
  // alone. It is learnt and exchanged all the same.
  bool output_estimates = false;
  // Slots and passes by the remaining work of each request. Off, as days of two
  // deployments show no gain; see docs/design/request-cost.md.
  bool remaining_work = false;
  // Urgency is sent to targets and orders requests.
  bool urgency = true;
  // Client accounts share contended capacity. To be used with waiting_line:
  // alone it refuses requests that a short wait would serve. Both are off: they
  // protect quiet accounts from a flood, but gain nothing on the days of two
  // deployments; see docs/design/priority-order.md.
  bool fair_shares = false;
  // Requests may wait at a home for capacity.
  bool waiting_line = false;
  // Memory of several targets is planned as a whole.
  bool memory_plan = true;
  // Shards are searched in the order of their reported capacity. Off, as it
  // cost a deployment of 59 instances more than it gained another; see
  // docs/MEASURES-uneven-load.md.
  bool ordered_search = false;
};

// The default features but those in `without`, separated by commas, and with
// those there that follow a plus sign: output-estimates,
// remaining-work, urgency, fair-shares, waiting-line, memory-plan and
// ordered-search. Nothing if a name is unknown.
std::optional<Features> FeaturesWithout(absl::string_view without);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_FEATURES_H_
