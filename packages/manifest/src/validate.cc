#include <functional>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "sections.h"
#include "umbertrail/manifest/keys.h"

namespace umbertrail::manifest::detail {
namespace {

// Reports duplicate keys; empty keys were already reported by the reader.
class DuplicateCheck {
 public:
  DuplicateCheck(std::string what, FaultList* faults)
      : what_(std::move(what)), faults_(faults) {}

  void Add(const std::string& key, const Location& location) {
    if (!key.empty() && !seen_.insert(key).second) {
      faults_->Add(location,
                   absl::StrCat(what_, " `", key, "` is given twice"));
    }
  }

 private:
  std::string what_;
  FaultList* faults_;
  absl::flat_hash_set<std::string> seen_;
};

template <typename T, typename Key>
void CheckUnique(const std::vector<T>& list,
                 const std::vector<Location>& locations,
                 const std::string& what,
                 Key key,
                 FaultList* faults) {
  DuplicateCheck check(what, faults);
  for (size_t i = 0; i < list.size(); ++i) {
    check.Add(key(list[i]), locations[i]);
  }
}

// Checks that the ids under `key` are unique and declared.
template <typename Id>
void CheckIdList(const std::vector<Id>& ids,
                 const Location& element,
                 const std::string& key,
                 const std::string& what,
                 const absl::flat_hash_set<Id>* declared,
                 FaultList* faults) {
  DuplicateCheck check(what, faults);
  const Location list = Child(element, key);
  for (size_t i = 0; i < ids.size(); ++i) {
    const Location location = Element(list, i);
    check.Add(ids[i].text(), location);
    if (declared != nullptr && !ids[i].empty() && !declared->contains(ids[i])) {
      faults->Add(location, absl::StrCat("no ", what, " `", ids[i].text(),
                                         "` is declared"));
    }
  }
}

template <typename Id>
void CheckReference(const Id& id,
                    const Location& element,
                    const std::string& key,
                    const std::string& what,
                    const absl::flat_hash_set<Id>& declared,
                    FaultList* faults) {
  if (!id.empty() && !declared.contains(id)) {
    faults->Add(Child(element, key),
                absl::StrCat("no ", what, " `", id.text(), "` is declared"));
  }
}

template <typename T>
auto IdsOf(const std::vector<T>& list) {
  absl::flat_hash_set<decltype(T::id)> ids;
  for (const T& it : list) {
    ids.insert(it.id);
  }
  return ids;
}

void CheckEmptySets(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  const auto require = [&](bool good, const char* path, const char* message) {
    if (!good) {
      faults->Add(Fault{draft.source, 0, path, message});
    }
  };
  require(!m.regions.empty(), "regions", "must not be empty");
  require(!m.data_centres.empty(), "data_centres", "must not be empty");
  require(!m.accounts.empty(), "accounts", "must not be empty");
  require(!m.models.empty() || !m.services.empty(), "models",
          "a manifest needs a model or a service");
  require(m.models.empty() || !m.engine_classes.empty(), "engine_classes",
          "must not be empty where there are models");
}

void CheckDataCentres(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.regions, draft.regions, "region",
      [](const RegionId& it) { return it.text(); }, faults);
  CheckUnique(
      m.data_centres, draft.data_centres, "data centre",
      [](const DataCentre& it) { return it.id.text(); }, faults);
  const absl::flat_hash_set<RegionId> regions(m.regions.begin(),
                                              m.regions.end());
  for (size_t i = 0; i < m.data_centres.size(); ++i) {
    CheckReference(m.data_centres[i].region, draft.data_centres[i], "region",
                   "region", regions, faults);
  }
}

void CheckEngineClasses(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.engine_classes, draft.engine_classes, "engine class",
      [](const EngineClass& it) { return it.name; }, faults);
  for (size_t i = 0; i < m.engine_classes.size(); ++i) {
    if (m.engine_classes[i].cold_budget > m.engine_classes[i].memory) {
      faults->Add(Child(draft.engine_classes[i], "cold_budget"),
                  "must not be over `memory`");
    }
  }
}

void CheckModels(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.models, draft.models, "model",
      [](const Model& it) { return it.id.text(); }, faults);
  absl::flat_hash_map<ModelId, int> wanted;
  for (const Deployment& it : m.deployments) {
    wanted[it.model] += it.targets;
  }
  for (size_t i = 0; i < m.models.size(); ++i) {
    const Model& model = m.models[i];
    CheckIdList<AdapterId>(model.adapters, draft.models[i], "adapters",
                           "adapter", nullptr, faults);
    const int n = wanted[model.id];
    if (n > 0 && n < model.min_serving) {
      faults->Add(
          Child(draft.models[i], "min_serving"),
          absl::StrCat("must not be over the ", n, " targets deployed"));
    }
  }
}

void CheckDeployments(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.deployments, draft.deployments, "deployment",
      [](const Deployment& it) {
        return absl::StrCat(it.model.text(), " in ", it.data_centre.text());
      },
      faults);
  const auto models = IdsOf(m.models);
  const auto data_centres = IdsOf(m.data_centres);
  for (size_t i = 0; i < m.deployments.size(); ++i) {
    CheckReference(m.deployments[i].model, draft.deployments[i], "model",
                   "model", models, faults);
    CheckReference(m.deployments[i].data_centre, draft.deployments[i],
                   "data_centre", "data centre", data_centres, faults);
  }
}

void CheckServices(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.services, draft.services, "service",
      [](const PlainService& it) { return it.id.text(); }, faults);
  for (size_t i = 0; i < m.services.size(); ++i) {
    const Location calls = Child(draft.services[i], "calls");
    if (m.services[i].calls.empty()) {
      faults->Add(calls, "must not be empty");
    }
    DuplicateCheck check("call", faults);
    for (size_t k = 0; k < m.services[i].calls.size(); ++k) {
      check.Add(m.services[i].calls[k].name, Element(calls, k));
    }
  }
}

void CheckAccounts(const Draft& draft, FaultList* faults) {
  const Manifest& m = draft.manifest;
  CheckUnique(
      m.accounts, draft.accounts, "account",
      [](const ClientAccount& it) { return it.id.text(); }, faults);
  const auto models = IdsOf(m.models);
  const auto services = IdsOf(m.services);
  for (size_t i = 0; i < m.accounts.size(); ++i) {
    const ClientAccount& account = m.accounts[i];
    const Location& location = draft.accounts[i];
    if (!account.key_hash.empty() && !IsContentHash(account.key_hash)) {
      faults->Add(Child(location, "key_hash"),
                  "must be 64 lower-case hex digits");
    }
    CheckIdList(account.models, location, "models", "model", &models, faults);
    CheckIdList(account.services, location, "services", "service", &services,
                faults);
  }
}

}  // namespace

void Validate(const Draft& draft, FaultList* faults) {
  CheckEmptySets(draft, faults);
  CheckDataCentres(draft, faults);
  CheckEngineClasses(draft, faults);
  CheckModels(draft, faults);
  CheckDeployments(draft, faults);
  CheckServices(draft, faults);
  CheckAccounts(draft, faults);
}

}  // namespace umbertrail::manifest::detail
