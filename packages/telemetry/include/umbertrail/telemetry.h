#ifndef UMBERTRAIL_TELEMETRY_H_
#define UMBERTRAIL_TELEMETRY_H_

// Public header of the `telemetry` package: structured logs, metrics, traces
// and request histories, and the observer that derives all of them from what a
// node is told and what it answers.

#include "umbertrail/telemetry/history.h"
#include "umbertrail/telemetry/log.h"
#include "umbertrail/telemetry/metrics.h"
#include "umbertrail/telemetry/names.h"
#include "umbertrail/telemetry/node_observer.h"
#include "umbertrail/telemetry/span_exporter.h"
#include "umbertrail/telemetry/trace.h"

#endif  // UMBERTRAIL_TELEMETRY_H_
