#ifndef UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_
#define UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_

#include <string>

#include "umbertrail/logbook/story.h"

namespace umbertrail::logbook {

// Cause of a request's outcome, from its lines and the related ones; empty if
// they don't show it.
std::string CauseOf(const RequestReport& report);

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_
