#include "umbertrail/manifest/diff.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace umbertrail::manifest {
namespace {

struct KindInfo {
  ChangeKind kind;
  const char* name;
  ChangeWeight weight;
};

constexpr ChangeWeight kNotice = ChangeWeight::kNotice;
constexpr ChangeWeight kCapacity = ChangeWeight::kCapacity;
constexpr ChangeWeight kCallers = ChangeWeight::kCallers;

constexpr KindInfo kKinds[] = {
    {ChangeKind::kRevisionNotNewer, "revision_not_newer", kCallers},
    {ChangeKind::kRegionAdded, "region_added", kNotice},
    {ChangeKind::kRegionRemoved, "region_removed", kCapacity},
    {ChangeKind::kDataCentreAdded, "data_centre_added", kNotice},
    {ChangeKind::kDataCentreRemoved, "data_centre_removed", kCapacity},
    {ChangeKind::kDataCentreClosed, "data_centre_closed", kCapacity},
    {ChangeKind::kDataCentreOpened, "data_centre_opened", kNotice},
    {ChangeKind::kDataCentreMoved, "data_centre_moved", kCapacity},
    {ChangeKind::kAllDataCentresClosed, "all_data_centres_closed", kCallers},
    {ChangeKind::kModelAdded, "model_added", kNotice},
    {ChangeKind::kModelRemoved, "model_removed", kCallers},
    {ChangeKind::kModelVersionChanged, "model_version_changed", kNotice},
    {ChangeKind::kAdapterAdded, "adapter_added", kNotice},
    {ChangeKind::kAdapterRemoved, "adapter_removed", kCallers},
    {ChangeKind::kContextLimitChanged, "context_limit_changed", kNotice},
    {ChangeKind::kMinServingChanged, "min_serving_changed", kNotice},
    {ChangeKind::kDeploymentChanged, "deployment_changed", kNotice},
    {ChangeKind::kModelShortOfTargets, "model_short_of_targets", kCapacity},
    {ChangeKind::kModelCannotRoll, "model_cannot_roll", kCapacity},
    {ChangeKind::kAccountAdded, "account_added", kNotice},
    {ChangeKind::kAccountRemoved, "account_removed", kCallers},
    {ChangeKind::kAccountKeyChanged, "account_key_changed", kCallers},
    {ChangeKind::kAccountRightAdded, "account_right_added", kNotice},
    {ChangeKind::kAccountRightLost, "account_right_lost", kCallers},
    {ChangeKind::kAccountLimitLowered, "account_limit_lowered", kCallers},
    {ChangeKind::kAccountLimitRaised, "account_limit_raised", kNotice},
    {ChangeKind::kServiceAdded, "service_added", kNotice},
    {ChangeKind::kServiceRemoved, "service_removed", kCallers},
    {ChangeKind::kCallAdded, "call_added", kNotice},
    {ChangeKind::kCallRemoved, "call_removed", kCallers},
    {ChangeKind::kCallNotRepeatable, "call_not_repeatable", kCallers},
    {ChangeKind::kCallRepeatable, "call_repeatable", kCallers},
    {ChangeKind::kEngineClassAdded, "engine_class_added", kNotice},
    {ChangeKind::kEngineClassRemoved, "engine_class_removed", kCapacity},
    {ChangeKind::kEngineClassChanged, "engine_class_changed", kNotice},
};

const KindInfo& InfoOf(ChangeKind kind) {
  return *std::find_if(std::begin(kKinds), std::end(kKinds),
                       [&](const KindInfo& it) { return it.kind == kind; });
}

class Differ {
 public:
  Differ(const Manifest& before, const Manifest& after)
      : before_(before), after_(after) {}

  std::vector<Change> Run() {
    CompareRevision();
    CompareRegions();
    CompareDataCentres();
    CompareEngineClasses();
    CompareModels();
    CompareDeployments();
    CompareServices();
    CompareAccounts();
    return std::move(changes_);
  }

 private:
  void Add(ChangeKind kind,
           std::string subject,
           std::string before = "",
           std::string after = "") {
    changes_.push_back(
        {kind, std::move(subject), std::move(before), std::move(after)});
  }

  // Adds `removed` and `added` for elements in only one list and calls `both`
  // for those in both, in the order of `before`, then of `after`.
  template <typename T, typename Key, typename Both>
  void CompareLists(const std::vector<T>& before,
                    const std::vector<T>& after,
                    Key key,
                    ChangeKind added,
                    ChangeKind removed,
                    const std::string& prefix,
                    Both both) {
    absl::flat_hash_map<std::string, const T*> old;
    for (const T& it : before) {
      old[key(it)] = &it;
    }
    absl::flat_hash_map<std::string, const T*> kept;
    for (const T& it : after) {
      kept[key(it)] = &it;
    }
    for (const T& it : before) {
      if (!kept.contains(key(it))) {
        Add(removed, prefix + key(it));
      }
    }
    for (const T& it : after) {
      const auto found = old.find(key(it));
      if (found == old.end()) {
        Add(added, prefix + key(it));
      } else {
        both(*found->second, it);
      }
    }
  }

  void CompareRevision() {
    if (after_.revision <= before_.revision) {
      Add(ChangeKind::kRevisionNotNewer, "revision",
          absl::StrCat(before_.revision.value()),
          absl::StrCat(after_.revision.value()));
    }
  }

  void CompareRegions() {
    CompareLists(
        before_.regions, after_.regions,
        [](const RegionId& it) { return it.text(); }, ChangeKind::kRegionAdded,
        ChangeKind::kRegionRemoved, "",
        [](const RegionId&, const RegionId&) {});
  }

  void CompareDataCentres() {
    CompareLists(
        before_.data_centres, after_.data_centres,
        [](const DataCentre& it) { return it.id.text(); },
        ChangeKind::kDataCentreAdded, ChangeKind::kDataCentreRemoved, "",
        [this](const DataCentre& a, const DataCentre& b) {
          if (a.open != b.open) {
            Add(b.open ? ChangeKind::kDataCentreOpened
                       : ChangeKind::kDataCentreClosed,
                b.id.text());
          }
          if (a.region != b.region) {
            Add(ChangeKind::kDataCentreMoved, b.id.text(), a.region.text(),
                b.region.text());
          }
        });
    if (OpenCount(after_) == 0 && OpenCount(before_) > 0) {
      Add(ChangeKind::kAllDataCentresClosed, "data_centres");
    }
  }

  void CompareEngineClasses() {
    CompareLists(
        before_.engine_classes, after_.engine_classes,
        [](const EngineClass& it) { return it.name; },
        ChangeKind::kEngineClassAdded, ChangeKind::kEngineClassRemoved, "",
        [this](const EngineClass& a, const EngineClass& b) {
          const std::string before = Describe(a);
          const std::string after = Describe(b);
          if (before != after) {
            Add(ChangeKind::kEngineClassChanged, b.name, before, after);
          }
        });
  }

  void CompareModels() {
    CompareLists(
        before_.models, after_.models,
        [](const Model& it) { return it.id.text(); }, ChangeKind::kModelAdded,
        ChangeKind::kModelRemoved, "",
        [this](const Model& a, const Model& b) { CompareModel(a, b); });
  }

  void CompareModel(const Model& a, const Model& b) {
    const std::string id = b.id.text();
    if (a.version != b.version) {
      Add(ChangeKind::kModelVersionChanged, id, a.version, b.version);
    }
    CompareLists(
        a.adapters, b.adapters, [](const AdapterId& it) { return it.text(); },
        ChangeKind::kAdapterAdded, ChangeKind::kAdapterRemoved, id + "/",
        [](const AdapterId&, const AdapterId&) {});
    AddNumber(ChangeKind::kContextLimitChanged, id, a.context_limit.value(),
              b.context_limit.value());
    AddNumber(ChangeKind::kMinServingChanged, id, a.min_serving, b.min_serving);
  }

  void CompareDeployments() {
    CompareDeployed();
    for (const Model& it : after_.models) {
      CompareServing(it);
    }
  }

  void CompareDeployed() {
    absl::flat_hash_map<std::string, int> old;
    for (const Deployment& it : before_.deployments) {
      old[KeyOf(it)] = it.targets;
    }
    for (const Deployment& it : after_.deployments) {
      AddNumber(ChangeKind::kDeploymentChanged, KeyOf(it), old[KeyOf(it)],
                it.targets);
      old.erase(KeyOf(it));
    }
    for (const Deployment& it : before_.deployments) {
      if (old.contains(KeyOf(it))) {
        AddNumber(ChangeKind::kDeploymentChanged, KeyOf(it), it.targets, 0);
      }
    }
  }

  void CompareServing(const Model& model) {
    const int n = OpenTargets(after_, model.id);
    const int required = std::max(model.min_serving, 1);
    const auto old =
        std::find_if(before_.models.begin(), before_.models.end(),
                     [&](const Model& it) { return it.id == model.id; });
    const bool known = old != before_.models.end();
    const int old_n = known ? OpenTargets(before_, model.id) : 0;
    const int old_min = known ? std::max(old->min_serving, 1) : 0;
    const std::string counts = absl::StrCat(n, " in open data centres, ",
                                            model.min_serving, " must serve");
    if (n < required && !(known && old_n < old_min)) {
      Add(ChangeKind::kModelShortOfTargets, model.id.text(), "", counts);
    } else if (n == model.min_serving &&
               !(known && old_n == old->min_serving)) {
      Add(ChangeKind::kModelCannotRoll, model.id.text(), "", counts);
    }
  }

  void CompareServices() {
    CompareLists(
        before_.services, after_.services,
        [](const PlainService& it) { return it.id.text(); },
        ChangeKind::kServiceAdded, ChangeKind::kServiceRemoved, "",
        [this](const PlainService& a, const PlainService& b) {
          CompareCalls(a, b);
        });
  }

  void CompareCalls(const PlainService& a, const PlainService& b) {
    const std::string prefix = b.id.text() + "/";
    CompareLists(
        a.calls, b.calls, [](const ServiceCall& it) { return it.name; },
        ChangeKind::kCallAdded, ChangeKind::kCallRemoved, prefix,
        [&](const ServiceCall& old, const ServiceCall& it) {
          if (old.repeatable != it.repeatable) {
            Add(it.repeatable ? ChangeKind::kCallRepeatable
                              : ChangeKind::kCallNotRepeatable,
                prefix + it.name);
          }
        });
  }

  void CompareAccounts() {
    CompareLists(
        before_.accounts, after_.accounts,
        [](const ClientAccount& it) { return it.id.text(); },
        ChangeKind::kAccountAdded, ChangeKind::kAccountRemoved, "",
        [this](const ClientAccount& a, const ClientAccount& b) {
          CompareAccount(a, b);
        });
  }

  void CompareAccount(const ClientAccount& a, const ClientAccount& b) {
    const std::string id = b.id.text();
    if (a.key_hash != b.key_hash || a.key_salt != b.key_salt) {
      Add(ChangeKind::kAccountKeyChanged, id);
    }
    CompareLists(
        a.models, b.models, [](const ModelId& it) { return it.text(); },
        ChangeKind::kAccountRightAdded, ChangeKind::kAccountRightLost, id + "/",
        [](const ModelId&, const ModelId&) {});
    CompareLists(
        a.services, b.services, [](const ServiceId& it) { return it.text(); },
        ChangeKind::kAccountRightAdded, ChangeKind::kAccountRightLost, id + "/",
        [](const ServiceId&, const ServiceId&) {});
    AddLimit(id + "/weight", a.weight, b.weight);
    AddLimit(id + "/requests_per_second", a.requests_per_second,
             b.requests_per_second);
    AddLimit(id + "/tokens_in_flight",
             static_cast<double>(a.tokens_in_flight.value()),
             static_cast<double>(b.tokens_in_flight.value()));
  }

  void AddLimit(const std::string& subject, double a, double b) {
    if (a < b || b < a) {
      Add(b < a ? ChangeKind::kAccountLimitLowered
                : ChangeKind::kAccountLimitRaised,
          subject, absl::StrCat(a), absl::StrCat(b));
    }
  }

  void AddNumber(ChangeKind kind,
                 const std::string& subject,
                 int64_t a,
                 int64_t b) {
    if (a != b) {
      Add(kind, subject, absl::StrCat(a), absl::StrCat(b));
    }
  }

  static std::string KeyOf(const Deployment& it) {
    return absl::StrCat(it.model.text(), " in ", it.data_centre.text());
  }

  static std::string Describe(const EngineClass& it) {
    return absl::StrCat(it.checks_fencing ? "checks fencing" : "no fencing",
                        ", memory ", it.memory.value(), ", cold budget ",
                        it.cold_budget.value());
  }

  static int64_t OpenCount(const Manifest& manifest) {
    return std::count_if(manifest.data_centres.begin(),
                         manifest.data_centres.end(),
                         [](const DataCentre& it) { return it.open; });
  }

  // Number of targets deployed for `model` in open data centres.
  static int OpenTargets(const Manifest& manifest, const ModelId& model) {
    int n = 0;
    for (const Deployment& it : manifest.deployments) {
      const bool open =
          std::any_of(manifest.data_centres.begin(),
                      manifest.data_centres.end(), [&](const DataCentre& dc) {
                        return dc.id == it.data_centre && dc.open;
                      });
      if (it.model == model && open) {
        n += it.targets;
      }
    }
    return n;
  }

  const Manifest& before_;
  const Manifest& after_;
  std::vector<Change> changes_;
};

}  // namespace

std::string ToText(ChangeKind kind) {
  return InfoOf(kind).name;
}

ChangeWeight SeverityOf(ChangeKind kind) {
  return InfoOf(kind).weight;
}

std::string ToText(const Change& change) {
  std::string text =
      absl::StrCat(InfoOf(change.kind).name, " ", change.subject);
  if (!change.before.empty() || !change.after.empty()) {
    absl::StrAppend(&text, ": ", change.before.empty() ? "none" : change.before,
                    " -> ", change.after.empty() ? "none" : change.after);
  }
  return text;
}

std::vector<Change> DiffManifests(const Manifest& before,
                                  const Manifest& after) {
  return Differ(before, after).Run();
}

}  // namespace umbertrail::manifest
