#ifndef UMBERTRAIL_DAEMON_SETTINGS_H_
#define UMBERTRAIL_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

namespace umbertrail::daemon {

// All settings of one daemon. What each means stands in ListSettings().
struct Settings {
  std::string instance_id;
  std::string data_centre;
  std::string callers_address;
  std::string admin_address;
  std::string platform_address;
  std::string peer_key_file;
  int64_t body_bytes = 0;
  int64_t service_body_bytes = 0;
  int64_t body_memory = 0;
  int64_t header_bytes = 0;
  int64_t relay_bytes = 0;
  int64_t connections = 0;
  int64_t target_streams = 0;
  int64_t waiting_requests = 0;
  absl::Duration default_deadline;
  absl::Duration max_deadline;
  absl::Duration read_timeout;
  absl::Duration write_timeout;
  absl::Duration idle_timeout;
  std::string tls_certificate;
  std::string tls_private_key;
  std::string tls_target_ca;
  std::string tls_platform_ca;
  std::string log_level;
  std::string log_format;
  std::string trace_collector;
  double trace_sampled_fraction = 0.0;
};

enum class SettingType {
  kText,
  kAddress,  // IP number and port
  kFile,
  kInteger,
  kDuration,  // such as 250ms, 30s, 1h30m
  kFraction,
  kChoice,
};

// One setting as its users see it.
struct SettingInfo {
  std::string key;
  SettingType type = SettingType::kText;
  // As it would be written; empty together with `required` when there is none.
  std::string default_value;
  bool required = false;
  std::string unit;
  // Bounds or choices in words; empty when there are none.
  std::string bounds;
  // Whether SIGHUP applies a new value.
  bool reloadable = false;
  std::string doc;
};

// Every setting, in the order of the table that drives parsing.
std::vector<SettingInfo> ListSettings();

// One fault of a settings file. Line 0 means the file as a whole.
struct SettingFault {
  std::string file;
  int line = 0;
  std::string key;
  std::string message;
};

// "FILE:LINE: KEY: MESSAGE".
std::string Describe(const SettingFault& fault);

using SettingsResult = std::variant<Settings, std::vector<SettingFault>>;

// Reads settings from YAML text. All faults are listed, unknown and repeated
// keys among them; settings are returned only when there is none. `file` is
// used for messages only. Never throws.
SettingsResult ParseSettings(const std::string& text, const std::string& file);

// Reads the file at `path` and parses it.
SettingsResult LoadSettings(const std::string& path);

// What a reload makes of the settings in force.
struct Reload {
  Settings settings;
  // Changed keys that took effect, and those that need a restart.
  std::vector<std::string> applied;
  std::vector<std::string> need_restart;
};

// Takes the reloadable settings from `wanted` and leaves the rest of `current`.
Reload ApplyReload(const Settings& current, const Settings& wanted);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_SETTINGS_H_
