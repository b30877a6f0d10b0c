#ifndef UMBERTRAIL_MANIFEST_SCHEMA_H_
#define UMBERTRAIL_MANIFEST_SCHEMA_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::manifest {

// A data centre. A closed one receives no new requests.
struct DataCentre {
  DataCentreId id;
  RegionId region;
  bool open = true;
};

// A model and its desired version.
struct Model {
  ModelId id;
  std::string version;
  std::vector<AdapterId> adapters;
  // Maximum tokens of prompt and output combined.
  Tokens context_limit;
  // Minimum number of targets serving during a rolling update.
  int min_serving = 1;
};

// Desired number of targets serving a model in a data centre.
struct Deployment {
  ModelId model;
  DataCentreId data_centre;
  int targets = 0;
};

// A client account. The key itself is never stored: `key_hash` is the hex
// SHA-256 of `key_salt` followed by the secret.
struct ClientAccount {
  ClientAccountId id;
  std::string key_salt;
  std::string key_hash;
  // Share of contended capacity relative to other accounts.
  double weight = 1.0;
  double requests_per_second = 0.0;
  Tokens tokens_in_flight;
  std::vector<ModelId> models;
  std::vector<ServiceId> services;
};

// A call offered by a plain service.
struct ServiceCall {
  std::string name;
  // False if the call must run at most once.
  bool repeatable = true;
};

// A service other than a model engine that requests are routed to.
struct PlainService {
  ServiceId id;
  std::vector<ServiceCall> calls;
};

// Properties of a type of engine; the target list gives each target's class.
struct EngineClass {
  std::string name;
  // Whether the engine rejects orders with a stale fencing token.
  bool checks_fencing = false;
  // KV cache capacity, in tokens.
  Tokens memory;
  // Maximum tokens in flight on a newly started target.
  Tokens cold_budget;
};

// The complete declared state of a fleet.
struct Manifest {
  ManifestRevision revision;
  std::vector<RegionId> regions;
  std::vector<DataCentre> data_centres;
  std::vector<Model> models;
  std::vector<Deployment> deployments;
  std::vector<ClientAccount> accounts;
  std::vector<PlainService> services;
  std::vector<EngineClass> engine_classes;
};

// Reference to a content-addressed part of a published manifest.
struct PartRef {
  std::string name;
  // Hex SHA-256 of the part's bytes.
  std::string hash;

  friend bool operator==(const PartRef& a, const PartRef& b) {
    return a.name == b.name && a.hash == b.hash;
  }
};

// The watched entry point of a published manifest: a revision and its parts.
// Publishing a revision again with different parts is an error.
struct Head {
  ManifestRevision revision;
  std::vector<PartRef> parts;

  friend bool operator==(const Head& a, const Head& b) {
    return a.revision == b.revision && a.parts == b.parts;
  }
};

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_SCHEMA_H_
