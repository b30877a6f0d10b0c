#ifndef UMBERTRAIL_MANIFEST_H_
#define UMBERTRAIL_MANIFEST_H_

// Public header of the `manifest` package: the declared state of a fleet;
// parsing, validation, splitting for publishing, diffs, and verification of
// account keys.

#include "umbertrail/manifest/diff.h"
#include "umbertrail/manifest/fault.h"
#include "umbertrail/manifest/keys.h"
#include "umbertrail/manifest/parse.h"
#include "umbertrail/manifest/schema.h"
#include "umbertrail/manifest/split.h"

#endif  // UMBERTRAIL_MANIFEST_H_
