#ifndef UMBERTRAIL_CORE_FLEET_MANIFEST_STORE_H_
#define UMBERTRAIL_CORE_FLEET_MANIFEST_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "umbertrail/core/fleet/part_store.h"
#include "umbertrail/core/mutations.h"
#include "umbertrail/manifest.h"

namespace umbertrail::core {

// What a head means to a node that has seen others before.
enum class HeadVerdict {
  kNewer,     // wanted: its parts are to be fetched
  kSame,      // in force, or waiting for its parts
  kOlder,     // older than what is in force; ignored and counted
  kConflict,  // a revision seen before, with other parts; refused and counted
  kRefused,   // seen before and found invalid
};

// The manifest in force and the order of revisions: it never goes back, and an
// invalid manifest is refused whole while the last accepted one stays.
class ManifestStore {
 public:
  // `mutations` must outlive the store.
  explicit ManifestStore(const Mutations* mutations);

  // Takes a head from any source.
  HeadVerdict Offer(const manifest::Head& head);

  // Puts the newest wanted head in force whose parts are all held and valid.
  // Returns whether the manifest in force changed.
  bool Apply(const PartStore& parts);

  // Hashes named by the manifest in force and by wanted heads.
  std::set<std::string> NamedParts() const;

  // Null before the first.
  const manifest::Manifest* manifest() const {
    return manifest_.has_value() ? &*manifest_ : nullptr;
  }
  const manifest::Head& head() const { return head_; }
  ManifestRevision revision() const { return head_.revision; }

  uint64_t older_ignored() const { return older_ignored_; }
  uint64_t conflicts_refused() const { return conflicts_refused_; }
  // Why the last refused manifest or head was refused; empty when a newer one
  // has been accepted since.
  const std::string& fault() const { return fault_; }
  // Newest head whose parts lack; 0 when there is none.
  ManifestRevision newest_wanted() const;

 private:
  void Accept(const manifest::Head& head, manifest::Manifest manifest);
  void Refuse(const manifest::Head& head,
              const std::vector<manifest::Fault>& faults);

  const Mutations* const mutations_;
  std::optional<manifest::Manifest> manifest_;
  manifest::Head head_;
  // Heads newer than the one in force.
  std::map<ManifestRevision, manifest::Head> wanted_;
  std::map<ManifestRevision, manifest::Head> refused_;
  uint64_t older_ignored_ = 0;
  uint64_t conflicts_refused_ = 0;
  std::string fault_;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_FLEET_MANIFEST_STORE_H_
