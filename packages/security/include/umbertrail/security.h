#ifndef UMBERTRAIL_SECURITY_H_
#define UMBERTRAIL_SECURITY_H_

// Public header of the `security` package: key files, certificate checks
// at startup, and constant-time comparison.

#include "umbertrail/security/certificate.h"
#include "umbertrail/security/constant_time.h"
#include "umbertrail/security/key_file.h"

#endif  // UMBERTRAIL_SECURITY_H_
