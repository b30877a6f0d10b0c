#include "standins/config_state.h"

#include <fstream>
#include <iterator>
#include <utility>
#include <variant>

#include "umbertrail/http/json_fields.h"
#include "umbertrail/manifest.h"

namespace umbertrail::standin {
namespace {

using http::ArrayField;
using http::NumberField;
using http::ParseJson;
using http::TextField;
using nlohmann::json;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

std::optional<json> ReadArray(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value()) {
    return json::array();
  }
  json value = ParseJson(*text);
  if (!value.is_array()) {
    return std::nullopt;
  }
  return value;
}

// Takes the head and the parts from `manifest.yaml`. False while it is absent
// or invalid.
bool ReadWholeManifest(const std::string& directory, PublishedState& state) {
  const auto yaml = ReadFile(directory + "/manifest.yaml");
  if (!yaml.has_value()) {
    return false;
  }
  const auto parsed = manifest::ParseManifestFile(*yaml, "manifest.yaml");
  const auto* whole = std::get_if<manifest::Manifest>(&parsed);
  if (whole == nullptr) {
    return false;
  }
  const manifest::PublishedManifest published = manifest::SplitManifest(*whole);
  json refs = json::array();
  for (const manifest::PartRef& it : published.head.parts) {
    refs.push_back({{"name", it.name}, {"hash", it.hash}});
  }
  for (const manifest::Part& it : published.parts) {
    state.parts[manifest::ContentHash(it.bytes)] = it.bytes;
  }
  state.head = {{"revision", published.head.revision.value()},
                {"parts", std::move(refs)}};
  return true;
}

// Takes the head from `head.json` and the parts from the files that it names,
// valid or not. False while a file is absent or half written.
bool ReadSplitManifest(const std::string& directory, PublishedState& state) {
  const auto head_text = ReadFile(directory + "/head.json");
  const json listing = ParseJson(head_text.value_or(""));
  const auto revision = NumberField(listing, "revision");
  if (!revision.has_value()) {
    return false;
  }
  json refs = json::array();
  for (const json& it : ArrayField(listing, "parts")) {
    const auto name = TextField(it, "name");
    const auto file = TextField(it, "file");
    const auto bytes = ReadFile(directory + "/" + file.value_or(""));
    if (!name.has_value() || !bytes.has_value()) {
      return false;
    }
    const std::string hash = manifest::ContentHash(*bytes);
    refs.push_back({{"name", *name}, {"hash", hash}});
    state.parts[hash] = *bytes;
  }
  state.head = {{"revision", *revision}, {"parts", std::move(refs)}};
  return true;
}

}  // namespace

std::optional<PublishedState> ReadPublished(const std::string& directory) {
  PublishedState state;
  if (!ReadWholeManifest(directory, state) &&
      !ReadSplitManifest(directory, state)) {
    return std::nullopt;
  }
  auto instances = ReadArray(directory + "/instances.json");
  auto targets = ReadArray(directory + "/targets.json");
  if (!instances.has_value() || !targets.has_value()) {
    return std::nullopt;
  }
  state.instances = *std::move(instances);
  state.targets = *std::move(targets);
  return state;
}

void ConfigState::Publish(PublishedState state, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  parts_.insert(state.parts.begin(), state.parts.end());
  if (state.head != current_.head) {
    current_.head = std::move(state.head);
    ++current_.version;
  }
  ListChange change{now + faults_.list_lag, std::move(state.instances),
                    std::move(state.targets)};
  if (current_.instances_version == 0) {
    ShowLists(change);
    return;
  }
  changes_.push_back(std::move(change));
}

void ConfigState::Advance(absl::Time now) {
  absl::MutexLock lock(&mutex_);
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    ShowLists(changes_.front());
    changes_.pop_front();
  }
}

void ConfigState::ShowLists(const ListChange& change) {
  const bool instances_changed = change.instances != current_.instances;
  const bool targets_changed = change.targets != current_.targets;
  if (!instances_changed && !targets_changed) {
    return;
  }
  ++current_.version;
  if (instances_changed) {
    current_.instances = change.instances;
    current_.instances_version = current_.version;
  }
  if (targets_changed) {
    current_.targets = change.targets;
    current_.targets_version = current_.version;
  }
}

const ConfigState::Shown& ConfigState::Visible() const {
  return faults_.stale ? frozen_ : current_;
}

std::optional<json> ConfigState::Watch(const Query& query) {
  absl::MutexLock lock(&mutex_);
  ++watches_;
  const auto ready = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || faults_.down || Visible().version != query.after;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&ready), query.wait);
  const Shown& shown = Visible();
  if (stopping_ || faults_.down || shown.version == 0) {
    return std::nullopt;
  }
  json answer = {{"version", shown.version},
                 {"head", shown.head},
                 {"instances_version", shown.instances_version},
                 {"targets_version", shown.targets_version}};
  if (query.instances == 0 || query.instances != shown.instances_version) {
    answer["instances"] = shown.instances;
  }
  if (query.targets == 0 || query.targets != shown.targets_version) {
    answer["targets"] = shown.targets;
  }
  return answer;
}

std::optional<std::string> ConfigState::Part(const std::string& hash) {
  absl::MutexLock lock(&mutex_);
  ++part_reads_;
  const auto it = parts_.find(hash);
  if (faults_.down || it == parts_.end()) {
    return std::nullopt;
  }
  return it->second;
}

void ConfigState::SetFaults(const Faults& faults) {
  absl::MutexLock lock(&mutex_);
  if (faults.stale && !faults_.stale) {
    frozen_ = current_;
  }
  faults_ = faults;
}

ConfigState::Faults ConfigState::faults() const {
  absl::MutexLock lock(&mutex_);
  return faults_;
}

json ConfigState::Counters() const {
  absl::MutexLock lock(&mutex_);
  return {{"watches", watches_},
          {"part_reads", part_reads_},
          {"version", current_.version}};
}

void ConfigState::Stop() {
  absl::MutexLock lock(&mutex_);
  stopping_ = true;
}

}  // namespace umbertrail::standin
