#ifndef UMBERTRAIL_LOGBOOK_LOSSES_H_
#define UMBERTRAIL_LOGBOOK_LOSSES_H_

#include <string>
#include <vector>

#include "umbertrail/logbook/logbook.h"

namespace umbertrail::logbook {

// Number of requests of one route that failed, or were served late, for one
// reason in one time span.
struct Loss {
  // Start of the span.
  double from_s = 0;
  std::string route;
  std::string reason;
  int requests = 0;
};

// Counts requests of a sorted log that were not served, or late, by span, route
// and reason. For unserved requests that is the reason of the refusal or the
// outcome; for late ones `late_pause` (the first event was in time),
// `late_as_expected` (it was not expected in time), `late_after_failure` (the
// request was retried) or `late_unexpected`.
std::vector<Loss> CountLosses(const MergedLog& log, double span_s);

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_LOSSES_H_
