#ifndef UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_
#define UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_

#include <string_view>
#include <vector>

#include "umbertrail/manifest/schema.h"
#include "yaml_reader.h"

// The sections of a manifest and the parts that hold them.

namespace umbertrail::manifest::detail {

// A manifest while it is read: each list beside the places of its elements, so
// that checks of the whole can name a line.
struct Draft {
  Manifest manifest;
  std::vector<Place> regions;
  std::vector<Place> data_centres;
  std::vector<Place> models;
  std::vector<Place> deployments;
  std::vector<Place> accounts;
  std::vector<Place> services;
  std::vector<Place> engine_classes;
  // Where faults of the whole are noted that have no line.
  std::string whole;
};

// Reads all sections and the revision of a whole document.
void ReadDocument(const Place& document, FaultLog* faults, Draft* draft);

// Reads the sections that the part's name allows; a name that isn't known is a
// fault.
void ReadPart(const Place& part, FaultLog* faults, Draft* draft);

// Checks what a single value can't show: duplicates, references, empty sets and
// values that must fit each other.
void Validate(const Draft& draft, FaultLog* faults);

}  // namespace umbertrail::manifest::detail

#endif  // UMBERTRAIL_MANIFEST_SRC_SECTIONS_H_
