#ifndef UMBERTRAIL_TESTS_MANIFEST_EXAMPLE_H_
#define UMBERTRAIL_TESTS_MANIFEST_EXAMPLE_H_

#include <string>
#include <variant>

#include "umbertrail/manifest.h"

namespace umbertrail::manifest {

// A valid document with two data centres, one model, one service and one
// account.
inline std::string ExampleYaml() {
  return R"(revision: 7
regions: [south]
data_centres:
  - {id: south-a, region: south, open: true}
  - {id: south-b, region: south, open: true}
engine_classes:
  - {name: large, checks_fencing: true, memory: 400000, cold_budget: 20000}
models:
  - {id: org/reader:8b, version: 1.10, context_limit: 1000000, min_serving: 1, adapters: [tally]}
deployments:
  - {model: org/reader:8b, data_centre: south-a, targets: 2}
  - {model: org/reader:8b, data_centre: south-b, targets: 1}
services:
  - id: filing
    calls: [{name: file, repeatable: false}, {name: look, repeatable: true}]
accounts:
  - id: club
    key_salt: pepper
    key_hash: )" +
         HashKey("pepper", "secret") + R"(
    weight: 2
    requests_per_second: 5.5
    tokens_in_flight: 2000000
    models: [org/reader:8b]
    services: [filing]
)";
}

inline Manifest Example() {
  return std::get<Manifest>(ParseManifestFile(ExampleYaml(), "example"));
}

}  // namespace umbertrail::manifest

#endif  // UMBERTRAIL_TESTS_MANIFEST_EXAMPLE_H_
