#ifndef UMBERTRAIL_BASE_H_
#define UMBERTRAIL_BASE_H_

// Public header of the `base` package: strong ids and units, results, hashing,
// and the clock and random interfaces.

#include "umbertrail/base/clock.h"
#include "umbertrail/base/hash.h"
#include "umbertrail/base/ids.h"
#include "umbertrail/base/random.h"
#include "umbertrail/base/result.h"

#endif  // UMBERTRAIL_BASE_H_
