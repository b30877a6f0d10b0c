#ifndef UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_
#define UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_

#include <string_view>
#include <vector>

#include "umbertrail/manifest/schema.h"
#include "yaml_reader.h"

// The sections of a manifest and the parts that hold them.

namespace umbertrail::manifest::detail {

// A partially parsed manifest with the location of each list element, so that
// semantic checks can report a line.
struct Draft {
  Manifest manifest;
  std::vector<Location> regions;
  std::vector<Location> data_centres;
  std::vector<Location> models;
  std::vector<Location> deployments;
  std::vector<Location> accounts;
  std::vector<Location> services;
  std::vector<Location> engine_classes;
  // Part or file name for faults without a line.
  std::string source;
};

// Reads the revision and all sections of a single-file manifest.
void ReadDocument(const Location& document, FaultList* faults, Draft* draft);

// Reads the sections that belong in the named part; an unknown part name is a
// fault.
void ReadPart(const Location& part, FaultList* faults, Draft* draft);

// Semantic checks: duplicates, references, empty sets and inconsistent values.
void Validate(const Draft& draft, FaultList* faults);

}  // namespace umbertrail::manifest::detail

#endif  // UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_
