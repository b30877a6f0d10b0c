#include "umbertrail/manifest/split.h"

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_format.h"
#include "umbertrail/manifest/keys.h"

namespace umbertrail::manifest {
namespace {

template <typename T>
void EmitList(YAML::Emitter* out,
              const char* key,
              const std::vector<T>& list,
              void (*emit)(YAML::Emitter*, const T&)) {
  *out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
  for (const T& it : list) {
    emit(out, it);
  }
  *out << YAML::EndSeq;
}

template <typename Id>
void EmitId(YAML::Emitter* out, const Id& id) {
  *out << YAML::DoubleQuoted << id.text();
}

// Emits `key: value`; strings are quoted so that they parse as strings.
void EmitText(YAML::Emitter* out, const char* key, const std::string& text) {
  *out << YAML::Key << key << YAML::Value << YAML::DoubleQuoted << text;
}
template <typename T>
void EmitPlain(YAML::Emitter* out, const char* key, const T& value) {
  *out << YAML::Key << key << YAML::Value << value;
}
void EmitNumber(YAML::Emitter* out, const char* key, double value) {
  EmitPlain(out, key, absl::StrFormat("%.17g", value));
}

void EmitDataCentre(YAML::Emitter* out, const DataCentre& it) {
  *out << YAML::BeginMap;
  EmitText(out, "id", it.id.text());
  EmitText(out, "region", it.region.text());
  EmitPlain(out, "open", it.open);
  *out << YAML::EndMap;
}

void EmitEngineClass(YAML::Emitter* out, const EngineClass& it) {
  *out << YAML::BeginMap;
  EmitText(out, "name", it.name);
  EmitPlain(out, "checks_fencing", it.checks_fencing);
  EmitPlain(out, "memory", it.memory.value());
  EmitPlain(out, "cold_budget", it.cold_budget.value());
  *out << YAML::EndMap;
}

void EmitModel(YAML::Emitter* out, const Model& it) {
  *out << YAML::BeginMap;
  EmitText(out, "id", it.id.text());
  EmitText(out, "version", it.version);
  EmitList(out, "adapters", it.adapters, &EmitId<AdapterId>);
  EmitPlain(out, "context_limit", it.context_limit.value());
  EmitPlain(out, "min_serving", it.min_serving);
  *out << YAML::EndMap;
}

void EmitDeployment(YAML::Emitter* out, const Deployment& it) {
  *out << YAML::BeginMap;
  EmitText(out, "model", it.model.text());
  EmitText(out, "data_centre", it.data_centre.text());
  EmitPlain(out, "targets", it.targets);
  *out << YAML::EndMap;
}

void EmitCall(YAML::Emitter* out, const ServiceCall& it) {
  *out << YAML::BeginMap;
  EmitText(out, "name", it.name);
  EmitPlain(out, "repeatable", it.repeatable);
  *out << YAML::EndMap;
}

void EmitService(YAML::Emitter* out, const PlainService& it) {
  *out << YAML::BeginMap;
  EmitText(out, "id", it.id.text());
  EmitList(out, "calls", it.calls, &EmitCall);
  *out << YAML::EndMap;
}

void EmitAccount(YAML::Emitter* out, const ClientAccount& it) {
  *out << YAML::BeginMap;
  EmitText(out, "id", it.id.text());
  EmitText(out, "key_salt", it.key_salt);
  EmitText(out, "key_hash", it.key_hash);
  EmitNumber(out, "weight", it.weight);
  EmitNumber(out, "requests_per_second", it.requests_per_second);
  EmitPlain(out, "tokens_in_flight", it.tokens_in_flight.value());
  EmitList(out, "models", it.models, &EmitId<ModelId>);
  EmitList(out, "services", it.services, &EmitId<ServiceId>);
  *out << YAML::EndMap;
}

// Appends a part whose content is written by `emit`.
template <typename Emit>
void AddPart(std::string name, Emit emit, PublishedManifest* out) {
  YAML::Emitter emitter;
  emitter << YAML::BeginMap;
  emit(&emitter);
  emitter << YAML::EndMap;
  std::string bytes = emitter.c_str();
  out->head.parts.push_back({name, ContentHash(bytes)});
  out->parts.push_back({std::move(name), std::move(bytes)});
}

void AddAccounts(std::string name,
                 const std::vector<ClientAccount>& accounts,
                 PublishedManifest* out) {
  AddPart(
      std::move(name),
      [&](YAML::Emitter* emitter) {
        EmitList(emitter, "accounts", accounts, &EmitAccount);
      },
      out);
}

void ShardAccounts(const std::vector<ClientAccount>& accounts,
                   PublishedManifest* out) {
  std::vector<ClientAccount> shards[kAccountShards];
  for (const ClientAccount& it : accounts) {
    shards[StableHash(it.id.text()) % kAccountShards].push_back(it);
  }
  for (int i = 0; i < kAccountShards; ++i) {
    AddAccounts(absl::StrFormat("accounts-%02d", i), shards[i], out);
  }
}

}  // namespace

PublishedManifest SplitManifest(const Manifest& manifest) {
  PublishedManifest out;
  out.head.revision = manifest.revision;
  AddPart(
      "fleet",
      [&](YAML::Emitter* emitter) {
        EmitList(emitter, "regions", manifest.regions, &EmitId<RegionId>);
        EmitList(emitter, "data_centres", manifest.data_centres,
                 &EmitDataCentre);
        EmitList(emitter, "engine_classes", manifest.engine_classes,
                 &EmitEngineClass);
      },
      &out);
  AddPart(
      "models",
      [&](YAML::Emitter* emitter) {
        EmitList(emitter, "models", manifest.models, &EmitModel);
        EmitList(emitter, "deployments", manifest.deployments, &EmitDeployment);
      },
      &out);
  AddPart(
      "services",
      [&](YAML::Emitter* emitter) {
        EmitList(emitter, "services", manifest.services, &EmitService);
      },
      &out);
  if (manifest.accounts.size() <= kMaxUnshardedAccounts) {
    AddAccounts("accounts", manifest.accounts, &out);
  } else {
    ShardAccounts(manifest.accounts, &out);
  }
  return out;
}

}  // namespace umbertrail::manifest
