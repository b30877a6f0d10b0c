#ifndef UMBERTRAIL_TOOLS_CAPACITY_FLEET_WORLD_H_
#define UMBERTRAIL_TOOLS_CAPACITY_FLEET_WORLD_H_

#include <vector>

#include "umbertrail/core/events.h"
#include "umbertrail/manifest.h"

// Made-up fleets of a given size.

namespace umbertrail::capacity {

// How large a fleet is.
struct FleetSize {
  int regions = 1;
  int data_centres = 3;
  int instances = 8;
  int targets = 24;
  int accounts = 10;
  int models = 3;
};

manifest::Manifest MakeManifest(const FleetSize& size, uint64_t revision);
core::InstanceListRead MakeInstances(const FleetSize& size, uint64_t version);
core::TargetListRead MakeTargets(const FleetSize& size, uint64_t version);

// What the service sends of each, as docs/PROTOCOLS.md has it, in bytes.
size_t HeadBytes(const manifest::Head& head);
size_t InstanceListBytes(const core::InstanceListRead& list);
size_t TargetListBytes(const core::TargetListRead& list);

}  // namespace umbertrail::capacity

#endif  // UMBERTRAIL_TOOLS_CAPACITY_FLEET_WORLD_H_
