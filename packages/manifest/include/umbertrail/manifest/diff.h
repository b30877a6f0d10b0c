#ifndef UMBERTRAIL_MANIFEST_DIFF_H_
#define UMBERTRAIL_MANIFEST_DIFF_H_

#include <string>
#include <vector>

#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

enum class ChangeKind {
  kRevisionNotNewer,
  kRegionAdded,
  kRegionRemoved,
  kDataCentreAdded,
  kDataCentreRemoved,
  kDataCentreClosed,
  kDataCentreOpened,
  kDataCentreMoved,  // to another region
  kAllDataCentresClosed,
  kModelAdded,
  kModelRemoved,
  kModelVersionChanged,
  kAdapterAdded,
  kAdapterRemoved,
  kContextLimitChanged,
  kMinServingChanged,
  kDeploymentChanged,
  // Fewer targets are deployed in open data centres than `min_serving`.
  kModelShortOfTargets,
  // Exactly `min_serving` targets are deployed, so a rolling update has to wait
  // for a spare target.
  kModelCannotRoll,
  kAccountAdded,
  kAccountRemoved,
  kAccountKeyChanged,
  kAccountRightAdded,
  kAccountRightLost,
  kAccountLimitLowered,
  kAccountLimitRaised,
  kServiceAdded,
  kServiceRemoved,
  kCallAdded,
  kCallRemoved,
  kCallNotRepeatable,
  kCallRepeatable,
  kEngineClassAdded,
  kEngineClassRemoved,
  kEngineClassChanged,
};

// Impact of a change, for review before publishing.
enum class ChangeWeight {
  kNotice,
  kCapacity,  // reduces serving capacity
  kCallers,   // requests that were served before will be rejected
};

struct Change {
  ChangeKind kind = ChangeKind::kDeploymentChanged;
  // What changed, such as a model's id or `account/model`.
  std::string subject;
  // Human-readable values before and after; empty if not applicable.
  std::string before;
  std::string after;
};

// Field name of a kind, such as `data_centre_closed`.
std::string ToText(ChangeKind kind);

ChangeWeight SeverityOf(ChangeKind kind);

// `KIND SUBJECT: BEFORE -> AFTER`.
std::string ToText(const Change& change);

// Changes from `before` to `after`, in section order. Both must be valid.
// kModelShortOfTargets and kModelCannotRoll describe `after` and are listed
// only if they did not already apply to `before`. Cost: linear in the size of
// the manifests.
std::vector<Change> DiffManifests(const Manifest& before,
                                  const Manifest& after);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_DIFF_H_
