#ifndef UMBERTRAIL_MANIFEST_SPLIT_H_
#define UMBERTRAIL_MANIFEST_SPLIT_H_

#include <vector>

#include "umbertrail/manifest/parse.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

// The published form of a manifest: the head and its parts, in the head's
// order.
struct PublishedManifest {
  Head head;
  std::vector<Part> parts;
};

// Up to this many accounts are stored in a single part.
inline constexpr size_t kMaxUnshardedAccounts = 32;
// Number of parts that more accounts are sharded over, by hash of the account
// id, so that changing one account changes one part.
inline constexpr int kAccountShards = 16;

// Splits a manifest into head and parts. The output is deterministic, so
// unchanged parts keep their hashes. ParseManifest reverses it, except that
// accounts are returned in part order.
PublishedManifest SplitManifest(const Manifest& manifest);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_SPLIT_H_
