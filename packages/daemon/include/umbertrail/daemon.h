#ifndef UMBERTRAIL_DAEMON_H_
#define UMBERTRAIL_DAEMON_H_

// Public header of the `daemon` package: settings, the loop that runs a node,
// and the HTTP interfaces for callers and operators.

#include "umbertrail/daemon/accounts.h"
#include "umbertrail/daemon/admin_server.h"
#include "umbertrail/daemon/caller_server.h"
#include "umbertrail/daemon/core_loop.h"
#include "umbertrail/daemon/event_queue.h"
#include "umbertrail/daemon/filters.h"
#include "umbertrail/daemon/node_driver.h"
#include "umbertrail/daemon/ports.h"
#include "umbertrail/daemon/refusal.h"
#include "umbertrail/daemon/request_table.h"
#include "umbertrail/daemon/settings.h"
#include "umbertrail/daemon/ticket_signer.h"
#include "umbertrail/daemon/ticket_text.h"

#endif  // UMBERTRAIL_DAEMON_H_
