#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "commands.h"
#include "status_view.h"
#include "text_table.h"
#include "umbertrail/http/json_fields.h"

namespace umbertrail::cli {
namespace {

using Json = nlohmann::json;

// What was read of all instances that were asked.
struct FleetStatus {
  std::vector<InstanceView> views;
  // Pages as they came, for --json.
  std::vector<std::string> pages;
  // Instances that gave no page, and why.
  std::vector<std::string> faults;
};

FleetStatus ReadFleet(const StatusCommand& command, const AdminClient& client) {
  FleetStatus out;
  const auto pages = GetAll(client, command.addresses, "/status");
  for (size_t i = 0; i < pages.size(); ++i) {
    if (!IsOk(pages[i])) {
      out.faults.push_back(ErrorOf(pages[i]).message);
      continue;
    }
    const std::string& body = ValueOf(pages[i]).body;
    Result<InstanceView> view = ParseStatus(command.addresses[i], body);
    if (!IsOk(view)) {
      out.faults.push_back(ErrorOf(view).message);
      continue;
    }
    out.views.push_back(ValueOf(std::move(view)));
    out.pages.push_back(body);
  }
  return out;
}

std::string StateOf(const InstanceView& view) {
  if (view.stopping) {
    return "stopping";
  }
  return view.ready ? "ready" : "not ready";
}

void PrintInstances(const FleetStatus& fleet, std::ostream& out) {
  TextTable table({"INSTANCE", "DATA CENTRE", "STATE", "REVISION", "FRESH (s)",
                   "REQUESTS", "TARGETS", "QUARANTINED"});
  for (const InstanceView& it : fleet.views) {
    table.Add({it.instance, it.data_centre, StateOf(it),
               absl::StrCat(it.revision),
               absl::StrFormat("%.1f", it.freshness_age_ms / 1000),
               absl::StrCat(it.requests), absl::StrCat(it.owned.size()),
               absl::StrCat(it.quarantine.size())});
  }
  out << table.Text();
}

void PrintTargets(const FleetStatus& fleet, std::ostream& out) {
  TextTable table({"TARGET", "OWNER", "CLAIM", "STATE", "MODEL", "VERSION",
                   "IN FLIGHT", "BUDGET", "QUEUED S/M/L"});
  for (const InstanceView& view : fleet.views) {
    for (const OwnedTargetView& it : view.owned) {
      table.Add({it.id, view.instance, it.claim,
                 it.reachable ? it.state : "unreachable", it.model, it.version,
                 absl::StrCat(it.in_flight), absl::StrCat(it.budget),
                 absl::StrCat(it.queued_short, "/", it.queued_medium, "/",
                              it.queued_long)});
    }
  }
  if (!table.empty()) {
    out << "\n" << table.Text();
  }
}

void PrintQuarantine(const FleetStatus& fleet, std::ostream& out) {
  TextTable table({"QUARANTINED", "DEATHS", "SEEN BY"});
  for (const InstanceView& view : fleet.views) {
    for (const QuarantineView& it : view.quarantine) {
      table.Add({it.fingerprint, absl::StrCat(it.deaths), view.instance});
    }
  }
  if (!table.empty()) {
    out << "\n" << table.Text();
  }
}

void PrintJson(const FleetStatus& fleet,
               const std::vector<std::string>& disagreements,
               std::ostream& out) {
  Json instances = Json::array();
  for (const std::string& it : fleet.pages) {
    instances.push_back(http::ParseJson(it));
  }
  out << http::DumpJson({{"disagreements", disagreements},
                         {"unreachable", fleet.faults},
                         {"instances", instances}})
      << "\n";
}

}  // namespace

ExitStatus ShowStatus(const StatusCommand& command,
                      const AdminClient& client,
                      Console& console) {
  const FleetStatus fleet = ReadFleet(command, client);
  for (const std::string& it : fleet.faults) {
    console.err << "umbertrail: " << it << "\n";
  }
  const std::vector<std::string> disagreements = FindDisagreements(fleet.views);
  if (command.json) {
    PrintJson(fleet, disagreements, console.out);
  } else if (!fleet.views.empty()) {
    for (const std::string& it : disagreements) {
      console.out << "! " << it << "\n";
    }
    PrintInstances(fleet, console.out);
    PrintTargets(fleet, console.out);
    PrintQuarantine(fleet, console.out);
  }
  if (fleet.views.empty()) {
    return ExitStatus::kUnreachable;
  }
  const bool clean = disagreements.empty() && fleet.faults.empty();
  return clean ? ExitStatus::kOk : ExitStatus::kFound;
}

}  // namespace umbertrail::cli
