#include "umbertrail/core/fleet/manifest_store.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "umbertrail/core/invariant.h"

namespace umbertrail::core {
namespace {

// Heads kept while their parts lack, and refused ones remembered.
constexpr size_t kMaxHeads = 4;
// Faults quoted in the text for operators.
constexpr size_t kMaxFaults = 8;

// Makes room by dropping the oldest.
void Bound(std::map<ManifestRevision, manifest::Head>* heads) {
  while (heads->size() > kMaxHeads) {
    heads->erase(heads->begin());
  }
}

// All parts of `head`; nothing when one lacks.
std::optional<std::vector<manifest::Part>> Collect(const manifest::Head& head,
                                                   const PartStore& parts) {
  std::vector<manifest::Part> all;
  for (const manifest::PartRef& it : head.parts) {
    const std::string* bytes = parts.Find(it.hash);
    if (bytes == nullptr) {
      return std::nullopt;
    }
    all.push_back({it.name, *bytes});
  }
  return all;
}

}  // namespace

ManifestStore::ManifestStore(const Mutations* mutations)
    : mutations_(mutations) {}

HeadVerdict ManifestStore::Offer(const manifest::Head& head) {
  if (head.revision < head_.revision && !mutations_->accept_older_revision) {
    ++older_ignored_;
    return HeadVerdict::kOlder;
  }
  const manifest::Head* known = nullptr;
  HeadVerdict verdict = HeadVerdict::kSame;
  if (head.revision == head_.revision) {
    known = &head_;
  } else if (wanted_.count(head.revision) > 0) {
    known = &wanted_[head.revision];
  } else if (refused_.count(head.revision) > 0) {
    known = &refused_[head.revision];
    verdict = HeadVerdict::kRefused;
  }
  if (known == nullptr) {
    wanted_[head.revision] = head;
    Bound(&wanted_);
    return HeadVerdict::kNewer;
  }
  if (*known == head) {
    return verdict;
  }
  ++conflicts_refused_;
  fault_ = absl::StrCat("revision ", head.revision.value(),
                        " was published again with other parts");
  return HeadVerdict::kConflict;
}

bool ManifestStore::Apply(const PartStore& parts) {
  // Newest first; a refused head is erased, and the next older is tried.
  for (auto it = wanted_.end(); it != wanted_.begin();) {
    --it;
    const auto all = Collect(it->second, parts);
    if (!all.has_value()) {
      continue;
    }
    const manifest::Head head = it->second;
    it = wanted_.erase(it);
    manifest::ParsedManifest parsed = manifest::ParseManifest(head, *all);
    if (std::holds_alternative<manifest::Manifest>(parsed)) {
      Accept(head, std::get<manifest::Manifest>(std::move(parsed)));
      return true;
    }
    Refuse(head, std::get<std::vector<manifest::Fault>>(parsed));
  }
  return false;
}

std::set<std::string> ManifestStore::NamedParts() const {
  std::set<std::string> hashes;
  for (const manifest::PartRef& it : head_.parts) {
    hashes.insert(it.hash);
  }
  for (const auto& [revision, head] : wanted_) {
    for (const manifest::PartRef& it : head.parts) {
      hashes.insert(it.hash);
    }
  }
  return hashes;
}

ManifestRevision ManifestStore::newest_wanted() const {
  return wanted_.empty() ? ManifestRevision() : wanted_.rbegin()->first;
}

void ManifestStore::Accept(const manifest::Head& head,
                           manifest::Manifest manifest) {
  UMBERTRAIL_INVARIANT(head.revision > head_.revision);
  UMBERTRAIL_INVARIANT(manifest.revision == head.revision);
  head_ = head;
  manifest_ = std::move(manifest);
  wanted_.erase(wanted_.begin(), wanted_.upper_bound(head.revision));
  refused_.erase(refused_.begin(), refused_.upper_bound(head.revision));
  if (refused_.empty()) {
    fault_.clear();
  }
}

void ManifestStore::Refuse(const manifest::Head& head,
                           const std::vector<manifest::Fault>& faults) {
  refused_[head.revision] = head;
  Bound(&refused_);
  fault_ = absl::StrCat("revision ", head.revision.value(), " is refused:\n",
                        manifest::ToText(faults, kMaxFaults));
}

}  // namespace umbertrail::core
