#ifndef UMBERTRAIL_CLI_SRC_STATUS_VIEW_H_
#define UMBERTRAIL_CLI_SRC_STATUS_VIEW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "umbertrail/base.h"

namespace umbertrail::cli {

// One owned target, as an instance shows it.
struct OwnedTargetView {
  std::string id;
  std::string data_centre;
  std::string claim;
  std::string state;
  std::string model;
  std::string version;
  bool reachable = false;
  int64_t budget = 0;
  int64_t in_flight = 0;
  int64_t queued_short = 0;
  int64_t queued_medium = 0;
  int64_t queued_long = 0;
};

// One quarantined content.
struct QuarantineView {
  std::string fingerprint;
  int64_t deaths = 0;
};

// One instance's status page.
struct InstanceView {
  // Where it was asked.
  std::string address;
  std::string instance;
  std::string data_centre;
  int64_t revision = 0;
  double freshness_age_ms = 0;
  bool ready = false;
  bool stopping = false;
  std::string manifest_fault;
  int64_t conflicting_heads = 0;
  int64_t requests = 0;
  std::vector<OwnedTargetView> owned;
  std::vector<QuarantineView> quarantine;
};

// Reads a status page. Fails with kCorrupt when it isn't one.
Result<InstanceView> ParseStatus(const std::string& address,
                                 std::string_view json);

// Sentences on what the instances disagree about or what an operator should
// look at, worst first: conflicting manifests, several owners of one target,
// revisions behind, refused manifests, instances not ready.
std::vector<std::string> FindDisagreements(
    const std::vector<InstanceView>& views);

}  // namespace umbertrail::cli

#endif  // UMBERTRAIL_CLI_SRC_STATUS_VIEW_H_
