#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "commands.h"
#include "files.h"
#include "umbertrail/http/json_fields.h"
#include "umbertrail/manifest.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;
using manifest::Change;
using manifest::ChangeWeight;
using manifest::Fault;
using manifest::Manifest;
using manifest::ParsedManifest;

Json EncodeFaults(const std::vector<Fault>& faults) {
  Json out = Json::array();
  for (const Fault& it : faults) {
    out.push_back({{"file", it.part},
                   {"line", it.line},
                   {"key", it.path},
                   {"message", it.message}});
  }
  return out;
}

const char* NameOf(ChangeWeight weight) {
  switch (weight) {
    case ChangeWeight::kNotice:
      return "notice";
    case ChangeWeight::kCapacity:
      return "capacity";
    case ChangeWeight::kCallers:
      return "callers";
  }
  return "notice";
}

Json EncodeChanges(const std::vector<Change>& changes) {
  Json out = Json::array();
  for (const Change& it : changes) {
    out.push_back({{"change", ToText(it.kind)},
                   {"weight", NameOf(SeverityOf(it.kind))},
                   {"subject", it.subject},
                   {"before", it.before},
                   {"after", it.after}});
  }
  return out;
}

// Reads a manifest; writes why it can't be used and returns nothing.
std::optional<Manifest> ReadManifest(const std::string& file,
                                     Console& console,
                                     ExitStatus* status) {
  const Result<std::string> text = ReadFile(file);
  if (!IsOk(text)) {
    console.err << "umbertrail: " << ErrorOf(text).message << "\n";
    *status = ExitStatus::kUsage;
    return std::nullopt;
  }
  ParsedManifest parsed = manifest::ParseManifestFile(ValueOf(text), file);
  if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed)) {
    for (const Fault& it : *faults) {
      console.err << ToText(it) << "\n";
    }
    *status = ExitStatus::kFound;
    return std::nullopt;
  }
  return std::get<Manifest>(std::move(parsed));
}

void PrintCheck(const std::vector<Fault>& faults,
                const std::string& file,
                Console& console) {
  for (const Fault& it : faults) {
    console.out << ToText(it) << "\n";
  }
  if (faults.empty()) {
    console.out << file << ": valid\n";
  } else {
    console.out << faults.size() << " faults\n";
  }
}

}  // namespace

ExitStatus CheckManifest(const ManifestCheckCommand& command,
                         Console& console) {
  const Result<std::string> text = ReadFile(command.file);
  if (!IsOk(text)) {
    console.err << "umbertrail: " << ErrorOf(text).message << "\n";
    return ExitStatus::kUsage;
  }
  const ParsedManifest parsed =
      manifest::ParseManifestFile(ValueOf(text), command.file);
  std::vector<Fault> faults;
  if (const auto* found = std::get_if<std::vector<Fault>>(&parsed)) {
    faults = *found;
  }
  if (command.json) {
    const Json out = {{"valid", faults.empty()},
                      {"faults", EncodeFaults(faults)}};
    console.out << http::DumpJson(out) << "\n";
  } else {
    PrintCheck(faults, command.file, console);
  }
  return faults.empty() ? ExitStatus::kOk : ExitStatus::kFound;
}

ExitStatus DiffManifest(const ManifestDiffCommand& command, Console& console) {
  ExitStatus status = ExitStatus::kOk;
  const auto before = ReadManifest(command.old_file, console, &status);
  if (!before) {
    return status;
  }
  const auto after = ReadManifest(command.new_file, console, &status);
  if (!after) {
    return status;
  }
  const std::vector<Change> changes = manifest::DiffManifests(*before, *after);
  if (command.json) {
    console.out << http::DumpJson({{"changes", EncodeChanges(changes)}})
                << "\n";
  } else {
    for (const Change& it : changes) {
      console.out << NameOf(SeverityOf(it.kind)) << "  " << ToText(it) << "\n";
    }
  }
  return changes.empty() ? ExitStatus::kOk : ExitStatus::kFound;
}

ExitStatus HashKey(const KeyHashCommand& command, Console& console) {
  const Result<std::string> secret = ReadSecret(command.key_file);
  if (!IsOk(secret)) {
    console.err << "umbertrail: " << ErrorOf(secret).message << "\n";
    return ExitStatus::kUsage;
  }
  const std::string hash = manifest::HashKey(command.salt, ValueOf(secret));
  if (command.json) {
    const Json out = {{"key_salt", command.salt}, {"key_hash", hash}};
    console.out << http::DumpJson(out) << "\n";
  } else {
    console.out << "key_salt: " << command.salt << "\nkey_hash: " << hash
                << "\n";
  }
  return ExitStatus::kOk;
}

}  // namespace umbertrail::cli
