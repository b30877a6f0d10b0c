#ifndef UMBERTRAIL_PLATFORM_H_
#define UMBERTRAIL_PLATFORM_H_

// Reads what the platform publishes.

#include "umbertrail/platform/client.h"

#endif  // UMBERTRAIL_PLATFORM_H_
