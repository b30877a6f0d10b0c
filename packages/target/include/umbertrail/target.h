#ifndef UMBERTRAIL_TARGET_H_
#define UMBERTRAIL_TARGET_H_

// Client of model engines and plain services.

#include "umbertrail/target/client.h"

#endif  // UMBERTRAIL_TARGET_H_
