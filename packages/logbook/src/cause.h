#ifndef UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_
#define UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_

#include <string>

#include "umbertrail/logbook/story.h"

namespace umbertrail::logbook {

// Why a request ended as it did, from its steps and what stands around them;
// empty where they don't tell.
std::string CauseOf(const RequestReport& story);

}  // namespace umbertrail::logbook

#endif  // UMBERTRAIL_LOGBOOK_SRC_CAUSE_H_
