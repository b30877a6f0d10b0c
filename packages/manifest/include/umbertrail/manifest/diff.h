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
  // Targets wanted in open data centres are fewer than must keep serving.
  kModelShortOfTargets,
  // As many targets are wanted as must keep serving: a new version waits for a
  // spare target.
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

// How carefully a change wants to be read before it is published.
enum class ChangeWeight {
  kNotice,
  kCapacity,  // takes serving capacity away
  kCallers,   // callers will be refused what was served before
};

struct Change {
  ChangeKind kind = ChangeKind::kDeploymentChanged;
  // What changed, such as a model's id or `account/model`.
  std::string subject;
  // Values before and after, for people; empty where there is none.
  std::string before;
  std::string after;
};

// Field name of a kind, such as `data_centre_closed`.
std::string ToText(ChangeKind kind);

ChangeWeight SeverityOf(ChangeKind kind);

// `KIND SUBJECT: BEFORE -> AFTER`.
std::string ToText(const Change& change);

// What publishing `after` in place of `before` changes, in the order of the
// sections. Both are valid manifests. kModelShortOfTargets and kModelCannotRoll
// describe `after` and are listed when they weren't so in `before`.
// Cost: linear in the manifests' size.
std::vector<Change> DiffManifests(const Manifest& before,
                                  const Manifest& after);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_DIFF_H_
