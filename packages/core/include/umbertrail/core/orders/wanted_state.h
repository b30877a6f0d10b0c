#ifndef UMBERTRAIL_CORE_ORDERS_WANTED_STATE_H_
#define UMBERTRAIL_CORE_ORDERS_WANTED_STATE_H_

#include <string>
#include <vector>

#include "umbertrail/core/types.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::core {

// What one engine should serve.
struct WantedTarget {
  TargetId target;
  DataCentreId data_centre;
  ModelId model;
  std::string version;
  std::vector<AdapterId> adapters;  // in id order
};

// Which engine of each data centre should serve which model: a pure function,
// equal on every instance that has the same manifest and list. In target order;
// engines that aren't needed, or are listed as leaving, are left out.
//
// Engines and models are matched by the scores of their pairs, highest first,
// so a target that comes or goes moves few others. Where a data centre has too
// few engines, models get one more each in turn, so that none goes empty while
// another has several.
//
// Cost: engines times models of each data centre.
std::vector<WantedTarget> WantedState(const manifest::Manifest& manifest,
                                      const std::vector<TargetInfo>& targets);

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_ORDERS_WANTED_STATE_H_
