// Measures what the fleet's control costs one node as the fleet grows:
// `fleet_capacity --json` prints points and slopes.

#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet_measures.h"

namespace umbertrail::capacity {
namespace {

using nlohmann::ordered_json;

// Today's size, two between, and the size to design for.
const std::vector<FleetSize> kSizes = {
    {1, 3, 8, 24, 10, 3},
    {1, 3, 64, 100, 60, 8},
    {2, 6, 190, 300, 140, 15},
    {3, 11, 390, 600, 290, 30},
};

constexpr double kChangesPerDay = 2700;
constexpr double kListChangesPerDay = 900;  // leaving, gone and back, 300 times
// Revisions published in a run; large fleets take long to work out.
constexpr int kChanges = 4;
constexpr int kChangesInLarge = 1;
constexpr int kLargeFrom = 100;

ordered_json Describe(const FleetSize& size) {
  return {{"regions", size.regions},     {"data_centres", size.data_centres},
          {"instances", size.instances}, {"targets", size.targets},
          {"accounts", size.accounts},   {"models", size.models}};
}

ordered_json Describe(const DecisionCosts& it) {
  return {{"instance_list_us", it.instance_list_us},
          {"target_list_us", it.target_list_us},
          {"ranking_us", it.ranking_us},
          {"claim_us", it.claim_us},
          {"barred_us", it.barred_us},

          {"wanted_state_us", it.wanted_state_us},
          {"parse_manifest_us", it.parse_us}};
}

ordered_json Describe(const Traffic& it) {
  return {{"peer_messages_sent_per_s", it.peer_messages_sent},
          {"peer_messages_received_per_s", it.peer_messages_received},
          {"peer_bytes_sent_per_s", it.peer_bytes_sent},
          {"peer_bytes_received_per_s", it.peer_bytes_received},
          {"service_calls_per_s", it.service_calls},
          {"service_bytes_per_s", it.service_bytes},
          {"core_fraction", it.core_fraction},
          {"slowest_spread_s", it.slowest_spread_s},
          {"peers_talked_to", it.peers_talked_to}};
}

// Least squares slope of `key` over the number of instances.
double Slope(const std::vector<ordered_json>& points, const std::string& key) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const ordered_json& it : points) {
    const double at = it["size"]["instances"].get<double>();
    const double value = it["costs"][key].get<double>();
    n += 1;
    x += at;
    y += value;
    xx += at * at;
    xy += at * value;
  }
  return (n * xy - x * y) / (n * xx - x * x);
}

ordered_json Run() {
  std::vector<ordered_json> points;
  for (const FleetSize& size : kSizes) {
    ordered_json costs = Describe(MeasureDecisions(size));

    const int changes =
        size.instances < kLargeFrom ? kChanges : kChangesInLarge;
    costs.update(Describe(MeasureTraffic(size, changes,
                                         absl::Seconds(86400 / kChangesPerDay),
                                         kListChangesPerDay)));
    points.push_back({{"size", Describe(size)}, {"costs", costs}});
  }
  ordered_json slopes;
  for (const auto& it : points.front()["costs"].items()) {
    slopes[it.key()] = Slope(points, it.key());
  }
  return {{"changes_per_day", kChangesPerDay},
          {"list_changes_per_day", kListChangesPerDay},
          {"points", points},
          {"slopes_per_instance", slopes}};
}

}  // namespace
}  // namespace umbertrail::capacity

int main(int argc, char** argv) {
  if (argc != 2 || std::string(argv[1]) != "--json") {
    std::cerr << "usage: fleet_capacity --json\n";
    return 2;
  }
  std::cout << umbertrail::capacity::Run().dump(2) << "\n";
  return 0;
}
