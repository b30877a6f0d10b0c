#ifndef UMBERTRAIL_LOGBOOK_LOSSES_H_
#define UMBERTRAIL_LOGBOOK_LOSSES_H_

#include <string>
#include <vector>

#include "umbertrail/logbook/logbook.h"

namespace umbertrail::logbook {

// Requests of one route that were lost, or served late, for one reason in one
// span of time.
struct Loss {
  // Start of the span.
  double from_s = 0;
  std::string route;
  std::string reason;
  int requests = 0;
};

// Every request of a sorted book that was not served or was served late, by
// span, route and reason. Reasons of what wasn't served are those of its
// refusal or its end; of what was late: `late_pause` (its first event was in
// time), `late_as_expected` (no target was expected to give it in time),
// `late_after_failure` (it was sent again) and `late_unexpected`.
std::vector<Loss> CountLosses(const MergedLog& book, double span_s);

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_LOSSES_H_
