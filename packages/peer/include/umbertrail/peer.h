#ifndef UMBERTRAIL_PEER_H_
#define UMBERTRAIL_PEER_H_

// Public header of the `peer` package: the codec of messages between instances
// and the authenticated TCP links that carry them.

#include "umbertrail/peer/codec.h"
#include "umbertrail/peer/keys.h"
#include "umbertrail/peer/peer_links.h"

#endif  // UMBERTRAIL_PEER_H_
