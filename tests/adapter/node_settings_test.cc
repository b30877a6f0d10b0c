#include "platform/node_settings.h"

#include <catch2/catch.hpp>

namespace umbertrail::adapter {
namespace {

constexpr char kSample[] = R"(
node_name: "front-1"
zone: "east"
ip: "10.1.0.40"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
  control: "10.1.0.40:8229"
internal_ports:
  - 7340
  - 7355
seeds:
  - "10.1.0.40:8229"
  - "10.2.0.29:8229"
data_dir: null
bootstrap: true
limits:
  cpu_share: 0.12
  cores: 2
  memory_mb: 160
  max_fds: 4100
  max_framing_bytes: 65536
unknown_key: 7
bounds:
  grace_s: 8
  drain_ms: 4000
  config_apply_ms: 3000
  revoke_strict: true
  revoke_ms: 4500
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_slack: 102
platform:
  address: "10.200.1.7:8223"
)";

TEST_CASE("settings are parsed with their units") {
  const SettingsResult read = ReadSettings(kSample);
  CHECK(read.faults.empty());
  const InstanceSettings& settings = read.settings;
  CHECK(settings.name.text() == "front-1");
  CHECK(settings.data_centre.text() == "east");
  CHECK(settings.peer_port == 7340);
  CHECK(settings.seeds.size() == 2);
  CHECK(settings.revoke == absl::Milliseconds(4500));
  CHECK(settings.grace == absl::Seconds(8));
  CHECK(settings.retry_slack == 102);
  CHECK(settings.first_start);
  CHECK(settings.cpu_cores == Approx(0.24));
  // The smaller of the two bounds.
  CHECK(settings.max_apply_delay == absl::Seconds(3));
  CHECK(settings.memory_mb == 160);
  CHECK(settings.max_fds == 4100);
  CHECK(settings.max_framing_bytes == 65536);
  // The default, as it is not set.
  CHECK(settings.cold_overage == 1.5);
}

TEST_CASE("each error names its key") {
  const SettingsResult read = ReadSettings(R"(
node_name: "front-1"
zone: "east"
listen: {front: "10.1.0.40:8227", ready: ["x"]}
internal_ports: "none"
bounds: {grace_s: -1}
)");
  const std::vector<std::string> expected = {
      "ip: missing", "listen.ready: unexpected type",
      "internal_ports: unexpected type", "platform.address: missing",
      "bounds.grace_s: is negative"};
  CHECK(read.faults == expected);
}

TEST_CASE("input that is not a YAML mapping is rejected") {
  CHECK_FALSE(ReadSettings("").faults.empty());
  CHECK_FALSE(ReadSettings("a: [").faults.empty());
  CHECK_FALSE(ReadSettings("- 1").faults.empty());
}

}  // namespace
}  // namespace umbertrail::adapter
