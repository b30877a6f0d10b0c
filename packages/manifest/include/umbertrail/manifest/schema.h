#ifndef UMBERTRAIL_MANIFEST_SCHEMA_H_
#define UMBERTRAIL_MANIFEST_SCHEMA_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::manifest {

// One data centre. A closed one receives no new work.
struct DataCentre {
  DataCentreId id;
  RegionId region;
  bool open = true;
};

// One model and the version that should serve.
struct Model {
  ModelId id;
  std::string version;
  std::vector<AdapterId> adapters;
  // Longest prompt and output together.
  Tokens context_limit;
  // Targets that keep serving while a version changes.
  int min_serving = 1;
};

// How many targets of a data centre should serve a model.
struct Deployment {
  ModelId model;
  DataCentreId data_centre;
  int targets = 0;
};

// One client account. The key itself is never stored: `key_hash` is the hex
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

// One call of a plain service.
struct ServiceCall {
  std::string name;
  // False for a call that must run at most once.
  bool repeatable = true;
};

// A plain service that requests are routed to beside the model engines.
struct PlainService {
  ServiceId id;
  std::vector<ServiceCall> calls;
};

// What is known of a kind of engine; the target list names a target's class.
struct EngineClass {
  std::string name;
  // Whether the engine refuses an order with an older fencing number.
  bool checks_fencing = false;
  // KV memory, in tokens.
  Tokens memory;
  // Tokens that a target just started may hold in flight.
  Tokens cold_budget;
};

// The whole declared state of a fleet.
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

// One content-addressed part of a published manifest.
struct PartRef {
  std::string name;
  // Hex SHA-256 of the part's bytes.
  std::string hash;

  friend bool operator==(const PartRef& a, const PartRef& b) {
    return a.name == b.name && a.hash == b.hash;
  }
};

// The small watched head: a revision and the parts that make it up. The same
// revision with other parts is a publishing fault.
struct Head {
  ManifestRevision revision;
  std::vector<PartRef> parts;

  friend bool operator==(const Head& a, const Head& b) {
    return a.revision == b.revision && a.parts == b.parts;
  }
};

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_MANIFEST_SCHEMA_H_
