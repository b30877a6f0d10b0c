#ifndef UMBERTRAIL_CONFSERVICE_H_
#define UMBERTRAIL_CONFSERVICE_H_

// Reads what the platform publishes.

#include "umbertrail/confservice/client.h"

#endif  // UMBERTRAIL_CONFSERVICE_H_
