#ifndef UMBERTRAIL_MANIFEST_SPLIT_H_
#define UMBERTRAIL_MANIFEST_SPLIT_H_

#include <vector>

#include "umbertrail/manifest/parse.h"
#include "umbertrail/manifest/schema.h"

namespace umbertrail::manifest {

// What a pipeline publishes: the watched head and the parts that it names, in
// the head's order.
struct PublishedManifest {
  Head head;
  std::vector<Part> parts;
};

// Up to this many accounts stand in one part.
inline constexpr size_t kMaxUnshardedAccounts = 32;
// Parts over which more accounts than that are spread, by a hash of their id:
// a change of one account changes one part.
inline constexpr int kAccountShards = 16;

// Splits a manifest into head and parts. The same manifest always gives the
// same bytes, so unchanged parts keep their hashes. ParseManifest reads the
// result back; accounts come back in the order of the parts.
PublishedManifest SplitManifest(const Manifest& manifest);

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_SPLIT_H_
