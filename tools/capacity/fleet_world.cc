#include "fleet_world.h"

#include <nlohmann/json.hpp>
#include <string>

namespace umbertrail::capacity {
namespace {

using nlohmann::json;

std::string Name(const char* prefix, int i) {
  return prefix + std::to_string(i);
}

DataCentreId DataCentreOf(const FleetSize& size, int i) {
  return DataCentreId(Name("data-centre-", i % size.data_centres));
}

manifest::ClientAccount MakeAccount(const FleetSize& size, int i) {
  manifest::ClientAccount it;
  it.id = ClientAccountId(Name("account-", i));
  it.key_salt = "8f3a6c1d2b4e5f70";
  it.key_hash = manifest::HashKey(it.key_salt, it.id.text());
  it.requests_per_second = 20;
  it.tokens_in_flight = Tokens(4000000);
  for (int k = 0; k < size.models; k += 3) {
    it.models.push_back(ModelId(Name("model-", k)));
  }
  it.services = {ServiceId("filing")};
  return it;
}

}  // namespace

manifest::Manifest MakeManifest(const FleetSize& size, uint64_t revision) {
  manifest::Manifest m;
  m.revision = ManifestRevision(revision);
  for (int i = 0; i < size.regions; ++i) {
    m.regions.push_back(RegionId(Name("region-", i)));
  }
  for (int i = 0; i < size.data_centres; ++i) {
    m.data_centres.push_back({DataCentreOf(size, i),
                              RegionId(Name("region-", i % size.regions)),
                              true});
  }
  m.engine_classes = {{"large", true, Tokens(400000), Tokens(20000)}};
  const int each = size.targets / size.data_centres / size.models;
  for (int i = 0; i < size.models; ++i) {
    const ModelId id(Name("model-", i));
    m.models.push_back({id, "v1", {}, Tokens(1000000), 1});
    for (int k = 0; k < size.data_centres; ++k) {
      m.deployments.push_back({id, DataCentreOf(size, k), each + 1});
    }
  }
  m.services = {{ServiceId("filing"), {{"file", false}, {"look", true}}}};
  for (int i = 0; i < size.accounts; ++i) {
    m.accounts.push_back(MakeAccount(size, i));
  }
  // Each revision changes one account.
  m.accounts[revision % m.accounts.size()].weight =
      1.0 + static_cast<double>(revision % 7);
  return m;
}

core::InstanceListRead MakeInstances(const FleetSize& size, uint64_t version) {
  core::InstanceListRead list{version, {}};
  for (int i = 0; i < size.instances; ++i) {
    const std::string address = "10." + std::to_string(i / 250) + "." +
                                std::to_string(i % 250) + ".7:7100";
    list.instances.push_back({InstanceId(address), DataCentreOf(size, i)});
  }
  // Each version has another instance leaving.
  list.instances[version % list.instances.size()].leaving = true;
  return list;
}

core::TargetListRead MakeTargets(const FleetSize& size, uint64_t version) {
  core::TargetListRead list{version, {}};
  for (int i = 0; i < size.targets; ++i) {
    core::TargetInfo it;
    it.id = TargetId(Name("engine-", i));
    it.address = "10.9." + std::to_string(i % 250) + ".8:8000";
    it.data_centre = DataCentreOf(size, i);
    it.engine_class = "large";
    list.targets.push_back(it);
  }
  list.targets[version % list.targets.size()].leaving = true;
  return list;
}

size_t HeadBytes(const manifest::Head& head) {
  json parts = json::array();
  for (const manifest::PartRef& it : head.parts) {
    parts.push_back({{"name", it.name}, {"hash", it.hash}});
  }
  const json body = {
      {"version", 1000000},
      {"head", {{"revision", head.revision.value()}, {"parts", parts}}}};
  return body.dump().size();
}

size_t InstanceListBytes(const core::InstanceListRead& list) {
  json all = json::array();
  for (const core::InstanceInfo& it : list.instances) {
    all.push_back({{"id", it.id.text()},
                   {"data_centre", it.data_centre.text()},
                   {"leaving", it.leaving}});
  }
  return all.dump().size();
}

size_t TargetListBytes(const core::TargetListRead& list) {
  json all = json::array();
  for (const core::TargetInfo& it : list.targets) {
    all.push_back({{"id", it.id.text()},
                   {"kind", "engine"},
                   {"address", it.address},
                   {"data_centre", it.data_centre.text()},
                   {"service", ""},
                   {"engine_class", it.engine_class},
                   {"leaving", it.leaving}});
  }
  return all.dump().size();
}

}  // namespace umbertrail::capacity
