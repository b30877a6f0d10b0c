#include "status_view.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;

std::string TextOf(const Json& json, const char* name) {
  return http::TextField(json, name).value_or("");
}

int64_t NumberOf(const Json& json, const char* name) {
  return http::NumberField(json, name).value_or(0);
}

OwnedTargetView ReadTarget(const Json& json) {
  OwnedTargetView out;
  out.id = TextOf(json, "id");
  out.data_centre = TextOf(json, "data_centre");
  out.claim = TextOf(json, "claim");
  out.state = TextOf(json, "state");
  out.model = TextOf(json, "model");
  out.version = TextOf(json, "version");
  out.reachable = http::FlagField(json, "reachable");
  out.budget = NumberOf(json, "budget");
  out.in_flight = NumberOf(json, "in_flight");
  if (const Json* queued = http::FindField(json, "queued")) {
    out.queued_short = NumberOf(*queued, "short");
    out.queued_medium = NumberOf(*queued, "medium");
    out.queued_long = NumberOf(*queued, "long");
  }
  return out;
}

using Sentences = std::vector<std::string>;
using Views = std::vector<InstanceView>;

void AddConflicts(const Views& views, Sentences& out) {
  for (const InstanceView& it : views) {
    if (it.conflicting_heads > 0) {
      out.push_back(absl::StrCat(
          it.instance, " was offered two manifests with one revision"));
    }
  }
}

void AddSeveralOwners(const Views& views, Sentences& out) {
  std::map<std::string, std::vector<std::string>> owners;
  for (const InstanceView& it : views) {
    for (const OwnedTargetView& target : it.owned) {
      if (target.claim != "none") {
        owners[target.id].push_back(
            absl::StrCat(it.instance, " (", target.claim, ")"));
      }
    }
  }
  for (const auto& [target, names] : owners) {
    if (names.size() > 1) {
      out.push_back(absl::StrCat("target ", target, " is claimed by ",
                                 absl::StrJoin(names, ", ")));
    }
  }
}

void AddRevisionsBehind(const Views& views, Sentences& out) {
  int64_t newest = 0;
  for (const InstanceView& it : views) {
    newest = std::max(newest, it.revision);
  }
  for (const InstanceView& it : views) {
    if (it.revision < newest) {
      out.push_back(absl::StrCat(it.instance, " is at revision ", it.revision,
                                 ", the newest is ", newest));
    }
  }
}

void AddRefusedManifests(const Views& views, Sentences& out) {
  for (const InstanceView& it : views) {
    if (!it.manifest_fault.empty()) {
      out.push_back(absl::StrCat(it.instance,
                                 " refused a manifest: ", it.manifest_fault));
    }
  }
}

void AddNotReady(const Views& views, Sentences& out) {
  for (const InstanceView& it : views) {
    if (!it.ready) {
      out.push_back(absl::StrCat(
          it.instance, it.stopping ? " is stopping" : " is not ready"));
    }
  }
}

}  // namespace

Result<InstanceView> ParseStatus(const std::string& address,
                                 std::string_view json) {
  const Json page = http::ParseJson(json);
  if (!http::TextField(page, "instance") ||
      !http::NumberField(page, "revision")) {
    return Error{ErrorCode::kCorrupt, address + ": this is no status page"};
  }
  InstanceView out;
  out.address = address;
  out.instance = TextOf(page, "instance");
  out.data_centre = TextOf(page, "data_centre");
  out.revision = NumberOf(page, "revision");
  const Json* age = http::FindField(page, "freshness_age_ms");
  out.freshness_age_ms =
      age != nullptr && age->is_number() ? age->get<double>() : 0;
  out.ready = http::FlagField(page, "ready");
  out.stopping = http::FlagField(page, "stopping");
  out.manifest_fault = TextOf(page, "manifest_fault");
  out.conflicting_heads = NumberOf(page, "conflicting_heads_refused");
  out.requests =
      static_cast<int64_t>(http::ArrayField(page, "requests").size());
  for (const Json& it : http::ArrayField(page, "owned")) {
    out.owned.push_back(ReadTarget(it));
  }
  for (const Json& it : http::ArrayField(page, "quarantine")) {
    out.quarantine.push_back(
        {TextOf(it, "fingerprint"), NumberOf(it, "deaths")});
  }
  return out;
}

std::vector<std::string> FindDisagreements(const Views& views) {
  using Finder = void (*)(const Views&, Sentences&);
  constexpr Finder kFinders[] = {AddConflicts, AddSeveralOwners,
                                 AddRevisionsBehind, AddRefusedManifests,
                                 AddNotReady};
  Sentences out;
  for (const Finder it : kFinders) {
    it(views, out);
  }
  return out;
}

}  // namespace umbertrail::cli
