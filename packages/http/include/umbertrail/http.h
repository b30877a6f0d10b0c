#ifndef UMBERTRAIL_HTTP_H_
#define UMBERTRAIL_HTTP_H_

// Client connections to targets and to the platform.

#include "umbertrail/http/link.h"

#endif  // UMBERTRAIL_HTTP_H_
