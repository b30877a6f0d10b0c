#include "umbertrail/daemon/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace umbertrail::daemon {
namespace {

constexpr char kGood[] = R"(
instance: {id: "10.0.0.1:7000", data_centre: kagoshima}
listen:
  callers: 10.0.0.1:8080
platform: {address: "10.0.0.9:9000"}
peer: {key_file: /etc/umbertrail/peer.keys}
)";

std::vector<SettingFault> FaultsOf(const std::string& text) {
  const auto result = ParseSettings(text, "s.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingFault>>(result));
  return std::get<std::vector<SettingFault>>(result);
}

Settings Parsed(const std::string& text) {
  const auto result = ParseSettings(text, "s.yaml");
  REQUIRE(std::holds_alternative<Settings>(result));
  return std::get<Settings>(result);
}

bool HasFault(const std::vector<SettingFault>& faults,
              const std::string& text) {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    return Describe(fault).find(text) != std::string::npos;
  });
}

TEST_CASE("defaults fill what is not given") {
  const Settings settings = Parsed(kGood);
  CHECK(settings.instance_id == "10.0.0.1:7000");
  CHECK(settings.admin_address == "127.0.0.1:7070");
  CHECK(settings.default_deadline == absl::Seconds(60));
  CHECK(settings.log_level == "info");
}

TEST_CASE("every default satisfies its own bounds") {
  for (const SettingInfo& info : ListSettings()) {
    CAPTURE(info.key);
    CHECK_FALSE(info.doc.empty());
    CHECK((info.required || ParseSettings(kGood, "").index() == 0));
  }
}

TEST_CASE("all faults are listed with file, line and key") {
  const auto faults = FaultsOf(R"(instance: {id: "here", data_centre: ""}
listen:
  callers: 10.0.0.1:99999
  admin: 127.0.0.1:7070
  admin: 127.0.0.1:7071
limits:
  connections: -3
  default_deadline: soon
  body_bytes: [1]
unknown: 1
trace: {sampled_fraction: nan}
log: {level: loud}
tls: {certificate: a.pem}
)");
  CHECK(HasFault(faults, "s.yaml:1: instance.id: must be an IP number"));
  CHECK(HasFault(faults, "s.yaml:1: instance.data_centre: must not be empty"));
  CHECK(HasFault(faults, "s.yaml:3: listen.callers"));
  CHECK(HasFault(faults, "s.yaml:5: listen.admin: given twice"));
  CHECK(HasFault(faults, "s.yaml:7: limits.connections"));
  CHECK(HasFault(faults, "s.yaml:8: limits.default_deadline"));
  CHECK(
      HasFault(faults, "s.yaml:9: limits.body_bytes: must be a single value"));
  CHECK(HasFault(faults, "s.yaml:10: unknown: unknown setting"));
  CHECK(HasFault(faults, "s.yaml:11: trace.sampled_fraction"));
  CHECK(HasFault(faults, "s.yaml:12: log.level: must be one of debug"));
  CHECK(HasFault(faults, "s.yaml:13: tls.certificate: needs tls.private_key"));
  CHECK(HasFault(faults, "s.yaml: platform.address: is required"));
  CHECK(HasFault(faults, "s.yaml: peer.key_file: is required"));
}

TEST_CASE("text that is no map of settings is one fault") {
  CHECK(HasFault(FaultsOf("- 1"), "must be a map"));
  CHECK(HasFault(FaultsOf("a: [1"), "s.yaml:"));
  CHECK(HasFault(FaultsOf(""), "must be a map"));
}

TEST_CASE("two listeners can't share an address") {
  CHECK(HasFault(FaultsOf(std::string(kGood) +
                          "trace: {}\nlog: {}\n"
                          "limits: {}\ntls: {}\n" +
                          "listen: {admin: \"10.0.0.1:7000\"}"),
                 "listen.admin"));
}

TEST_CASE("a missing file is a fault") {
  const auto result = LoadSettings("/nonexistent/settings.yaml");
  CHECK(std::holds_alternative<std::vector<SettingFault>>(result));
}

TEST_CASE("a reload applies what it can and names the rest") {
  const Settings current = Parsed(kGood);
  const Settings wanted =
      Parsed(std::string(kGood) +
             "log: {level: debug}\n"
             "limits: {connections: 9, max_deadline: 1h}\n");
  const Reload reload = ApplyReload(current, wanted);
  CHECK(reload.settings.log_level == "debug");
  CHECK(reload.settings.max_deadline == absl::Hours(1));
  CHECK(reload.settings.connections == current.connections);
  CHECK(reload.applied ==
        std::vector<std::string>{"limits.max_deadline", "log.level"});
  CHECK(reload.need_restart == std::vector<std::string>{"limits.connections"});
}

}  // namespace
}  // namespace umbertrail::daemon
