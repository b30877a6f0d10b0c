#include "umbertrail/manifest/parse.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "sections.h"
#include "umbertrail/manifest/keys.h"

namespace umbertrail::manifest {
namespace {

using detail::Draft;
using detail::FaultList;
using detail::Location;

// Loads YAML; returns false and adds a fault if it is too large or malformed.
bool Load(std::string_view yaml, Location* location, FaultList* faults) {
  if (yaml.size() > kMaxPartBytes) {
    faults->Add(Fault{location->part, 0, "",
                      absl::StrCat("has more than ", kMaxPartBytes, " bytes")});
    return false;
  }
  try {
    location->node = YAML::Load(std::string(yaml));
  } catch (const YAML::Exception& ec) {
    faults->Add(Fault{location->part, ec.mark.line + 1, "",
                      absl::StrCat("is no YAML: ", ec.msg)});
    return false;
  }
  return true;
}

ParsedManifest Finish(Draft draft, FaultList faults) {
  detail::Validate(draft, &faults);
  if (!faults.empty()) {
    return faults.Take();
  }
  return std::move(draft.manifest);
}

void CheckHead(const Head& head, FaultList* faults) {
  if (head.revision < ManifestRevision(1)) {
    faults->Add(Fault{"head", 0, "revision", "must be at least 1"});
  }
  absl::flat_hash_set<std::string> names;
  for (const PartRef& it : head.parts) {
    const std::string path = absl::StrCat("parts.", it.name);
    if (!names.insert(it.name).second) {
      faults->Add(Fault{"head", 0, path, "part is named twice"});
    }
    if (!IsContentHash(it.hash)) {
      faults->Add(
          Fault{"head", 0, path, "hash must be 64 lower-case hex digits"});
    }
  }
}

// Reads a part listed in the head.
void ReadNamedPart(const PartRef& ref,
                   const std::string* bytes,
                   FaultList* faults,
                   Draft* draft) {
  if (bytes == nullptr) {
    faults->Add(Fault{ref.name, 0, "", "part is missing"});
    return;
  }
  if (ContentHash(*bytes) != ref.hash) {
    faults->Add(Fault{ref.name, 0, "", "content differs from the head's hash"});
    return;
  }
  Location location{ref.name, "", {}};
  if (Load(*bytes, &location, faults)) {
    detail::ReadPart(location, faults, draft);
  }
}

}  // namespace

ParsedManifest ParseManifest(const Head& head, const std::vector<Part>& parts) {
  FaultList faults;
  Draft draft;
  draft.source = "head";
  draft.manifest.revision = head.revision;
  CheckHead(head, &faults);
  absl::flat_hash_map<std::string, const std::string*> bytes;
  for (const Part& it : parts) {
    bytes[it.name] = &it.bytes;
  }
  for (const PartRef& it : head.parts) {
    const auto found = bytes.find(it.name);
    ReadNamedPart(it, found == bytes.end() ? nullptr : found->second, &faults,
                  &draft);
  }
  return Finish(std::move(draft), std::move(faults));
}

ParsedManifest ParseManifestFile(std::string_view yaml, std::string_view file) {
  FaultList faults;
  Draft draft;
  draft.source = std::string(file);
  Location location{draft.source, "", {}};
  if (!Load(yaml, &location, &faults)) {
    return faults.Take();
  }
  detail::ReadDocument(location, &faults, &draft);
  return Finish(std::move(draft), std::move(faults));
}

int FuzzManifest(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  ParseManifestFile(text, "input");
  for (const char* name : {"fleet", "models", "services", "accounts"}) {
    const Head head{ManifestRevision(1), {{name, ContentHash(text)}}};
    ParseManifest(head, {{name, text}});
  }
  return 0;
}

}  // namespace umbertrail::manifest
