#include "sections.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace umbertrail::manifest::detail {
namespace {

constexpr Presence kRequired = Presence::kRequired;
constexpr Presence kOptional = Presence::kOptional;

constexpr Range kRevisions{1, 1e15};
// Well above the longest prompts; catches values in the wrong unit.
constexpr Range kContextTokens{1, 16e6};
constexpr Range kEngineTokens{1, 1e9};
constexpr Range kAccountTokens{1, 1e10};
constexpr Range kTargetCount{0, 10000};
constexpr Range kWeights{1e-6, 1e6};
constexpr Range kRates{1e-6, 1e6};

constexpr Field<DataCentre> kDataCentreFields[] = {
    {"id", kRequired, &ReadMember<&DataCentre::id>, {}},
    {"region", kRequired, &ReadMember<&DataCentre::region>, {}},
    {"open", kOptional, &ReadMember<&DataCentre::open>, {}},
};

constexpr Field<Model> kModelFields[] = {
    {"id", kRequired, &ReadMember<&Model::id>, {}},
    {"version", kRequired, &ReadMember<&Model::version>, {}},
    {"adapters", kOptional, &ReadMember<&Model::adapters>, {}},
    {"context_limit", kRequired, &ReadMember<&Model::context_limit>,
     kContextTokens},
    {"min_serving", kOptional, &ReadMember<&Model::min_serving>, kTargetCount},
};

constexpr Field<Deployment> kDeploymentFields[] = {
    {"model", kRequired, &ReadMember<&Deployment::model>, {}},
    {"data_centre", kRequired, &ReadMember<&Deployment::data_centre>, {}},
    {"targets", kRequired, &ReadMember<&Deployment::targets>, kTargetCount},
};

constexpr Field<ClientAccount> kAccountFields[] = {
    {"id", kRequired, &ReadMember<&ClientAccount::id>, {}},
    {"key_salt", kRequired, &ReadMember<&ClientAccount::key_salt>, {}},
    {"key_hash", kRequired, &ReadMember<&ClientAccount::key_hash>, {}},
    {"weight", kOptional, &ReadMember<&ClientAccount::weight>, kWeights},
    {"requests_per_second", kRequired,
     &ReadMember<&ClientAccount::requests_per_second>, kRates},
    {"tokens_in_flight", kRequired,
     &ReadMember<&ClientAccount::tokens_in_flight>, kAccountTokens},
    {"models", kOptional, &ReadMember<&ClientAccount::models>, {}},
    {"services", kOptional, &ReadMember<&ClientAccount::services>, {}},
};

void ReadCallName(const Location& location,
                  const Range& /*range*/,
                  FaultList* faults,
                  ServiceCall* out) {
  ReadId(location, IdAlphabet::kPlain, faults, &out->name);
}

constexpr Field<ServiceCall> kCallFields[] = {
    {"name", kRequired, &ReadCallName, {}},
    {"repeatable", kRequired, &ReadMember<&ServiceCall::repeatable>, {}},
};

void ReadCalls(const Location& location,
               const Range& /*range*/,
               FaultList* faults,
               PlainService* out) {
  if (!location.node.IsSequence()) {
    faults->Add(location, "must be a list");
    return;
  }
  for (size_t i = 0; i < location.node.size(); ++i) {
    ServiceCall call;
    ReadMap(Element(location, i), kCallFields, faults, &call);
    out->calls.push_back(call);
  }
}

constexpr Field<PlainService> kServiceFields[] = {
    {"id", kRequired, &ReadMember<&PlainService::id>, {}},
    {"calls", kRequired, &ReadCalls, {}},
};

void ReadEngineName(const Location& location,
                    const Range& /*range*/,
                    FaultList* faults,
                    EngineClass* out) {
  ReadId(location, IdAlphabet::kPlain, faults, &out->name);
}

constexpr Field<EngineClass> kEngineFields[] = {
    {"name", kRequired, &ReadEngineName, {}},
    {"checks_fencing",
     kRequired,
     &ReadMember<&EngineClass::checks_fencing>,
     {}},
    {"memory", kRequired, &ReadMember<&EngineClass::memory>, kEngineTokens},
    {"cold_budget", kRequired, &ReadMember<&EngineClass::cold_budget>,
     kEngineTokens},
};

void ReadElement(const Location& location, FaultList* faults, RegionId* out) {
  ReadValue(location, {}, faults, out);
}
void ReadElement(const Location& location, FaultList* faults, DataCentre* out) {
  ReadMap(location, kDataCentreFields, faults, out);
}
void ReadElement(const Location& location, FaultList* faults, Model* out) {
  ReadMap(location, kModelFields, faults, out);
}
void ReadElement(const Location& location, FaultList* faults, Deployment* out) {
  ReadMap(location, kDeploymentFields, faults, out);
}
void ReadElement(const Location& location,
                 FaultList* faults,
                 ClientAccount* out) {
  ReadMap(location, kAccountFields, faults, out);
}
void ReadElement(const Location& location,
                 FaultList* faults,
                 PlainService* out) {
  ReadMap(location, kServiceFields, faults, out);
}
void ReadElement(const Location& location,
                 FaultList* faults,
                 EngineClass* out) {
  ReadMap(location, kEngineFields, faults, out);
}

// Appends the elements of a section to `List` and their locations to
// `Locations`.
template <auto List, auto Locations>
void ReadSection(const Location& location,
                 const Range& /*range*/,
                 FaultList* faults,
                 Draft* draft) {
  if (!location.node.IsSequence()) {
    faults->Add(location, "must be a list");
    return;
  }
  auto& list = draft->manifest.*List;
  for (size_t i = 0; i < location.node.size(); ++i) {
    const Location element = Element(location, i);
    list.emplace_back();
    ReadElement(element, faults, &list.back());
    (draft->*Locations).push_back(element);
  }
}

void ReadRevision(const Location& location,
                  const Range& range,
                  FaultList* faults,
                  Draft* draft) {
  uint64_t n = 0;
  ReadValue(location, range, faults, &n);
  draft->manifest.revision = ManifestRevision(n);
}

constexpr Field<Draft> kRevision = {"revision", kRequired, &ReadRevision,
                                    kRevisions};
constexpr Field<Draft> kRegions = {
    "regions",
    kRequired,
    &ReadSection<&Manifest::regions, &Draft::regions>,
    {}};
constexpr Field<Draft> kDataCentres = {
    "data_centres",
    kRequired,
    &ReadSection<&Manifest::data_centres, &Draft::data_centres>,
    {}};
constexpr Field<Draft> kEngineClasses = {
    "engine_classes",
    kOptional,
    &ReadSection<&Manifest::engine_classes, &Draft::engine_classes>,
    {}};
constexpr Field<Draft> kModels = {
    "models",
    kOptional,
    &ReadSection<&Manifest::models, &Draft::models>,
    {}};
constexpr Field<Draft> kDeployments = {
    "deployments",
    kOptional,
    &ReadSection<&Manifest::deployments, &Draft::deployments>,
    {}};
constexpr Field<Draft> kServices = {
    "services",
    kOptional,
    &ReadSection<&Manifest::services, &Draft::services>,
    {}};
constexpr Field<Draft> kAccounts = {
    "accounts",
    kRequired,
    &ReadSection<&Manifest::accounts, &Draft::accounts>,
    {}};

constexpr Field<Draft> kDocumentFields[] = {
    kRevision, kRegions,     kDataCentres, kEngineClasses,
    kModels,   kDeployments, kServices,    kAccounts};
constexpr Field<Draft> kFleetFields[] = {kRegions, kDataCentres,
                                         kEngineClasses};
constexpr Field<Draft> kModelsFields[] = {kModels, kDeployments};
constexpr Field<Draft> kServicesFields[] = {kServices};
constexpr Field<Draft> kAccountsFields[] = {kAccounts};

}  // namespace

void ReadDocument(const Location& document, FaultList* faults, Draft* draft) {
  ReadMap(document, kDocumentFields, faults, draft);
}

void ReadPart(const Location& part, FaultList* faults, Draft* draft) {
  if (part.part == "fleet") {
    ReadMap(part, kFleetFields, faults, draft);
  } else if (part.part == "models") {
    ReadMap(part, kModelsFields, faults, draft);
  } else if (part.part == "services") {
    ReadMap(part, kServicesFields, faults, draft);
  } else if (part.part == "accounts" ||
             absl::StartsWith(part.part, "accounts-")) {
    ReadMap(part, kAccountsFields, faults, draft);
  } else {
    faults->Add(part, "no part of a manifest has this name");
  }
}

}  // namespace umbertrail::manifest::detail
